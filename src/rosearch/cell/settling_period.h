#ifndef ROSEARCH_CELL_SETTLING_PERIOD_H_
#define ROSEARCH_CELL_SETTLING_PERIOD_H_

#include <chrono>
#include <cstddef>
#include <deque>

#include "rosearch/core/time.h"

namespace rosearch::cell {

/// Tells whether a new leader is being joined by so many peers at once that it can't be expected to
/// answer each of them within the suspect timeout.
class settling_period {
 public:
  /// Starts a leadership, which no peer has joined yet.
  void Begin(time_point now) {
    max_end_ = now + kMaxLength;
    recent_joins_end_.clear();
  }

  /// Records the first ping of a peer.
  void OnJoin(time_point now) { recent_joins_end_.push_back(now + kJoinWindow); }

  /// @return whether many peers have joined recently. False in the end however many join, so that a
  ///         leader which can't answer its peers for another reason is replaced.
  [[nodiscard]] bool IsSettling(time_point now) {
    while (!recent_joins_end_.empty() && recent_joins_end_.front() <= now) {
      recent_joins_end_.pop_front();
    }
    return now < max_end_ && recent_joins_end_.size() >= kManyJoins;
  }

 private:
  /// A leader answers fewer new peers than this well within the suspect timeout.
  static constexpr std::size_t kManyJoins = 16;
  static constexpr duration kJoinWindow = std::chrono::milliseconds{1'000};
  static constexpr duration kMaxLength = std::chrono::seconds{10};

  time_point max_end_{};
  std::deque<time_point> recent_joins_end_;  ///< when each join stops counting as recent, in order
};

}  // namespace rosearch::cell

#endif  // ROSEARCH_CELL_SETTLING_PERIOD_H_
