#ifndef ROSEARCH_SCHED_INSTANT_H_
#define ROSEARCH_SCHED_INSTANT_H_

#include <cstdint>

#include "rosearch/core/time.h"

namespace rosearch::sched {

/// One moment by both clocks. Only timetables and what outlives a process use the time of day: it
/// may jump, the other never does.
struct instant {
  time_point steady{};
  std::int64_t wall_ms{0};  ///< time of day in ms since 1970

  friend bool operator==(const instant&, const instant&) = default;
};

}  // namespace rosearch::sched

#endif  // ROSEARCH_SCHED_INSTANT_H_
