#ifndef ROSEARCH_PLACEMENT_ROOM_INDEX_H_
#define ROSEARCH_PLACEMENT_ROOM_INDEX_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>

#include "rosearch/core/id.h"
#include "rosearch/core/resources.h"
#include "rosearch/placement/vm_state.h"

namespace rosearch::internal {

/// Orders VMs by free processors, then free memory, then name.
struct by_room {
  struct key {
    std::int64_t processors_milli{};
    std::int64_t memory_mb{};
    const vm_state* vm{};
  };
  [[nodiscard]] bool operator()(const key& a, const key& b) const noexcept;
};

/// Orders VMs by load, then name.
struct by_load {
  struct key {
    std::int64_t load{};
    const vm_state* vm{};
  };
  [[nodiscard]] bool operator()(const key& a, const key& b) const noexcept;
};

/// The open VMs of a ledger in the orders in which policies look for them.
class room_index {
 public:
  using room_set = std::set<by_room::key, by_room>;
  using load_set = std::set<by_load::key, by_load>;
  /// VMs of one size with equally many free accelerators, in this order.
  struct room_class {
    std::int64_t free_accelerators{};
    std::int64_t held_processors_milli{};
    std::int64_t held_memory_mb{};

    friend auto operator<=>(const room_class&, const room_class&) = default;
  };

  /// The open VMs of one failure domain, and how many stand in each rack.
  struct domain {
    load_set vms;
    std::map<rack_id, std::size_t> racks;
  };

  /// Adds an open VM as it is now. The caller removes it before it changes the VM.
  void Add(const vm_state& vm);
  void Remove(const vm_state& vm);

  [[nodiscard]] const std::map<room_class, room_set>& rooms() const noexcept { return rooms_; }
  [[nodiscard]] const load_set& loads() const noexcept { return loads_; }
  [[nodiscard]] const std::map<failure_domain_id, domain>& domains() const noexcept {
    return domains_;
  }

  /// @return the largest free amount of each part over the open VMs, not necessarily of one VM.
  [[nodiscard]] resources Largest() const noexcept;

 private:
  void RemoveFromDomain(const vm_state& vm, const by_load::key& load);

  std::map<room_class, room_set> rooms_;
  load_set loads_;
  std::map<failure_domain_id, domain> domains_;
  std::map<std::int64_t, std::int64_t> processors_;
  std::map<std::int64_t, std::int64_t> memory_;
  std::map<std::int64_t, std::int64_t> accelerators_;
};

}  // namespace rosearch::internal

#endif  // ROSEARCH_PLACEMENT_ROOM_INDEX_H_
