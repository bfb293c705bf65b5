#include "rosearch/sched/placement_order.h"

namespace rosearch::sched {

placement_rank RankOf(const step_state& step, const scheduler_settings& settings, time_point now) {
  const auto& job = *step.job;
  placement_rank rank;
  rank.interruptible = !step.spec->service;
  rank.priority = job.priority;
  rank.finish_by = job.finish_by;
  if (step.spec->service || step.starved) {
    return rank;
  }
  rank.hopeless =
      settings.Uses(mechanism::kHopelessLast) && now > job.finish_by + 2 * job.predicted.objective;
  rank.beyond_rate = !job.spec->within_rate && settings.Uses(mechanism::kRateOrder);
  return rank;
}

}  // namespace rosearch::sched
