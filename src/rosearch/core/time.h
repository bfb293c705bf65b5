#ifndef ROSEARCH_CORE_TIME_H_
#define ROSEARCH_CORE_TIME_H_

#include <chrono>

namespace rosearch {

/// Monotonic clock of this process. Its readings are meaningless in other processes: messages carry
/// the remaining time, never a reading.
struct monotonic_clock {
  using rep = std::chrono::microseconds::rep;
  using period = std::chrono::microseconds::period;
  using duration = std::chrono::microseconds;
  using time_point = std::chrono::time_point<monotonic_clock>;
  static constexpr bool is_steady = true;
};

/// Time point of the monotonic clock of this process, in microseconds.
using time_point = monotonic_clock::time_point;

/// Duration in microseconds. Used only for settings and in messages; deadlines are stored as
/// `time_point`.
using duration = monotonic_clock::duration;

/// Later than any time point that a process reaches.
inline constexpr time_point kNever = time_point::max();

}  // namespace rosearch

#endif  // ROSEARCH_CORE_TIME_H_
