#ifndef ROSEARCH_SCHED_INSTANT_H_
#define ROSEARCH_SCHED_INSTANT_H_

#include <cstdint>

#include "rosearch/core/time.h"

namespace rosearch::sched {

/// A point in time on both the steady clock and the wall clock. The wall clock may jump, so only
/// timetables and times that outlive the process use it.
struct instant {
  time_point steady{};
  std::int64_t wall_ms{0};  ///< Unix time in ms

  friend bool operator==(const instant&, const instant&) = default;
};

}  // namespace rosearch::sched

#endif  // ROSEARCH_SCHED_INSTANT_H_
