#ifndef ROSEARCH_PLATFORM_CLOCK_H_
#define ROSEARCH_PLATFORM_CLOCK_H_

#include <chrono>

#include "rosearch/core/time.h"

namespace rosearch {

/// @return the current reading of this process's monotonic clock.
[[nodiscard]] inline time_point SteadyNow() noexcept {
  return time_point{
      std::chrono::duration_cast<duration>(std::chrono::steady_clock::now().time_since_epoch())};
}

}  // namespace rosearch

#endif  // ROSEARCH_PLATFORM_CLOCK_H_
