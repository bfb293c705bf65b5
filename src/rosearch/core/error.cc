#include "rosearch/core/error.h"

#include <algorithm>
#include <array>

namespace rosearch {
namespace {

using enum error_kind;

/// One row per kind, in the order of `error_kind`.
constexpr std::array kAnswers{
    error_answer{kInvalidRequest, "invalid_request", outcome::kNotRun, 400, false},
    error_answer{kUnknownCustomer, "unknown_customer", outcome::kNotRun, 403, false},
    error_answer{kNoRule, "no_rule", outcome::kNotRun, 403, false},
    error_answer{kRejectedByRule, "rejected_by_rule", outcome::kNotRun, 403, false},
    error_answer{kNeverFits, "never_fits", outcome::kNotRun, 422, false},
    error_answer{kQuotaExceeded, "quota_exceeded", outcome::kNotRun, 429, true},
    error_answer{kOverloaded, "overloaded", outcome::kNotRun, 503, true},
    error_answer{kDeadlinePassed, "deadline_passed", outcome::kNotRun, 504, true},
    error_answer{kCancelled, "cancelled", outcome::kNotRun, 409, false},
    error_answer{kDuplicateMismatch, "duplicate_mismatch", outcome::kNotRun, 409, false},
    error_answer{kVersionConflict, "version_conflict", outcome::kNotRun, 409, false},
    error_answer{kNotFound, "not_found", outcome::kNotRun, 404, false},
    error_answer{kNotReady, "not_ready", outcome::kNotRun, 503, true},
    error_answer{kNoOwner, "no_owner", outcome::kNotRun, 503, true},
    error_answer{kLogUnavailable, "log_unavailable", outcome::kUnknown, 503, true},
    error_answer{kTargetUnreachable, "target_unreachable", outcome::kNotRun, 503, true},
    error_answer{kTargetRefused, "target_refused", outcome::kNotRun, 503, true},
    error_answer{kTargetLost, "target_lost", outcome::kUnknown, 502, false},
    error_answer{kTargetFailed, "target_failed", outcome::kDone, 502, false},
    error_answer{kTimeout, "timeout", outcome::kUnknown, 504, false},
    error_answer{kInterrupted, "interrupted", outcome::kUnknown, 502, false},
    error_answer{kTooOld, "too_old", outcome::kUnknown, 409, false},
    error_answer{kInternal, "internal", outcome::kUnknown, 500, false},
};

static_assert(kAnswers.size() == static_cast<std::size_t>(kInternal) + 1);

}  // namespace

const error_answer& AnswerFor(error_kind kind) noexcept {
  return kAnswers[static_cast<std::size_t>(kind)];
}

error_kind ErrorKindFromName(std::string_view name) noexcept {
  const auto* const row = std::ranges::find(kAnswers, name, &error_answer::name);
  return row == kAnswers.end() ? kInternal : row->kind;
}

std::string_view OutcomeName(outcome value) noexcept {
  switch (value) {
    case outcome::kDone:
      return "done";
    case outcome::kNotRun:
      return "not_run";
    case outcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace rosearch
