#ifndef ROSEARCH_CELL_INTERNAL_LEADER_VIEWS_H_
#define ROSEARCH_CELL_INTERNAL_LEADER_VIEWS_H_

// Metrics of a leader. Included by leader.h.

#include "rosearch/cell/leader.h"

namespace rosearch::cell {

template <typename Ports>
void leader<Ports>::RecordTimings() {
  for (const auto& timing : scheduler_.TakeTimings()) {
    const auto priority = std::to_string(timing.priority);
    const auto phase = sched::PhaseName(timing.phase);
    metrics_.Observe(timing.ended
                         ? Labelled("rosearch_job_seconds", "phase", phase, "priority", priority)
                         : Labelled("rosearch_wait_seconds", "priority", priority),
                     timing.took);
  }
}

template <typename Ports>
void leader<Ports>::FillMetrics() {
  const auto counts = scheduler_.Counts(Now());
  const auto set = [this](const char* name, std::size_t value) {
    metrics_.Set(name, static_cast<double>(value));
  };
  set("rosearch_jobs", counts.jobs);
  set("rosearch_job_memory_bytes", counts.job_bytes);
  set("rosearch_job_memory_limit_bytes", counts.max_job_bytes);
  set("rosearch_waiting_tasks", counts.waiting_tasks);
  set("rosearch_runs", counts.runs);
  set("rosearch_workers_live", counts.workers_live);
  set("rosearch_leases_ending", counts.leases_ending);
  set("rosearch_unsettled_workers", counts.unsettled);
  set("rosearch_stalled_steps", counts.stalled_steps);
  metrics_.Set("rosearch_oldest_stall_seconds",
               std::chrono::duration<double>{counts.oldest_stall}.count());
  metrics_.Set("rosearch_oldest_unconfirmed_seconds",
               std::chrono::duration<double>{counts.oldest_unconfirmed}.count());
  metrics_.SetTotal("rosearch_advice_unused_total", counts.advice_unused);
  set("rosearch_advice_waiting", advice_.CountQueued());
  set("rosearch_callers_waiting", callers_.size());
  set("rosearch_calls_waiting", intake_.CountWaiting());
  set("rosearch_batches", batches_.size());
  metrics_.SetTotal("rosearch_placement_attempts_total", counts.placement_attempts);
  metrics_.SetTotal("rosearch_worker_restarts_total", counts.worker_restarts);
  metrics_.SetTotal("rosearch_worker_looks_total", counts.workers_considered);
  metrics_.SetTotal("rosearch_run_times_learned_total", counts.run_times_learned);
  metrics_.Set("rosearch_oldest_report_seconds",
               std::chrono::duration<double>{counts.oldest_report}.count());
}

}  // namespace rosearch::cell

#endif  // ROSEARCH_CELL_INTERNAL_LEADER_VIEWS_H_
