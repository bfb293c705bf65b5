#ifndef ROSEARCH_CORE_TIME_H_
#define ROSEARCH_CORE_TIME_H_

#include <chrono>

namespace rosearch {

/// A process's own monotonic clock. Its readings mean nothing to another process: a message carries
/// the time that is left, never a reading.
struct monotonic_clock {
  using rep = std::chrono::microseconds::rep;
  using period = std::chrono::microseconds::period;
  using duration = std::chrono::microseconds;
  using time_point = std::chrono::time_point<monotonic_clock>;
  static constexpr bool is_steady = true;
};

/// A moment by the monotonic clock of this process, in microseconds.
using time_point = monotonic_clock::time_point;

/// A span of time in microseconds. Deadlines are stored as `time_point`; a span is only a setting
/// or what a message carries.
using duration = monotonic_clock::duration;

/// Later than every moment that a process reaches.
inline constexpr time_point kNever = time_point::max();

}  // namespace rosearch

#endif  // ROSEARCH_CORE_TIME_H_
