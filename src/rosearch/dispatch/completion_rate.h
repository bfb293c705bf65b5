#ifndef ROSEARCH_DISPATCH_COMPLETION_RATE_H_
#define ROSEARCH_DISPATCH_COMPLETION_RATE_H_

#include <algorithm>
#include <cstdint>

#include "rosearch/core/time.h"

namespace rosearch::internal {

/// Estimates how long slots take to become free, from the time that requests were seen to last.
class completion_rate {
 public:
  explicit completion_rate(duration expected) noexcept : service_{expected} {}

  /// Counts a request that left its slot.
  void OnCompleted(duration lasted, time_point now) noexcept {
    service_ = (service_ * (kMemory - 1) + lasted) / kMemory;
    waiting_since_ = now;
  }

  /// Tells whether every slot is taken.
  void SetSaturated(bool saturated, time_point now) noexcept {
    if (saturated && !saturated_) {
      waiting_since_ = now;
    }
    saturated_ = saturated;
  }

  /// @return how long a request lasts, by the last ones.
  [[nodiscard]] duration Service() const noexcept { return service_; }

  /// @return the time from one free slot to the next. Where executors hang there are no answers to
  ///   time: then it is at least the time since the last one, so that shedding begins all the same.
  [[nodiscard]] duration Interval(std::uint64_t slots, time_point now) const noexcept {
    const auto usual = service_ / static_cast<duration::rep>(std::max<std::uint64_t>(1, slots));
    const auto silence = saturated_ ? now - waiting_since_ : duration{};
    return std::max({usual, silence, duration{1}});
  }

 private:
  static constexpr int kMemory = 16;

  duration service_;
  time_point waiting_since_{};
  bool saturated_{};
};

}  // namespace rosearch::internal

#endif  // ROSEARCH_DISPATCH_COMPLETION_RATE_H_
