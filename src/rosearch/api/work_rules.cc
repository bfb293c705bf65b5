#include "rosearch/api/work_rules.h"

#include <string>

namespace rosearch {

result<const config::rule*> RuleFor(const config::configuration& in_force,
                                    const config::work_kind& work) {
  if (in_force.FindCustomer(work.customer) == nullptr) {
    return error{error_kind::kUnknownCustomer, "no customer " + work.customer.value()};
  }
  const auto* const rule = in_force.Match(work);
  if (rule == nullptr) {
    return error{error_kind::kNoRule, "no rule matches"};
  }
  if (rule->treat.action == config::admission::kReject) {
    return error{error_kind::kRejectedByRule, rule->name + ": " + rule->treat.reason};
  }
  return rule;
}

config::work_class ClassOf(wire::job_kind kind) {
  switch (kind) {
    case wire::JOB_GANG:
      return config::work_class::kGang;
    case wire::JOB_SERVICE:
      return config::work_class::kService;
    default:
      return config::work_class::kBatch;
  }
}

wire::job_treatment TreatmentOf(const config::rule& rule, config::work_class kind,
                                config_version version) {
  wire::job_treatment treatment;
  treatment.set_config_version(version);
  treatment.set_rule(rule.name);
  treatment.set_policy(std::string{config::PolicyFor(rule.treat, kind)});
  treatment.set_priority(rule.treat.priority);
  treatment.set_retries(rule.treat.retries);
  treatment.set_preemptible(rule.treat.preemptible);
  return treatment;
}

}  // namespace rosearch
