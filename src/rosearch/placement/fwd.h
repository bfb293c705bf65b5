#ifndef ROSEARCH_PLACEMENT_FWD_H_
#define ROSEARCH_PLACEMENT_FWD_H_

namespace rosearch {

class ledger;
class policy;
class policy_registry;
class vm_health;
enum class pass_reason;
enum class vm_condition;
struct closest_vm;
struct commitment;
struct placement_request;
struct preemption_plan;
struct vm_explanation;
struct vm_facts;
struct vm_health_settings;

}  // namespace rosearch

#endif  // ROSEARCH_PLACEMENT_FWD_H_
