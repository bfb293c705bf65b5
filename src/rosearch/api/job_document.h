#ifndef ROSEARCH_API_JOB_DOCUMENT_H_
#define ROSEARCH_API_JOB_DOCUMENT_H_

#include <string_view>

#include "rosearch/config/fault.h"
#include "rosearch/config/schema.h"
#include "rosearch/core/id.h"
#include "rosearch/wire/record.pb.h"

namespace rosearch {

/// @return the keys of a job as callers submit it.
[[nodiscard]] const config::schema& JobSchema() noexcept;

/// @param text  JSON.
/// @return the job, and every fault of the text at once.
[[nodiscard]] config::checked<wire::job_spec> ParseJob(std::string_view text);

}  // namespace rosearch

#endif  // ROSEARCH_API_JOB_DOCUMENT_H_
