#ifndef ROSEARCH_API_WORK_RULES_H_
#define ROSEARCH_API_WORK_RULES_H_

#include "rosearch/config/configuration.h"
#include "rosearch/core/id.h"
#include "rosearch/core/result.h"
#include "rosearch/wire/record.pb.h"

namespace rosearch {

/// @return the rule that decides on a piece of work, or why it is refused. Lives as long as the
///   configuration.
[[nodiscard]] result<const config::rule*> RuleFor(const config::configuration& in_force,
                                                  const config::work_kind& work);

/// @return the class of work that a kind of job is to the rules.
[[nodiscard]] config::work_class ClassOf(wire::job_kind kind);

/// @return what a rule decides for a job, as it is recorded at acceptance.
[[nodiscard]] wire::job_treatment TreatmentOf(const config::rule& rule, config::work_class kind,
                                              config_version version);

}  // namespace rosearch

#endif  // ROSEARCH_API_WORK_RULES_H_
