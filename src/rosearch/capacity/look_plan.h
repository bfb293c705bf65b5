#ifndef ROSEARCH_CAPACITY_LOOK_PLAN_H_
#define ROSEARCH_CAPACITY_LOOK_PLAN_H_

#include <algorithm>
#include <chrono>
#include <cmath>

#include "rosearch/capacity/pool_settings.h"
#include "rosearch/core/time.h"

namespace rosearch::internal {

/// Chooses when to ask a worker again whether one of its tasks has ended.
///
/// A worker tells nothing by itself, so that room which a task has left stays idle until the next
/// exchange. With `rate` ends a second, an exchange every T seconds leaves rate * T / 2 places
/// idle; T is where that and what the exchanges are worth add up to least. The rate follows from
/// how long tasks have run: declared run times are off by up to `kMostOff`, evenly on a scale of
/// factors. Besides, there is one look at each declared end, for those who declare well.
class look_plan {
 public:
  /// @param looked_at  when the last exchange was sent.
  explicit look_plan(time_point looked_at) noexcept : looked_at_{looked_at} {}

  /// Counts a task that runs.
  /// @param declared  how long it should run; 0: until it is stopped.
  void AddRunning(time_point started, duration declared) noexcept {
    if (declared == duration{}) return;
    const auto end = started + declared + kMargin;
    if (end > looked_at_) next_end_ = std::min(next_end_, end);
    const auto ran = Seconds(std::max(looked_at_ - started, duration{kMargin}));
    const auto stated = Seconds(declared);
    // Shorter than that it hardly ever runs; the renewals find those that do.
    if (ran * kMostOff < stated) return;
    const auto left = std::log(kMostOff * stated / ran);
    rate_ += 1 / (ran * std::max(left, kLeastLeft));
  }

  /// @return when to look.
  [[nodiscard]] time_point Due(const pool_settings& settings) const noexcept {
    if (rate_ == 0) return next_end_;
    const auto seconds = std::sqrt(2 * settings.look_worth / rate_);
    const auto limit = Seconds(settings.renew_interval);
    const auto every = std::chrono::duration<double>{std::min(seconds, limit)};
    return std::min(next_end_, looked_at_ + std::chrono::duration_cast<duration>(every));
  }

 private:
  static constexpr double kMostOff = 4;
  /// Past `kMostOff` times the declared time the end is as likely as it was shortly before.
  static constexpr double kLeastLeft = 0.5;
  /// An end is reported so long after the declared time by the sender's clock.
  static constexpr duration kMargin = std::chrono::milliseconds{50};

  [[nodiscard]] static double Seconds(duration span) noexcept {
    return std::chrono::duration<double>(span).count();
  }

  time_point looked_at_;
  time_point next_end_{kNever};
  double rate_{};
};

}  // namespace rosearch::internal

#endif  // ROSEARCH_CAPACITY_LOOK_PLAN_H_
