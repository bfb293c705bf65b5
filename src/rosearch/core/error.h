#ifndef ROSEARCH_CORE_ERROR_H_
#define ROSEARCH_CORE_ERROR_H_

#include <compare>
#include <optional>
#include <string>
#include <string_view>

#include "rosearch/core/time.h"

namespace rosearch {

/// What a caller may assume about its work.
enum class outcome {
  kDone,     ///< ran, and its complete answer is available
  kNotRun,   ///< did not run
  kUnknown,  ///< may have run
};

/// All kinds of errors. `AnswerFor` maps each kind to its answer.
enum class error_kind {
  kInvalidRequest,     ///< malformed, of the wrong type or out of range
  kUnknownCustomer,    ///< no such customer in the active configuration
  kNoRule,             ///< no rule matches
  kRejectedByRule,     ///< the first matching rule rejects this kind of work
  kNeverFits,          ///< larger than every VM
  kQuotaExceeded,      ///< the customer's quota or queue is full
  kOverloaded,         ///< can't start before its deadline
  kDeadlinePassed,     ///< the deadline passed before it started
  kCancelled,          ///< cancelled before it started
  kDuplicateMismatch,  ///< the id was used before with a different body
  kVersionConflict,    ///< a publish based on a version that is no longer active
  kNotFound,           ///< no such task, request or VM
  kNotReady,           ///< this entry has not received the active configuration yet
  kNoOwner,            ///< the shard has no owner that may act at present
  kLogUnavailable,     ///< the platform's log is unreachable
  kTargetUnreachable,  ///< the target refused the connection; nothing was sent
  kTargetRefused,      ///< the target reported that it did not run the work
  kTargetLost,         ///< connection broken or answer invalid after the work was sent
  kTargetFailed,       ///< the target ran the work and reported that it failed
  kTimeout,            ///< no answer before the timeout after the work was sent
  kInterrupted,        ///< shard ownership changed with the work in flight
  kTooOld,             ///< issued so long ago that this shard can't prove its outcome
  kInternal,           ///< internal error of rosearch
};

/// How an error kind is reported to callers.
struct error_answer {
  error_kind kind;
  std::string_view name;  ///< name in answers and logs
  outcome effect;         ///< what the caller may assume about its work
  unsigned http_status;   ///< HTTP status code of the answer
  bool retryable;         ///< the same request may succeed later

  friend constexpr bool operator==(const error_answer&, const error_answer&) = default;
};

/// @return how the given kind is reported.
[[nodiscard]] const error_answer& AnswerFor(error_kind kind) noexcept;

/// @param name  the `name` of an `error_answer`.
/// @return the kind of that name, or `kInternal` if there is none.
[[nodiscard]] error_kind ErrorKindFromName(std::string_view name) noexcept;

/// @return the name of an outcome in answers and logs: done, not_run or unknown.
[[nodiscard]] std::string_view OutcomeName(outcome value) noexcept;

/// An error with a human-readable description.
struct error {
  error_kind kind{error_kind::kInternal};
  std::string detail;
  /// How long the caller should wait before it retries; none if a retry is useless.
  std::optional<duration> retry_after{};

  friend bool operator==(const error&, const error&) = default;
};

}  // namespace rosearch

#endif  // ROSEARCH_CORE_ERROR_H_
