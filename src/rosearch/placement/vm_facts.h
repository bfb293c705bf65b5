#ifndef ROSEARCH_PLACEMENT_VM_FACTS_H_
#define ROSEARCH_PLACEMENT_VM_FACTS_H_

#include "rosearch/core/id.h"
#include "rosearch/core/resources.h"

namespace rosearch {

/// Where a VM stands and what it holds.
struct vm_facts {
  vm_id vm;
  region_id region;
  failure_domain_id failure_domain;
  rack_id rack;
  resources holds;

  friend bool operator==(const vm_facts&, const vm_facts&) = default;
};

}  // namespace rosearch

#endif  // ROSEARCH_PLACEMENT_VM_FACTS_H_
