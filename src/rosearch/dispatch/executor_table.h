#ifndef ROSEARCH_DISPATCH_EXECUTOR_TABLE_H_
#define ROSEARCH_DISPATCH_EXECUTOR_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "rosearch/core/id.h"
#include "rosearch/core/time.h"
#include "rosearch/dispatch/executor_facts.h"
#include "rosearch/placement/vm_health.h"

namespace rosearch::internal {

/// The executors of a shard with the slots that are taken, in the order of their load.
class executor_table {
 public:
  void Set(const executor_facts& facts);
  void Remove(const vm_id& vm);
  void SetOpen(const vm_id& vm, bool open);
  /// Closes an executor for good: it opens again only after `Remove` and `Set`.
  void SetLeaving(const vm_id& vm);

  /// @return the least loaded open executor with a free slot that its health lets take more; one
  ///   that refused lately only where there is no other, and one of `avoid` as the last.
  [[nodiscard]] std::optional<vm_id> Choose(const vm_health& health,
                                            const std::vector<vm_id>& avoid, time_point now) const;
  /// Takes a slot; ends the process where the executor is closed or has none free.
  void Take(const vm_id& vm);
  /// Frees a slot; an executor that was removed is fine.
  void Release(const vm_id& vm);
  /// The executor refused a request: others go before it until `pause` has passed, twice as long
  /// for each further refusal in a row. Its slots may be filled by a former owner of the shard, of
  /// which nobody here knows.
  void OnRefused(const vm_id& vm, duration pause, time_point now);
  /// The executor answered a request: it takes work.
  void OnAnswered(const vm_id& vm);
  /// Frees a slot at a later time.
  void ReleaseAt(const vm_id& vm, time_point when);
  /// Frees the slots that are due.
  void Tick(time_point now);

  /// @return free slots of open executors.
  [[nodiscard]] std::uint64_t FreeSlots() const noexcept;
  /// @return slots, taken or not, of open executors that are not suspected.
  [[nodiscard]] std::uint64_t UsableSlots(const vm_health& health, time_point now) const;
  [[nodiscard]] bool IsOpen(const vm_id& vm) const;
  /// @return slots that are taken on an executor, 0 for one that isn't known.
  [[nodiscard]] std::uint32_t TakenOn(const vm_id& vm) const;
  /// @return whether any executor takes work, with a free slot or without.
  [[nodiscard]] bool AnyOpen() const;

 private:
  struct executor {
    executor_facts facts;
    std::uint32_t taken{};
    bool open{true};
    bool leaving{};
    std::uint32_t refusals{};        ///< in a row
    time_point last_choice_until{};  ///< others go before it until then

    [[nodiscard]] bool TakesWork() const noexcept { return open && !leaving; }
    [[nodiscard]] std::uint32_t Free() const noexcept {
      return facts.Capacity() > taken ? facts.Capacity() - taken : 0;
    }
  };
  using load_key = std::pair<std::uint32_t, vm_id>;

  [[nodiscard]] static load_key KeyOf(const executor& each);
  void Enter(const executor& each);
  void Leave(const executor& each);

  std::map<vm_id, executor> executors_;
  std::set<load_key> by_load_;  ///< those that take work and have a free slot
  std::set<std::pair<time_point, std::uint64_t>> due_;
  std::map<std::uint64_t, vm_id> lingering_;
  std::uint64_t next_linger_{};
};

}  // namespace rosearch::internal

#endif  // ROSEARCH_DISPATCH_EXECUTOR_TABLE_H_
