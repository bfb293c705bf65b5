#ifndef ROSEARCH_SCHED_RUN_OUTLOOK_H_
#define ROSEARCH_SCHED_RUN_OUTLOOK_H_

#include "rosearch/core/time.h"

namespace rosearch::sched {

/// Forecast for an active run.
struct run_outlook {
  double slowdown{1.0};     ///< ratio of its run time to that of its siblings elsewhere
  duration projected{};     ///< its run time, extrapolated from its progress
  duration remaining{};     ///< remaining time at its current speed
  duration setup{};         ///< time until a new start elsewhere works: the stop and the restore
  duration rerun{};         ///< run time of a new start on a worker of normal speed
  bool by_siblings{false};  ///< compared with its siblings; otherwise with earlier jobs

  friend bool operator==(const run_outlook&, const run_outlook&) = default;
};

}  // namespace rosearch::sched

#endif  // ROSEARCH_SCHED_RUN_OUTLOOK_H_
