#ifndef ROSEARCH_SCHED_CELL_COUNTS_H_
#define ROSEARCH_SCHED_CELL_COUNTS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "rosearch/core/time.h"

namespace rosearch::sched {

/// Counts about the cell's state, for operators.
struct cell_counts {
  std::size_t jobs{0};
  std::size_t waiting_tasks{0};
  std::size_t runs{0};
  std::size_t workers_live{0};
  std::size_t workers{0};
  std::size_t leases_ending{0};  ///< live workers whose lease ends within `kLeaseEnding`
  std::size_t unsettled{0};      ///< see `scheduler::OldRunsSettled`: workers without an answer yet
  duration oldest_report{};      ///< max age of the newest report over all live workers
  std::size_t stalled_steps{0};  ///< see `stall_view`
  duration oldest_stall{};       ///< how long the longest of these has stalled
  std::size_t job_bytes{0};      ///< memory of all jobs, as counted against its limit
  std::size_t max_job_bytes{0};  ///< that limit
  duration oldest_unconfirmed{};   ///< max age of an order that neither answer nor report confirms
  std::uint64_t advice_unused{0};  ///< answers of advice after which nothing started
  std::uint64_t placement_attempts{0};  ///< attempts to place a waiting step, since the start
  std::uint64_t workers_considered{0};  ///< workers considered for a waiting step, since the start
  std::uint64_t run_times_learned{0};   ///< runs whose run time was learned, since the start
  std::uint64_t worker_restarts{0};     ///< restarts of workers under their id, since the start

  friend bool operator==(const cell_counts&, const cell_counts&) = default;
};

/// A lease that ends within this time counts as about to expire; leases are extended every 0.6 s.
inline constexpr duration kLeaseEnding = std::chrono::seconds{3};

}  // namespace rosearch::sched

#endif  // ROSEARCH_SCHED_CELL_COUNTS_H_
