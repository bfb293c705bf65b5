#ifndef ROSEARCH_CORE_ERROR_H_
#define ROSEARCH_CORE_ERROR_H_

#include <compare>
#include <optional>
#include <string>
#include <string_view>

#include "rosearch/core/time.h"

namespace rosearch {

/// What a caller is told of its work.
enum class outcome {
  kDone,     ///< ran, and the whole answer is here
  kNotRun,   ///< certainly did not run
  kUnknown,  ///< may have run
};

/// The closed list of everything that can go wrong. `AnswerFor` maps each kind to its answer.
enum class error_kind {
  kInvalidRequest,     ///< malformed, of the wrong type or out of range
  kUnknownCustomer,    ///< no such customer in the configuration in force
  kNoRule,             ///< no rule matches
  kRejectedByRule,     ///< the first rule that matches refuses this kind of work
  kNeverFits,          ///< larger than every VM
  kQuotaExceeded,      ///< the customer's quota or queue is full
  kOverloaded,         ///< can't start before its deadline
  kDeadlinePassed,     ///< the deadline passed before it started
  kCancelled,          ///< cancelled before it started
  kDuplicateMismatch,  ///< the id is known with another body
  kVersionConflict,    ///< a publish against a version that is no longer in force
  kNotFound,           ///< no such task, request or VM
  kNotReady,           ///< this entry does not yet know the configuration in force
  kNoOwner,            ///< the shard has no owner that may act now
  kLogUnavailable,     ///< the platform's log can't be reached
  kTargetUnreachable,  ///< the target refused the connection: nothing was sent
  kTargetRefused,      ///< the target's own word that it did not run the work
  kTargetLost,         ///< the target was lost after the work was sent
  kTargetFailed,       ///< the target ran the work and reported that it failed
  kTimeout,            ///< no answer in time after the work was sent
  kInterrupted,        ///< ownership changed with the work in flight
  kTooOld,             ///< issued before what this shard can still prove
  kInternal,           ///< a fault of rosearch
};

/// How one kind of error is answered.
struct error_answer {
  error_kind kind;
  std::string_view name;  ///< the word in answers and logs
  outcome effect;         ///< what the caller may assume
  unsigned http_status;   ///< status code towards callers
  bool retryable;         ///< worth another try later with the same request

  friend constexpr bool operator==(const error_answer&, const error_answer&) = default;
};

/// @param kind  any kind of the closed list.
/// @return the row of the table for that kind.
[[nodiscard]] const error_answer& AnswerFor(error_kind kind) noexcept;

/// @param name  the word of an `error_answer`.
/// @return the kind of that name, or `kInternal` where there is none.
[[nodiscard]] error_kind ErrorKindFromName(std::string_view name) noexcept;

/// @return the word for an outcome in answers and logs: done, not_run or unknown.
[[nodiscard]] std::string_view OutcomeName(outcome value) noexcept;

/// One thing that went wrong, with what a person needs to know.
struct error {
  error_kind kind{error_kind::kInternal};
  std::string detail;
  /// How long the caller should wait before it asks again; none where asking again is useless.
  std::optional<duration> retry_after{};

  friend bool operator==(const error&, const error&) = default;
};

}  // namespace rosearch

#endif  // ROSEARCH_CORE_ERROR_H_
