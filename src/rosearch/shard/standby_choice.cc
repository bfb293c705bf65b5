#include "rosearch/shard/standby_choice.h"

#include <algorithm>
#include <chrono>

namespace rosearch {
namespace {

/// A choice that lacks something for so long is replaced by the next candidate, ...
constexpr duration kFirstPatience = std::chrono::milliseconds{700};

/// ... and each further one is given twice the time, so many times: the network may be slow.
constexpr int kMostDoublings = 3;

duration Patience(int missed) { return kFirstPatience * (1 << std::min(missed, kMostDoublings)); }

}  // namespace

bool standby_choice::Choose(const std::vector<party>& candidates, bool behind, time_point now) {
  if (candidates.empty()) {
    const bool had = current_.has_value();
    Reset();
    return had;
  }
  const auto at = current_ ? std::ranges::find(candidates, *current_) : candidates.end();
  if (at == candidates.end()) {
    return Take(candidates.front(), now);
  }
  if (!behind) {
    give_up_at_ = kNever;
    missed_ = 0;
    return false;
  }
  if (give_up_at_ == kNever) {
    give_up_at_ = now + Patience(missed_);
  }
  if (now < give_up_at_ || candidates.size() == 1) {
    return false;
  }
  ++missed_;
  const auto next = std::next(at);
  return Take(next == candidates.end() ? candidates.front() : *next, now);
}

bool standby_choice::Take(const party& next, time_point now) {
  current_ = next;
  give_up_at_ = now + Patience(missed_);
  return true;
}

void standby_choice::Reset() {
  current_.reset();
  give_up_at_ = kNever;
  missed_ = 0;
}

}  // namespace rosearch
