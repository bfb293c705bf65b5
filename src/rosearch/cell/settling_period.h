#ifndef ROSEARCH_CELL_SETTLING_PERIOD_H_
#define ROSEARCH_CELL_SETTLING_PERIOD_H_

#include <chrono>
#include <cstddef>
#include <deque>

#include "rosearch/core/time.h"

namespace rosearch::cell {

/// Tells whether the leader of a large cell is so new that it can't be expected to answer each of
/// its peers within the suspect timeout: many of them join it at once, or it still asks all
/// workers.
class settling_period {
 public:
  /// Starts a leadership, which no peer has joined yet.
  void Begin(time_point now) {
    max_end_ = now + kMaxLength;
    joins_ = 0;
    recent_joins_end_.clear();
  }

  /// Records the first ping of a peer.
  void OnJoin(time_point now) {
    ++joins_;
    recent_joins_end_.push_back(now + kJoinWindow);
  }

  /// @param restoring  whether the leader still restores the state of its predecessor.
  /// @return whether the leader settles. False in the end in any case, so that a leader which can't
  ///         answer its peers for another reason is replaced.
  [[nodiscard]] bool IsSettling(bool restoring, time_point now) {
    while (!recent_joins_end_.empty() && recent_joins_end_.front() <= now) {
      recent_joins_end_.pop_front();
    }
    const bool joined_by_many = recent_joins_end_.size() >= kManyJoins;
    return now < max_end_ && (joined_by_many || (restoring && joins_ >= kManyJoins));
  }

 private:
  /// A leader answers fewer new peers than this well within the suspect timeout.
  static constexpr std::size_t kManyJoins = 16;
  static constexpr duration kJoinWindow = std::chrono::milliseconds{1'000};
  static constexpr duration kMaxLength = std::chrono::seconds{10};

  time_point max_end_{};
  std::size_t joins_{0};
  std::deque<time_point> recent_joins_end_;  ///< when each join stops counting as recent, in order
};

}  // namespace rosearch::cell

#endif  // ROSEARCH_CELL_SETTLING_PERIOD_H_
