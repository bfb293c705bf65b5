#ifndef ROSEARCH_PLACEMENT_SPREAD_COUNTS_H_
#define ROSEARCH_PLACEMENT_SPREAD_COUNTS_H_

#include <cstdint>
#include <map>

#include "rosearch/core/id.h"
#include "rosearch/placement/vm_facts.h"

namespace rosearch::internal {

/// How many tasks of one spread group run in each place.
struct spread_counts {
  std::map<failure_domain_id, std::int64_t> domains;
  std::map<failure_domain_id, std::map<rack_id, std::int64_t>> racks;
  std::map<vm_id, std::int64_t> vms;

  /// Adds `by` tasks, which may be negative, to the places of a VM; places at 0 are dropped.
  void Add(const vm_facts& where, std::int64_t by);
  [[nodiscard]] bool empty() const noexcept { return vms.empty(); }
};

}  // namespace rosearch::internal

#endif  // ROSEARCH_PLACEMENT_SPREAD_COUNTS_H_
