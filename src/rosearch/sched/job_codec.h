#ifndef ROSEARCH_SCHED_JOB_CODEC_H_
#define ROSEARCH_SCHED_JOB_CODEC_H_

#include <optional>
#include <string>

#include "rosearch/sched/job_spec.h"
#include "rosearch/sched/job_state.h"

namespace rosearch::wire {
class stored_progress;
}  // namespace rosearch::wire

namespace rosearch::sched {

/// @return a job's own record for the store.
[[nodiscard]] std::string EncodeJob(const job_spec& job);

/// @return the job of a record; nothing where the record can't be read.
[[nodiscard]] std::optional<job_spec> DecodeJob(const std::string& record);

/// @return the record of how far a job is.
[[nodiscard]] std::string EncodeProgress(const job_state& job);

/// Puts what a record says into a freshly made job; occurrences are added as needed.
void ApplyProgress(const wire::stored_progress& record, job_state& job);

}  // namespace rosearch::sched

#endif  // ROSEARCH_SCHED_JOB_CODEC_H_
