#ifndef ROSEARCH_SCHED_TOKEN_BUCKET_H_
#define ROSEARCH_SCHED_TOKEN_BUCKET_H_

#include <algorithm>
#include <chrono>

#include "rosearch/core/time.h"

namespace rosearch::sched {

/// Measures a rate: tokens accrue at a constant rate up to a maximum. It starts full.
class token_bucket {
 public:
  /// @param rate   tokens per second.
  /// @param burst  max tokens that may accrue.
  void Configure(double rate, double burst) {
    rate_ = rate;
    burst_ = burst;
  }

  /// Takes a token.
  /// @return whether there was one.
  bool TryTake(time_point now) {
    if (!started_) {
      started_ = true;
      tokens_ = burst_;
    } else {
      const auto passed = std::chrono::duration<double>{now - refilled_at_}.count();
      tokens_ += std::max(0.0, passed) * rate_;
    }
    tokens_ = std::min(burst_, tokens_);
    refilled_at_ = now;
    if (tokens_ < 1.0) {
      return false;
    }
    tokens_ -= 1.0;
    return true;
  }

 private:
  double rate_{0};
  double burst_{0};
  double tokens_{0};
  time_point refilled_at_{};
  bool started_{false};
};

}  // namespace rosearch::sched

#endif  // ROSEARCH_SCHED_TOKEN_BUCKET_H_
