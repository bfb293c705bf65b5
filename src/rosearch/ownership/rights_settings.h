#ifndef ROSEARCH_OWNERSHIP_RIGHTS_SETTINGS_H_
#define ROSEARCH_OWNERSHIP_RIGHTS_SETTINGS_H_

#include <chrono>

#include "rosearch/core/time.h"

namespace rosearch {

/// The times of the right to act; all parties of a cell must use the same.
struct rights_settings {
  /// How long one renewal lets the owner act.
  duration right_length{std::chrono::seconds{3}};
  /// Between two renewals, and between two requests for the same consent.
  duration renew_interval{std::chrono::milliseconds{500}};
  /// A clock gains or loses at most one part in this many against true time, ...
  int drift_divisor{200};
  /// ... and this much besides, for its resolution.
  duration drift_slack{std::chrono::milliseconds{5}};
  /// How long a proof of not being overtaken lets a holder act by its own right.
  duration proof_length{std::chrono::seconds{2}};
  /// How long such a proof lets a witness renew its owner.
  duration pair_proof_length{std::chrono::seconds{4}};
  /// How far the VM list may be behind.
  duration list_lag{std::chrono::seconds{10}};
  /// Past its last proof, no party acts or is acted for longer than this.
  duration longest_lease{std::chrono::seconds{8}};
  /// Between two attempts to append a claim that has not shown up in the log.
  duration claim_interval{std::chrono::seconds{2}};

  /// @return the longest that `span` lasts by any clock within the bound: for those who must wait.
  [[nodiscard]] constexpr duration Widened(duration span) const noexcept {
    return span + span / drift_divisor + drift_slack;
  }

  /// @return the shortest that `span` lasts by any clock within the bound: for those who may act.
  [[nodiscard]] constexpr duration Shortened(duration span) const noexcept {
    return span - span / drift_divisor - drift_slack;
  }

  /// @return whether the times fit each other. The wait before a dead party's consent is replaced
  ///     covers the longest time that a right may outlive the last proof it rests on.
  [[nodiscard]] constexpr bool IsSound() const noexcept {
    return drift_divisor > 1 && Shortened(proof_length) > duration::zero() &&
           renew_interval * 2 < right_length && longest_lease >= proof_length &&
           longest_lease >= Widened(pair_proof_length + right_length);
  }
};

}  // namespace rosearch

#endif  // ROSEARCH_OWNERSHIP_RIGHTS_SETTINGS_H_
