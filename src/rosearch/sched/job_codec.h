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

/// @return the stored record of a job's specification.
[[nodiscard]] std::string EncodeJob(const job_spec& job);

/// @return the decoded specification; nothing if the record is malformed.
[[nodiscard]] std::optional<job_spec> DecodeJob(const std::string& record);

/// @return the stored record of a job's progress.
[[nodiscard]] std::string EncodeProgress(const job_state& job);

/// Applies a stored progress record to a newly created job; adds occurrences as needed.
void ApplyProgress(const wire::stored_progress& record, job_state& job);

}  // namespace rosearch::sched

#endif  // ROSEARCH_SCHED_JOB_CODEC_H_
