// Restarts of a worker under its former id in `scheduler`.
#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

#include "rosearch/sched/scheduler.h"

namespace rosearch::sched {
namespace {

/// Max time that a start order may be in flight. A worker may execute an order seconds after it was
/// sent; the protocol states no bound.
constexpr duration kMaxOrderDelay = std::chrono::seconds{15};

bool Lists(const worker_report* report, const live_run& run) {
  return report != nullptr && std::ranges::any_of(report->running, [&](const running_row& row) {
           return row.run == run.run && row.task == run.task;
         });
}

/// @return whether a run can't execute in the worker's new incarnation, now or later. The response
///         to a start order doesn't tell which incarnation sent it; a list of runs does.
bool EndedWithFormerIncarnation(const live_run& run, const worker_report* report,
                                time_point sent_at) {
  const auto& worker = *run.worker;
  const bool has_late_start = std::ranges::find(worker.late_starts, run.task, &late_start::task) !=
                              worker.late_starts.end();
  if (run.unanswered_starts > 0 || has_late_start || Lists(report, run)) {
    return false;
  }
  if (report != nullptr) {
    // The new incarnation has this leader's fence and refuses the orders of earlier leaders. A
    // start that was confirmed before the watch was sent would be listed.
    return run.listed || run.adopted || run.confirmed_at <= sent_at;
  }
  return !run.adopted && (run.listed || run.confirmed_at <= worker.report_sent_at);
}

}  // namespace

worker_state* scheduler::FindIncarnation(const std::string& worker, std::int64_t born) {
  const auto found = workers_.find(worker);
  return found != workers_.end() && found->second->born == born ? found->second.get() : nullptr;
}

void scheduler::BeginIncarnation(worker_state& worker, std::int64_t born,
                                 const worker_report* report, time_point sent_at,
                                 const instant& now) {
  const auto& id = worker.facts.id;
  std::erase_if(worker.late_starts,
                [&](const late_start& each) { return each.expires <= now.steady; });
  std::vector<live_run*> lost;
  std::vector<live_run*> uncertain;
  for (const auto& [task, run] : worker.runs) {
    const bool over = EndedWithFormerIncarnation(*run, report, sent_at);
    (over ? lost : uncertain).push_back(run.get());
  }
  log_.Write(event_line{"worker_restarted", event_weight::kStateChange}
                 .Add("worker", id)
                 .Add("born", born)
                 .Add("former", worker.born)
                 .Add("lost", lost.size())
                 .Add("uncertain", uncertain.size())
                 .Add("by", report != nullptr ? "report" : "record"));
  ++worker_restarts_;
  worker.born = born;
  worker.born_known_at = now.steady;
  worker.session = session_phase::kNew;
  worker.silent_watches = 0;
  worker.seen_end = 0;
  worker.acked_end = 0;
  worker.report_sent_at = {};
  worker.reservation.reset();
  worker.health = {};
  worker.slowness = 1.0;
  worker.speed_runs = 0;
  workers_with_unstored_ends_.erase(id);
  workers_dirty_ = true;
  for (const auto& [job_id, job] : jobs_) {
    for (const auto& occurrence : job->occurrences) {
      for (const auto& step : occurrence->steps) {
        step->advice.ForgetWorker(&worker, id);
      }
    }
  }
  for (auto* const run : lost) {
    EndRun(*run, end_kind::kLost, {}, now);
  }
  for (auto* const run : uncertain) {
    StopInNewIncarnation(*run, now);
  }
  StopLateStarts(worker, now);
  if (!worker.runs.empty()) {
    // The deadline in a late order is on the former incarnation's clock, so the order isn't refused
    // as late.
    worker.lease_until =
        std::max(worker.lease_until, now.steady + kMaxOrderDelay + MaxLeaseDuration());
  }
  RecordFreedRoom(worker);
}

void scheduler::StopInNewIncarnation(live_run& run, const instant& now) {
  run.listed = false;
  run.missing = false;
  if (run.phase == run_phase::kStopping) {
    // The acknowledgement of the former incarnation is worthless: the new one knows no such run.
    run.stop_acknowledged = false;
    OrderStop(run, now);
    return;
  }
  if (run.step != nullptr && run.step->spec->gang && !run.step->stopping_gang) {
    StopGang(*run.step, now);
    return;
  }
  StopRun(run, stop_reason::kUnanswered, now);
}

void scheduler::RecordLateStart(const live_run& run) {
  auto& worker = *run.worker;
  if (run.unanswered_starts == 0 || worker.born == 0) {
    return;
  }
  std::erase_if(worker.late_starts,
                [&](const late_start& each) { return each.expires <= run.start_sent_at; });
  worker.late_starts.push_back({run.task, run.run, run.start_sent_at + kMaxOrderDelay});
}

void scheduler::StopLateStarts(worker_state& worker, const instant& now) {
  for (const auto& late : std::exchange(worker.late_starts, {})) {
    if (worker.runs.contains(late.task)) {
      continue;  // a stop of a later run of the task covers the earlier one
    }
    StopUnknownRun(worker, {late.task, late.run, {}, 0, 0}, now);
    auto& run = *worker.runs.at(late.task);
    run.unanswered_starts = 1;
    run.start_sent_at = now.steady;
  }
}

void scheduler::IgnoreReport(const worker_state& worker, std::int64_t born, time_point sent_at,
                             const instant& now) {
  log_.Write(event_line{"report_outdated", event_weight::kDetail}
                 .Add("worker", worker.facts.id)
                 .Add("born", born)
                 .Add("newest", worker.born));
  if (sent_at >= worker.born_known_at) {
    OnWatchFailed(worker.facts.id, watch_failure::kNoAnswer, now);
  }
}

}  // namespace rosearch::sched
