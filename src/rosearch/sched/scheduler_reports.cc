// Handling of worker reports and of workers that don't answer in `scheduler`.
#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

#include "rosearch/sched/scheduler.h"

namespace rosearch::sched {
namespace {

/// Maximum number of ends in one report. A list of this length may be truncated.
constexpr std::size_t kMaxListedEnds = 500;

/// Shares of a service's tail latency target. Runs on leftover processors are throttled above the
/// high share and get their speed back below the low share.
constexpr double kHighTailShare = 0.75;
constexpr double kLowTailShare = 0.5;
constexpr std::uint32_t kPaceStepPercent = 25;

/// Added to the restore time before a run's speed is measured; covers the delivery of the start
/// order and the age of the report.
constexpr duration kSpeedMeasureDelay = std::chrono::milliseconds{150};

}  // namespace

void scheduler::HandleEnd(worker_state& worker, const ended_row& row, const instant& now) {
  if (auto* const run = FindRun(worker.facts.id, row.task, row.run)) {
    EndRun(*run, row.how, row.checkpoint, now);
    return;
  }
  // The run was started by an earlier leader or has already been ended as lost.
  const auto name = task_name::Parse(row.task);
  const bool has_result = row.how == end_kind::kDone || row.how == end_kind::kFailed;
  auto* const step = name && has_result ? FindOrOpenStep(*name, now) : nullptr;
  if (step == nullptr) {
    return;
  }
  log_.Write(event_line{"old_run_ended", event_weight::kDetail}
                 .Add("task", row.task)
                 .Add("run", row.run)
                 .Add("worker", worker.facts.id)
                 .Add("epoch", epoch_)
                 .Add("how", EndKindName(row.how)));
  if (step->spec->gang) {
    ApplyGangEnd(*step, row.run, row.how, worker.facts.id, row.checkpoint, now);
  } else {
    ApplyEnd(*step, name->index, row.run, row.how, worker.facts.id, row.checkpoint, now);
  }
}

void scheduler::StopUnknownRun(worker_state& worker, const running_row& row, const instant& now) {
  auto new_run = std::make_unique<live_run>();
  new_run->task = row.task;
  new_run->run = row.run;
  new_run->worker = &worker;
  new_run->started_at = now.steady;
  new_run->progressed_at = now.steady;
  new_run->adopted = true;
  ++worker.unknown_runs;
  const auto name = task_name::Parse(row.task);
  if (const auto* const step = name ? FindStep(*name) : nullptr) {
    ChargeCustomer(*new_run, step->job->customer, step->spec->need);
  }
  auto& run = *(worker.runs[row.task] = std::move(new_run));
  StopRun(run, stop_reason::kUnknownRun, now);
}

void scheduler::AdoptRun(worker_state& worker, const running_row& row, const instant& now) {
  const auto name = task_name::Parse(row.task);
  auto* const step = name ? FindOrOpenStep(*name, now) : nullptr;
  const bool known = step != nullptr && !step->tasks[name->index].done;
  if (!known || (step->tasks[name->index].live > 0 && !step->spec->may_duplicate)) {
    StopUnknownRun(worker, row, now);
    return;
  }
  auto& run = AttachRun(*step, name->index, worker, row.run, now);
  ConfirmRun(run, now);
  run.listed = true;
  run.adopted = true;
  run.checkpoint = row.checkpoint;
  run.percent = row.percent;
  log_.Write(event_line{"run_adopted", event_weight::kDetail}
                 .Add("task", row.task)
                 .Add("run", row.run)
                 .Add("worker", worker.facts.id)
                 .Add("epoch", epoch_)
                 .Add("percent", row.percent));
}

void scheduler::EndMissingRuns(worker_state& worker, time_point sent_at,
                               const worker_report& report, const instant& now) {
  if (report.ended.size() >= kMaxListedEnds) {
    return;
  }
  std::vector<live_run*> ended_runs;
  for (const auto& each : worker.runs) {
    auto& run = *each.second;
    // A restarted worker may have executed a late order of an earlier run; until that has ended,
    // the task must not start elsewhere.
    const bool listed = std::ranges::any_of(report.running, [&](const running_row& row) {
      return row.task == run.task && (row.run == run.run || worker.born != 0);
    });
    if (listed || run.confirmed_at >= sent_at) {
      run.missing = false;
      continue;
    }
    const bool stopped = run.phase == run_phase::kStopping && run.stop_acknowledged;
    const bool missing_twice = run.phase == run_phase::kRunning && std::exchange(run.missing, true);
    if (stopped || missing_twice) {
      ended_runs.push_back(&run);
    }
  }
  for (auto* const run : ended_runs) {
    EndRun(*run, run->phase == run_phase::kStopping ? end_kind::kStopped : end_kind::kLost, {},
           now);
  }
}

void scheduler::LogUnreadableReport(worker_state& worker, const worker_report& report) {
  if (std::exchange(worker.report_whole, report.whole) != report.whole && !report.whole) {
    log_.Write(event_line{"report_unreadable", event_weight::kFailure}
                   .Add("worker", worker.facts.id)
                   .Add("running", report.running.size())
                   .Add("ended", report.ended.size()));
  }
}

void scheduler::OnReport(const std::string& worker_id, time_point sent_at,
                         const worker_report& report, const instant& now) {
  const auto found = workers_.find(worker_id);
  if (found == workers_.end()) {
    return;
  }
  auto& worker = *found->second;
  if (report.born < worker.born) {
    IgnoreReport(worker, report.born, sent_at, now);
    return;
  }
  LogUnreadableReport(worker, report);
  if (!report.whole) {
    // What can't be read may be a run, or an end that the acknowledgement of a later one would
    // discard. Without answers the worker's lease ends, and its tasks go on elsewhere.
    OnWatchFailed(worker_id, watch_failure::kNoAnswer, now);
    return;
  }
  if (report.born > worker.born) {
    BeginIncarnation(worker, report.born, &report, sent_at, now);
  }
  if (worker.session != session_phase::kLive) {
    log_.Write(event_line{"worker_live", event_weight::kStateChange}
                   .Add("worker", worker_id)
                   .Add("running", report.running.size())
                   .Add("ended", report.ended.size())
                   .Add("silent_watches", worker.silent_watches));
    RecordFreedRoom(worker);
    workers_dirty_ = workers_dirty_ || !worker.records.NewestIsOpen(worker.born);
  }
  for (const auto& row : report.ended) {
    if (row.number > worker.seen_end) {
      worker.seen_end = row.number;
      workers_with_unstored_ends_.insert(worker_id);
      HandleEnd(worker, row, now);
    }
  }
  for (const auto& row : report.running) {
    const auto known = worker.runs.find(row.task);
    if (known == worker.runs.end()) {
      AdoptRun(worker, row, now);
      continue;
    }
    auto& run = *known->second;
    if (run.run != row.run) {
      if (worker.born != 0) {
        orders_.emplace_back(
            stop_order{worker_id, worker.facts.address, row.task, row.run, worker.born});
      }
      continue;
    }
    run.listed = true;
    if (run.phase == run_phase::kStarting || run.phase == run_phase::kUnsure) {
      ConfirmRun(run, now);
    }
    if (!row.checkpoint.empty()) {
      run.checkpoint = row.checkpoint;
    }
    if (row.percent != run.percent) {
      run.percent = row.percent;
      run.progressed_at = now.steady;
    }
    if (!run.measured_from &&
        now.steady >= run.started_at + settings_.restore + kSpeedMeasureDelay) {
      run.measured_from = progress_mark{now.steady, row.percent};
    }
    run.load = row.load;
  }
  EndMissingRuns(worker, sent_at, report, now);
  ReleaseTasks(worker);
  worker.session = session_phase::kLive;
  worker.silent_watches = 0;
  worker.report_sent_at = sent_at;
  SettleWorker(worker_id, "answered", now);
  RescueSlowRuns(worker, now);
  ThrottleLeftoverRuns(worker);
  AckEndsWithoutRecords();
}

void scheduler::EndRunsAsLost(worker_state& worker, std::string_view cause, const instant& now) {
  if (!worker.runs.empty()) {
    log_.Write(event_line{"runs_lost", event_weight::kStateChange}
                   .Add("worker", worker.facts.id)
                   .Add("runs", worker.runs.size())
                   .Add("cause", cause)
                   .Add("epoch", epoch_)
                   .Add("lease_over_ms", now.steady - worker.lease_until)
                   .Add("report_age_ms", now.steady - worker.report_sent_at)
                   .Add("proof_age_ms", ProofAge(now)));
  }
  while (!worker.runs.empty()) {
    EndRun(*worker.runs.begin()->second, end_kind::kLost, {}, now);
  }
}

void scheduler::OnWatchFailed(const std::string& worker_id, watch_failure failure,
                              const instant& now, std::optional<std::int64_t> sent_to) {
  if (failure == watch_failure::kStaleFence) {
    deposed_ = true;
    return;
  }
  const auto found = workers_.find(worker_id);
  if (found == workers_.end()) {
    return;
  }
  auto& worker = *found->second;
  if (sent_to && *sent_to != worker.born) {
    return;
  }
  if (failure == watch_failure::kOtherIncarnation) {
    EndRunsAsLost(worker, "restarted", now);
    SettleWorker(worker_id, "restarted", now);
    DropWorker(worker_id);
    return;
  }
  ++worker.silent_watches;
  const bool unresponsive = worker.silent_watches >= settings_.silent_after;
  if (worker.session == session_phase::kLive && unresponsive) {
    worker.session = session_phase::kSilent;
    workers_dirty_ = true;
    log_.Write(event_line{"worker_silent", event_weight::kStateChange}
                   .Add("worker", worker_id)
                   .Add("runs", worker.runs.size())
                   .Add("lapses_in_ms", worker.lease_until - now.steady));
  }
}

void scheduler::SettleWorker(const std::string& id, std::string_view how, const instant& now) {
  if (unsettled_.erase(id) == 0) {
    return;
  }
  // While many workers are unsettled, old tasks wait for all of them, so a single answer can't
  // unblock a step.
  if (unsettled_.size() <= kMaxUnsettledWorkers) {
    RecordRoomForAnyStep();
  }
  if (how != "answered") {
    log_.Write(event_line{"old_worker_settled", event_weight::kStateChange}
                   .Add("worker", id)
                   .Add("how", how)
                   .Add("epoch", epoch_)
                   .Add("proof_age_ms", ProofAge(now))
                   .Add("left", unsettled_.size()));
  }
  if (unsettled_.empty()) {
    log_.Write(event_line{"old_runs_settled", event_weight::kStateChange}
                   .Add("epoch", epoch_)
                   .Add("took_ms", now.steady - restored_at_));
  }
}

void scheduler::DropWorker(const std::string& id) {
  const auto found = workers_.find(id);
  if (found == workers_.end()) {
    return;
  }
  ReleaseTasks(*found->second);
  workers_with_unstored_ends_.erase(id);
  for (const auto& [job_id, job] : jobs_) {
    for (const auto& occurrence : job->occurrences) {
      for (const auto& step : occurrence->steps) {
        step->advice.RemoveWorker(found->second.get());
      }
    }
  }
  fill_.Remove(*found->second);
  workers_.erase(found);
  workers_dirty_ = true;
}

void scheduler::StopStuckRuns(worker_state& worker, const instant& now) {
  if (worker.session != session_phase::kLive) {
    return;
  }
  for (const auto& [task, run] : worker.runs) {
    if (run->phase != run_phase::kRunning || run->step == nullptr || run->percent >= 100) {
      continue;
    }
    const auto& spec = *run->step->spec;
    const auto limit = std::max<duration>(settings_.stuck_timeout, spec.estimate / 2);
    if (spec.uses_leftover || now.steady - run->progressed_at < limit) {
      continue;
    }
    if (worker.health.RecordFailure(settings_, now.steady)) {
      log_.Write(event_line{"worker_quarantined", event_weight::kStateChange}
                     .Add("worker", worker.facts.id)
                     .Add("cause", "no_progress"));
    }
    run->step->tasks[run->index].failed_on = worker.facts.id;
    if (spec.gang) {
      StopGang(*run->step, now);
    } else {
      StopRun(*run, stop_reason::kStuck, now);
    }
  }
}

void scheduler::StopRunsOnDrainingWorker(worker_state& worker, const instant& now) {
  if (!worker.facts.draining || worker.session != session_phase::kLive) {
    return;
  }
  const auto stop_at = worker.leaves_at - settings_.stop_timeout - settings_.stuck_timeout / 2;
  for (const auto& [task, run] : worker.runs) {
    if (run->phase != run_phase::kRunning || run->step == nullptr) {
      continue;
    }
    const auto& spec = *run->step->spec;
    // A service gains nothing by staying, so it is stopped at once. A run with checkpoints is
    // stopped as late as possible, so that its newest checkpoint is kept.
    const bool must_stop = spec.service || (spec.checkpoints && now.steady >= stop_at);
    if (!must_stop) {
      continue;
    }
    if (spec.gang) {
      StopGang(*run->step, now);
    } else {
      StopRun(*run, stop_reason::kLeaving, now);
    }
  }
}

void scheduler::ThrottleLeftoverRuns(worker_state& worker) {
  if (worker.leftover_runs == 0 || worker.service_runs == 0) {
    return;
  }
  double worst_tail_ratio = 0;
  for (const auto& [task, run] : worker.runs) {
    if (run->step == nullptr || run->step->spec->tail_target.count() == 0) {
      continue;
    }
    const auto target =
        std::chrono::duration<double, std::milli>{run->step->spec->tail_target}.count();
    worst_tail_ratio = std::max(worst_tail_ratio, run->load / target);
  }
  for (const auto& [task, run] : worker.runs) {
    if (run->step == nullptr || !run->step->spec->uses_leftover ||
        run->phase != run_phase::kRunning) {
      continue;
    }
    auto pace = run->pace;
    if (worst_tail_ratio > 1) {
      pace = 0;
    } else if (worst_tail_ratio > kHighTailShare) {
      pace = pace > kPaceStepPercent ? pace - kPaceStepPercent : 0;
    } else if (worst_tail_ratio < kLowTailShare) {
      pace = std::min(100U, pace + kPaceStepPercent);
    }
    if (pace == run->pace) {
      continue;
    }
    run->pace = pace;
    orders_.emplace_back(
        pace_order{worker.facts.id, worker.facts.address, run->task, run->run, pace});
    log_.Write(event_line{"run_paced", event_weight::kDetail}
                   .Add("task", run->task)
                   .Add("worker", worker.facts.id)
                   .Add("percent", pace)
                   .Add("tail_percent", static_cast<int>(worst_tail_ratio * 100)));
  }
}

}  // namespace rosearch::sched
