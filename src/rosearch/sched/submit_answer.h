#ifndef ROSEARCH_SCHED_SUBMIT_ANSWER_H_
#define ROSEARCH_SCHED_SUBMIT_ANSWER_H_

#include <cstdint>
#include <string_view>

#include "rosearch/core/time.h"

namespace rosearch::sched {

/// Result of submitting a job.
enum class submit_verdict : std::uint8_t {
  kAccepted,  ///< stored, now or by an earlier submission
  kPending,   ///< will be accepted once `scheduler::OnStored` settles it
  kRefused,   ///< not accepted; the job never runs
};

struct submit_answer {
  submit_verdict verdict{submit_verdict::kRefused};
  duration retry_after{};  ///< refused: when to retry; zero: a retry of the same job is pointless
  std::string_view reason{};

  friend bool operator==(const submit_answer&, const submit_answer&) = default;
};

}  // namespace rosearch::sched

#endif  // ROSEARCH_SCHED_SUBMIT_ANSWER_H_
