#ifndef ROSEARCH_PLACEMENT_VM_STATE_H_
#define ROSEARCH_PLACEMENT_VM_STATE_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <vector>

#include "rosearch/placement/commitment.h"
#include "rosearch/placement/vm_facts.h"

namespace rosearch {

/// One VM of a ledger with what is committed on it.
struct vm_state {
  vm_facts facts;
  resources committed;
  bool open{true};
  std::vector<const commitment*> tasks;            ///< in the order of their start
  std::map<std::uint32_t, resources> preemptible;  ///< what may be stopped, by priority

  /// @return what is left; a part is negative where a VM shrank below what is committed.
  [[nodiscard]] resources Room() const noexcept { return facts.holds - committed; }

  /// @return the largest committed share of any part, in thousandths.
  [[nodiscard]] std::int64_t Load() const noexcept {
    const auto share = [](std::int64_t used, std::int64_t held) {
      return held > 0 ? used * 1000 / held : std::int64_t{0};
    };
    return std::max({share(committed.processors_milli, facts.holds.processors_milli),
                     share(committed.memory_mb, facts.holds.memory_mb),
                     share(committed.accelerators, facts.holds.accelerators)});
  }
};

}  // namespace rosearch

#endif  // ROSEARCH_PLACEMENT_VM_STATE_H_
