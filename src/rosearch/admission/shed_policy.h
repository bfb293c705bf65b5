#ifndef ROSEARCH_ADMISSION_SHED_POLICY_H_
#define ROSEARCH_ADMISSION_SHED_POLICY_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "rosearch/core/time.h"

namespace rosearch::admission {

/// A change of a queue and what it was decided from.
struct shed_decision {
  std::string queue;
  bool close{false};         ///< false: reopen
  std::uint32_t refused{0};  ///< submissions refused in sequence before the queue closed
  duration since{};          ///< refused, or closed, for so long
  duration expected_wait{};  ///< of a new job; zero if it would be accepted

  friend bool operator==(const shed_decision&, const shed_decision&) = default;
};

/// Decides which queues accept no new jobs. Addresses bursts of which the leader refuses every
/// submission: deciding each of them alone takes the time that accepted jobs need.
class shed_policy {
 public:
  /// Records that a new job was accepted.
  void OnAccepted(const std::string& queue);
  /// Records that a new job was refused because too much work is waiting.
  void OnRefused(const std::string& queue, time_point now);
  /// @param expected_wait  returns, for a queue, how long a new job would wait; zero if it would be
  ///                       accepted.
  /// @return the queues to close and to reopen, which count as closed and reopened from now on.
  [[nodiscard]] std::vector<shed_decision> Decide(
      const std::function<duration(const std::string&)>& expected_wait, time_point now);
  /// Forgets all queues.
  void Reset() { queues_.clear(); }

  /// A queue is closed after its submissions have all been refused for this long.
  static constexpr duration kCloseAfter = std::chrono::milliseconds{500};
  /// Fewer refusals in `kCloseAfter` cost the leader less than sending a filter to all entries.
  static constexpr std::uint32_t kMinRefusals = 10;
  /// Without a submission for this long, earlier refusals say nothing about the present load.
  static constexpr duration kMaxRefusalGap = std::chrono::milliseconds{250};
  /// Until the last window has expired after a queue was reopened, its workers need other work. A
  /// closed queue with less work waiting is reopened.
  static constexpr duration kReopenWait = std::chrono::milliseconds{500};
  /// Each closing sends a filter to all entries.
  static constexpr duration kMinClosedTime = std::chrono::milliseconds{500};
  /// A queue with less work waiting is not closed, so that its workers don't run out of work.
  static constexpr duration kMinWait = kMinClosedTime + kReopenWait;
  /// The expected wait is an estimate: the queue is reopened after this to see whether its
  /// submissions are still refused.
  static constexpr duration kMaxClosedTime = std::chrono::milliseconds{5'000};

 private:
  struct queue_state {
    bool closed{false};
    std::uint32_t refused{0};
    time_point since{};  ///< first of the refusals in sequence, or when the queue was closed
    time_point refused_at{};
  };
  [[nodiscard]] static bool MustClose(const queue_state& state, time_point now);

  std::map<std::string, queue_state> queues_;
};

}  // namespace rosearch::admission

#endif  // ROSEARCH_ADMISSION_SHED_POLICY_H_
