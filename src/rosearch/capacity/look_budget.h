#ifndef ROSEARCH_CAPACITY_LOOK_BUDGET_H_
#define ROSEARCH_CAPACITY_LOOK_BUDGET_H_

#include <algorithm>

#include "rosearch/core/time.h"

namespace rosearch::internal {

/// Bounds the exchanges with one worker that only look whether something has ended. Without it,
/// hundreds of short tasks would have an entry do nothing but look.
class look_budget {
 public:
  /// Takes one look from the budget.
  /// @param every  one look in so long is allowed, after some that were saved up.
  void Take(time_point now, duration every) noexcept {
    empty_at_ = std::max(empty_at_, now - every * kSaved) + every;
  }

  /// @return from when on one more look is allowed.
  [[nodiscard]] time_point AllowedAt() const noexcept { return empty_at_; }

 private:
  static constexpr int kSaved = 4;

  time_point empty_at_{};
};

}  // namespace rosearch::internal

#endif  // ROSEARCH_CAPACITY_LOOK_BUDGET_H_
