#ifndef ROSEARCH_PLATFORM_CLOCK_H_
#define ROSEARCH_PLATFORM_CLOCK_H_

#include <chrono>
#include <ctime>

#include "rosearch/core/time.h"

namespace rosearch {

/// @return the current reading of this process's monotonic clock.
[[nodiscard]] inline time_point SteadyNow() noexcept {
  return time_point{
      std::chrono::duration_cast<duration>(std::chrono::steady_clock::now().time_since_epoch())};
}

/// @return the reading of a monotonic clock that also runs while the machine is suspended. For
///         leases that other processes rely on: `SteadyNow` would let them last longer.
[[nodiscard]] inline time_point SuspendAwareNow() noexcept {
  timespec read{};
  clock_gettime(CLOCK_BOOTTIME, &read);
  return time_point{std::chrono::seconds{read.tv_sec} +
                    std::chrono::duration_cast<duration>(std::chrono::nanoseconds{read.tv_nsec})};
}

}  // namespace rosearch

#endif  // ROSEARCH_PLATFORM_CLOCK_H_
