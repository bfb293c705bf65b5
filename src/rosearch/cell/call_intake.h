#ifndef ROSEARCH_CELL_CALL_INTAKE_H_
#define ROSEARCH_CELL_CALL_INTAKE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

#include "rosearch/core/time.h"

namespace rosearch::cell {

/// What happens to a call that has just arrived at the leader.
enum class call_turn : std::uint8_t {
  kNow,      ///< it is handled at once
  kNext,     ///< it waits for a slice, before submissions
  kInOrder,  ///< it waits for a slice behind the earlier submissions
  kRefuse,   ///< it is refused unless its job is known
};

/// A moment from which an age without the event loop's own delay is measured.
struct loop_mark {
  time_point at{};
  duration own_delay{};  ///< of the event loop, from its start until then

  friend bool operator==(const loop_mark&, const loop_mark&) = default;
};

/// Decides when the calls at a leader are handled, and when refused callers are to retry. Addresses
/// a burst of calls beyond what the leader can accept, and callers that return together after an
/// outage of the store. Times are given; its state is in memory only, and losing it costs accuracy.
class call_intake {
 public:
  // Slices.

  /// Decides about a call that has just arrived. One that has to wait counts as waiting until
  /// `OnTaken`.
  /// @param job      the id of its job; empty: it names none.
  /// @param submits  whether it submits the job.
  [[nodiscard]] call_turn OnCall(const std::string& job, bool submits, time_point now);
  /// Begins a slice, after the other events that were ready had their turn.
  void BeginSlice(time_point now);
  /// @return whether the slice has time for another call.
  [[nodiscard]] bool HasTime(time_point now) const {
    return handled_in_slice_ < kMinCallsPerSlice || now - slice_began_at_ < kSliceTime;
  }
  /// Records that a call of the slice was handled.
  void OnHandled() { ++handled_in_slice_; }
  /// Records that a waiting call leaves the queue.
  /// @return whether it waited so long that it is to be refused unless its job is known.
  [[nodiscard]] bool OnTaken(const std::string& job, call_turn turn, time_point now);
  [[nodiscard]] std::size_t CountWaiting() const { return waiting_next_ + waiting_since_.size(); }
  /// @return the expected wait of the next submission.
  [[nodiscard]] duration ExpectedWait(time_point now) const;

  // The event loop's own delay.

  /// Records a timer of the event loop.
  /// @param due       when it should have fired.
  /// @param next_due  when the next one should.
  void OnTick(time_point due, time_point now, time_point next_due);
  [[nodiscard]] loop_mark Mark(time_point now) const;
  /// @return the time since `mark` in which the event loop was able to see an answer.
  [[nodiscard]] duration Age(const loop_mark& mark, time_point now) const;

  // The store.

  /// Records a sign that the store is away.
  /// @param since  when the oldest append without a result was sent; the beginning of the outage,
  ///               unless one has already been recorded.
  void OnStoreAway(time_point since, time_point now);
  void OnStoreBack() { store_away_since_.reset(); }

  // Retry times.

  /// Records a submission that was accepted for storing.
  /// @param queue  key of its queue.
  void OnAccepted(std::string_view queue, duration objective, time_point now);
  /// @return the usual objective of a queue's jobs; nothing if none was accepted yet.
  [[nodiscard]] std::optional<duration> UsualObjective(std::string_view queue) const;
  /// Returns the retry time of a caller refused because the leader is busy: when the leader will
  /// have accepted those that were refused before it.
  [[nodiscard]] std::uint32_t RetryAfterBusy(const std::string& job, duration objective,
                                             time_point now);
  /// Returns the retry time of a caller refused because the store is away. The outage is expected
  /// to end at the next power of two of its age in seconds. The callers return after that, in the
  /// order in which they first came.
  /// @param came  when this call came.
  [[nodiscard]] std::uint32_t RetryAfterOutage(const std::string& job, duration objective,
                                               time_point came, time_point now);
  /// Returns the retry time of a caller that is to wait for a known time.
  [[nodiscard]] std::uint32_t RetryAfter(const std::string& job, duration wait, duration objective,
                                         time_point now);

  /// Max time for which calls are handled without a break; the answers of the store and of the
  /// workers wait as long.
  static constexpr duration kSliceTime = std::chrono::milliseconds{2};
  /// Handled in each slice also by a process with little processor time, because each slice lets
  /// all other events run that are ready.
  static constexpr std::size_t kMinCallsPerSlice = 4;
  /// Submissions are refused when they would wait longer than this, so that the median acceptance
  /// latency stays under 50 ms.
  static constexpr duration kMaxExpectedWait = std::chrono::milliseconds{40};
  /// A submission that waited longer than this is refused when its turn comes.
  static constexpr duration kMaxWait = std::chrono::milliseconds{150};
  /// A job that finishes within this multiple of its objective is still of use.
  static constexpr int kUsefulObjectives = 3;

 private:
  /// @return when a refused job first came.
  time_point FirstRefusal(const std::string& job, time_point now);
  /// @return a wait in whole seconds, as it is sent to callers.
  [[nodiscard]] static std::uint32_t WholeSeconds(duration wait, duration time_left);

  /// Callers return after an outage at twice the rate at which they came, so that those who came
  /// last can still be served in time.
  static constexpr double kReturnSpacing = 0.5;
  /// Max jitter of these callers, in seconds: their arrivals spread them already.
  static constexpr double kOrderedJitter = 0.25;
  static constexpr duration kMinRetryAfter = std::chrono::seconds{1};
  /// A sign of an outage this long after the last one begins a new outage. Refused appends leave
  /// nothing behind that could be stored and so end the outage.
  static constexpr duration kOutageGap = std::chrono::seconds{2};
  /// Longer pauses between accepted jobs say that few were submitted, not how many can be accepted.
  static constexpr duration kMaxAcceptInterval = std::chrono::milliseconds{100};
  static constexpr int kSmoothing = 8;
  /// A refused caller has retried for the last time long before this.
  static constexpr duration kRefusalRetention = std::chrono::seconds{60};
  static constexpr std::size_t kMaxRefusals = 20'000;

  time_point slice_began_at_{};
  std::size_t handled_in_slice_{0};
  bool had_waiting_{false};   ///< calls waited when the slice began
  duration time_per_call_{};  ///< of a waiting call, with the other events in between, smoothed
  std::size_t waiting_next_{0};
  std::deque<time_point> waiting_since_;  ///< arrivals of the waiting submissions, oldest first
  std::unordered_map<std::string, std::size_t>
      waiting_jobs_;  ///< calls in `waiting_since_`, by job
  duration own_delay_{};
  time_point next_tick_due_{time_point::max()};
  std::optional<time_point> store_away_since_;
  time_point store_away_seen_at_{};
  std::unordered_map<std::string, duration> usual_objectives_;  ///< by queue, smoothed
  duration accept_interval_{};                                  ///< smoothed
  time_point accepted_at_{};
  time_point next_return_{};  ///< when the next caller refused as `leader_busy` can be accepted
  std::unordered_map<std::string, time_point> first_refusals_;  ///< by job
  std::deque<std::pair<time_point, std::string>> refusals_;     ///< of `first_refusals_`, by time
};

}  // namespace rosearch::cell

#endif  // ROSEARCH_CELL_CALL_INTAKE_H_
