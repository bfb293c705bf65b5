#ifndef ROSEARCH_JOURNAL_APPEND_BUDGET_H_
#define ROSEARCH_JOURNAL_APPEND_BUDGET_H_

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "rosearch/core/time.h"

namespace rosearch::journal {

/// A token bucket: in any span of time at most `burst` plus the rate times the span.
///
/// It keeps only the moment at which the bucket would be full again.
class append_budget {
 public:
  /// @param per_second  appends per second, at least 1.
  /// @param burst  appends that may follow each other at once, at least 1.
  append_budget(std::uint32_t per_second, std::uint32_t burst) noexcept
      : interval_{(std::chrono::seconds{1} + duration{per_second - 1}) / per_second},
        slack_{interval_ * (burst - 1)} {}

  /// @return the first moment at which an append may be sent.
  [[nodiscard]] time_point NextAt() const noexcept {
    return full_at_ < time_point{} + slack_ ? time_point{} : full_at_ - slack_;
  }

  /// Takes one append out, if there is one.
  /// @return whether there was.
  [[nodiscard]] bool Take(time_point now) noexcept {
    if (now < NextAt()) {
      return false;
    }
    full_at_ = std::max(full_at_, now) + interval_;
    return true;
  }

 private:
  duration interval_;
  duration slack_;
  time_point full_at_{};
};

}  // namespace rosearch::journal

#endif  // ROSEARCH_JOURNAL_APPEND_BUDGET_H_
