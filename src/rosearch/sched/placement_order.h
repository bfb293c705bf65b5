#ifndef ROSEARCH_SCHED_PLACEMENT_ORDER_H_
#define ROSEARCH_SCHED_PLACEMENT_ORDER_H_

#include <compare>
#include <cstdint>

#include "rosearch/core/time.h"
#include "rosearch/sched/job_state.h"
#include "rosearch/sched/scheduler_settings.h"

namespace rosearch::sched {

/// Position of a waiting step in the order of placement; smaller ones are served first.
///
/// Answers a cell in which more work waits than fits, some of it from customers that send many
/// times their rate: these would make the jobs of all others late.
struct placement_rank {
  bool interruptible{false};  ///< not a service, whose users are affected at once
  bool hopeless{false};       ///< late by more than twice its objective
  std::uint32_t priority{0};
  bool beyond_rate{false};  ///< submitted beyond the rate to which its customer is entitled
  time_point finish_by{};

  friend auto operator<=>(const placement_rank&, const placement_rank&) = default;
};

/// @return the position of a waiting step in the order of placement.
[[nodiscard]] placement_rank RankOf(const step_state& step, const scheduler_settings& settings,
                                    time_point now);

}  // namespace rosearch::sched

#endif  // ROSEARCH_SCHED_PLACEMENT_ORDER_H_
