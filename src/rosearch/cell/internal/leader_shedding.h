#ifndef ROSEARCH_CELL_INTERNAL_LEADER_SHEDDING_H_
#define ROSEARCH_CELL_INTERNAL_LEADER_SHEDDING_H_

// Queues that accept no new jobs for a time. Included by leader.h.

#include "rosearch/cell/leader.h"

namespace rosearch::cell {

template <typename Ports>
bool leader<Ports>::RefuseShedJob(const sched::job_spec& job, const respond& answer) {
  // Processes forward all calls for services.
  const auto retry_after =
      job.steps.front().service ? std::nullopt : shedding_.RefuseNew(job.queue, SuspendAwareNow());
  if (!retry_after) {
    return false;
  }
  log_.Write(event_line{"job_refused", event_weight::kFailure}
                 .Add("job", job.id)
                 .Add("reason", "queue_closed")
                 .Add("retry_after_ms", *retry_after));
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(*retry_after).count();
  RefuseJob("queue_closed", {429, {}, static_cast<std::uint32_t>(seconds), false}, answer);
  return true;
}

template <typename Ports>
void leader<Ports>::UpdateShedding() {
  const auto now = SuspendAwareNow();
  shedding_.Update(Now(), now);
  if (shedding_.NeedsConfirmation(now)) {
    VerifyLeadership();
  }
}

}  // namespace rosearch::cell

#endif  // ROSEARCH_CELL_INTERNAL_LEADER_SHEDDING_H_
