#ifndef ROSEARCH_PLACEMENT_PREEMPTION_H_
#define ROSEARCH_PLACEMENT_PREEMPTION_H_

#include <optional>
#include <vector>

#include "rosearch/core/id.h"
#include "rosearch/placement/commitment.h"
#include "rosearch/placement/ledger.h"
#include "rosearch/placement/placement_request.h"

namespace rosearch {

/// What to checkpoint and stop so that an urgent request fits on a VM.
struct preemption_plan {
  vm_id vm;
  std::vector<commitment> victims;  ///< the least important first; empty: it fits as it is

  friend bool operator==(const preemption_plan&, const preemption_plan&) = default;
};

/// Finds the VM where an urgent request costs the least: first the lowest priority of the most
/// important victim over all VMs, then the fewest victims and the least processors stopped over the
/// least loaded VMs of that priority.
/// @return nothing where the request isn't urgent, or where stopping all preemptible work of lower
///   priority makes room on no open VM.
[[nodiscard]] std::optional<preemption_plan> PlanPreemption(const ledger& book,
                                                            const placement_request& request);

}  // namespace rosearch

#endif  // ROSEARCH_PLACEMENT_PREEMPTION_H_
