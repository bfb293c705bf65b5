#ifndef ROSEARCH_PLACEMENT_LEDGER_H_
#define ROSEARCH_PLACEMENT_LEDGER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "rosearch/core/id.h"
#include "rosearch/core/resources.h"
#include "rosearch/placement/commitment.h"
#include "rosearch/placement/room_index.h"
#include "rosearch/placement/spread_counts.h"
#include "rosearch/placement/vm_facts.h"
#include "rosearch/placement/vm_state.h"

namespace rosearch {

/// What is committed on each VM. Ends the process rather than commit more than a VM holds.
class ledger {
 public:
  using vm_map = std::map<vm_id, vm_state>;

  ledger() = default;
  ledger(const ledger&) = delete;
  ledger& operator=(const ledger&) = delete;
  ledger(ledger&&) = default;
  ledger& operator=(ledger&&) = default;
  ~ledger() = default;

  /// Adds or updates a VM. One that shrank below what is committed takes no more.
  void SetVm(const vm_facts& facts);
  /// Forgets a VM; unknown is fine. Ends the process where something is committed on it.
  void RemoveVm(const vm_id& vm);
  /// @param open  false: takes no new work (leaving, unverified, failing or unreachable).
  void SetOpen(const vm_id& vm, bool open);

  /// Commits an attempt on a VM. Ends the process where that attempt is committed already.
  /// @return false where the VM is unknown or closed, or where it doesn't fit.
  [[nodiscard]] bool TryCommit(const vm_id& vm, const commitment& added);
  /// Commits what runs already, also on a closed VM; once more on the same VM changes nothing.
  /// Ends the process where the VM is unknown or the attempt is committed on another VM.
  /// @param adopted  true: found running after a takeover, and kept even where the VM holds less.
  ///   false: ends the process where it exceeds what the VM holds.
  void ForceCommit(const vm_id& vm, const commitment& added, bool adopted = false);
  /// Frees what an attempt took; unknown is fine.
  void Free(const std::string& task, std::uint32_t attempt);

  /// @return the commitment, valid until the next change, or null.
  [[nodiscard]] const commitment* Find(const std::string& task, std::uint32_t attempt) const;
  /// @return the VM on which the attempt is committed.
  [[nodiscard]] std::optional<vm_id> VmOf(const std::string& task, std::uint32_t attempt) const;
  /// @return the VM, or null.
  [[nodiscard]] const vm_state* FindVm(const vm_id& vm) const;
  [[nodiscard]] bool IsOpen(const vm_id& vm) const;
  /// @return what is left on a VM, closed or not; nothing where it is unknown.
  [[nodiscard]] resources Room(const vm_id& vm) const;
  /// @return the largest free amount of each part over the open VMs, not necessarily of one VM.
  [[nodiscard]] resources LargestRoom() const { return index_.Largest(); }
  /// @return what is left on all open VMs together.
  [[nodiscard]] resources TotalRoom() const noexcept { return room_; }
  /// @return what all VMs hold together, closed or not.
  [[nodiscard]] resources TotalHeld() const noexcept { return held_; }
  /// @return what is committed on all VMs together.
  [[nodiscard]] resources TotalCommitted() const noexcept { return committed_; }
  /// @return the number of commitments.
  [[nodiscard]] std::size_t size() const noexcept { return commitments_.size(); }
  /// @return the number of VMs.
  [[nodiscard]] std::size_t vm_count() const noexcept { return vms_.size(); }
  /// @return what is committed on a VM, sorted by task and attempt.
  [[nodiscard]] std::vector<commitment> CommitmentsOn(const vm_id& vm) const;

  /// Every VM, sorted by name.
  [[nodiscard]] const vm_map& vms() const noexcept { return vms_; }
  [[nodiscard]] vm_map::const_iterator begin() const noexcept { return vms_.begin(); }
  [[nodiscard]] vm_map::const_iterator end() const noexcept { return vms_.end(); }

  /// For policies: the open VMs in search order.
  [[nodiscard]] const internal::room_index& index() const noexcept { return index_; }
  /// For policies: where a spread group runs, or null where it runs nowhere.
  [[nodiscard]] const internal::spread_counts* SpreadOf(const std::string& group) const;

 private:
  struct attempt_key {
    std::string task;
    std::uint32_t attempt{};
    friend bool operator==(const attempt_key&, const attempt_key&) = default;
  };
  struct attempt_hash {
    [[nodiscard]] std::size_t operator()(const attempt_key& key) const noexcept {
      return std::hash<std::string>{}(key.task) * 31 + key.attempt;
    }
  };
  struct entry {
    commitment what;
    vm_state* where{};
  };

  void Leave(const vm_state& vm);
  void Enter(const vm_state& vm);
  void Commit(vm_state& vm, const commitment& added);
  void CountSpread(const vm_facts& where, const std::string& group, std::int64_t by);

  vm_map vms_;
  std::unordered_map<attempt_key, entry, attempt_hash> commitments_;
  std::map<std::string, internal::spread_counts> spread_;
  internal::room_index index_;
  resources room_;
  resources held_;
  resources committed_;
};

}  // namespace rosearch

#endif  // ROSEARCH_PLACEMENT_LEDGER_H_
