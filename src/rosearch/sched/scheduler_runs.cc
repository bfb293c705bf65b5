// Lifecycle of the runs of `scheduler`, from the start order to the confirmed end.
#include <algorithm>
#include <chrono>

#include "rosearch/sched/scheduler.h"

namespace rosearch::sched {
namespace {

/// Backoff for a worker that a start order didn't reach.
constexpr duration kUnreachableBackoff = std::chrono::milliseconds{300};

/// A service's run must last longer than this to reset the restart backoff.
constexpr duration kMinServiceUptime = std::chrono::seconds{2};

/// Maximum number of runs of one task per epoch; more would collide with numbers of the next epoch.
constexpr std::uint32_t kMaxRunsPerEpoch = 10'000;

std::string_view OutcomeName(start_outcome outcome) {
  constexpr std::string_view kNames[]{"started",     "not_sent",   "no_room",  "bad_ticket",
                                      "stale_fence", "stale_run",  "too_late", "unhealthy",
                                      "rejected",    "other_life", "unknown"};
  return kNames[static_cast<std::size_t>(outcome)];
}

}  // namespace

std::uint32_t scheduler::RunNumber(std::uint32_t count) const {
  return static_cast<std::uint32_t>((epoch_ - 1) * kMaxRunsPerEpoch + count);
}

duration scheduler::MaxLeaseDuration() const {
  const auto lease_bound = std::chrono::duration<double, std::micro>{settings_.max_lease} *
                           (1.0 + settings_.max_clock_drift);
  return std::chrono::duration_cast<duration>(lease_bound) + settings_.lease_expiry_margin;
}

time_point scheduler::GrantLease(worker_state& worker, const instant& now) const {
  worker.lease_until = std::max(worker.lease_until, now.steady + MaxLeaseDuration());
  return now.steady + settings_.max_lease;
}

live_run* scheduler::FindRun(const std::string& worker, const std::string& task,
                             std::uint32_t run) {
  const auto holder = workers_.find(worker);
  if (holder == workers_.end()) {
    return nullptr;
  }
  const auto found = holder->second->runs.find(task);
  const bool same = found != holder->second->runs.end() && found->second->run == run;
  return same ? found->second.get() : nullptr;
}

live_run& scheduler::AttachRun(step_state& step, std::uint32_t index, worker_state& worker,
                               std::uint32_t number, const instant& now) {
  if (step.job->phase == job_phase::kQueued) {
    RecordTiming(*step.job, false, now);
  }
  auto new_run = std::make_unique<live_run>();
  new_run->task = step.Name() + '.' + std::to_string(index);
  new_run->run = number;
  new_run->worker = &worker;
  new_run->step = &step;
  new_run->index = index;
  new_run->charged = step.spec->need;
  if (step.spec->uses_leftover) {
    new_run->charged.processors_milli = 0;
  }
  ChargeCustomer(*new_run, step.job->customer, step.spec->need);
  new_run->started_at = now.steady;
  new_run->ordered_at = now.steady;
  new_run->progressed_at = now.steady;
  ++step.tasks[index].live;
  step.tasks[index].wants_copy = false;
  ++step.job->live;
  step.job->phase = job_phase::kRunning;
  step.runs.push_back(new_run.get());
  worker.used = worker.used + new_run->charged;
  fill_.Update(worker);
  worker.service_runs += step.spec->service ? 1 : 0;
  worker.leftover_runs += step.spec->uses_leftover ? 1 : 0;
  auto& run = *new_run;
  worker.runs[run.task] = std::move(new_run);
  return run;
}

void scheduler::OrderStart(live_run& run, const instant& now) {
  auto& worker = *run.worker;
  orders_.emplace_back(start_order{worker.facts.id, worker.facts.address, run.task, run.run,
                                   run.step->job->spec, run.checkpoint, run.ticket, worker.born,
                                   GrantLease(worker, now)});
  ++run.unanswered_starts;
  run.start_sent_at = now.steady;
}

void scheduler::OrderStop(live_run& run, const instant& now) {
  const auto& facts = run.worker->facts;
  run.retry_at = now.steady + settings_.stop_retry_interval;
  orders_.emplace_back(stop_order{facts.id, facts.address, run.task, run.run, run.worker->born});
}

void scheduler::LogRepeatedOrder(const live_run& run, std::string_view order) {
  log_.Write(event_line{"order_repeated", event_weight::kFailure}
                 .Add("task", run.task)
                 .Add("run", run.run)
                 .Add("worker", run.worker->facts.id)
                 .Add("order", order)
                 .Add("tries", run.tries));
}

live_run& scheduler::BeginRun(step_state& step, std::uint32_t index, worker_state& worker,
                              std::uint32_t number, std::string checkpoint, std::string ticket,
                              const instant& now) {
  auto& task = step.tasks[index];
  auto& run = AttachRun(step, index, worker, number, now);
  run.ticket = std::move(ticket);
  step.advice.RecordUse();
  RecordUseOfReservation(worker, step, now);
  // Each task of a service is restarted by itself, so the others of the step go on waiting.
  if (!step.spec->service || step.CountIdleTasks() == 0) {
    EndStall(step, now);
  }
  run.checkpoint = std::move(checkpoint);
  if (run.checkpoint.empty()) {
    run.measured_from = progress_mark{now.steady, 0};
    run.from_scratch = true;
  }
  OrderStart(run, now);
  log_.Write(event_line{"run_ordered", event_weight::kDetail}
                 .Add("job", step.job->spec->id)
                 .Add("task", run.task)
                 .Add("run", number)
                 .Add("worker", worker.facts.id)
                 .Add("free_cpu", worker.Free().processors_milli)
                 .Add("free_mb", worker.Free().memory_mb)
                 .Add("attempt", task.failed_runs.size() + 1)
                 .Add("resumes", static_cast<int>(!run.checkpoint.empty())));
  return run;
}

void scheduler::StopRun(live_run& run, stop_reason reason, const instant& now,
                        const step_state* for_step) {
  if (run.phase == run_phase::kStopping) {
    return;
  }
  run.phase = run_phase::kStopping;
  run.reason = reason;
  run.stop_acknowledged = false;
  run.ordered_at = now.steady;
  OrderStop(run, now);
  log_.Write(event_line{"run_stopping", reason == stop_reason::kJobOver ? event_weight::kDetail
                                                                        : event_weight::kFailure}
                 .Add("task", run.task)
                 .Add("run", run.run)
                 .Add("worker", run.worker->facts.id)
                 .Add("reason", StopReasonName(reason))
                 .Add("for", for_step == nullptr ? "" : for_step->Name())
                 .Add("percent", run.percent));
}

void scheduler::DetachRun(live_run& run) {
  auto& worker = *run.worker;
  RecordLateStart(run);
  worker.used = worker.used - run.charged;
  if (run.customer != nullptr) {
    run.customer->Release(run.customer_charge);
  }
  fill_.Update(worker);
  if (run.step != nullptr) {
    auto& step = *run.step;
    --step.tasks[run.index].live;
    --step.job->live;
    std::erase(step.runs, &run);
    AddWaitingStep(step);
    worker.service_runs -= step.spec->service ? 1 : 0;
    worker.leftover_runs -= step.spec->uses_leftover ? 1 : 0;
    if (step.runs.empty()) {
      step.stopping_gang = false;
    }
    if (step.job->live == 0 && IsTerminal(step.job->phase)) {
      retiring_.push_back(step.job->spec->id);
    }
  } else {
    --worker.unknown_runs;
  }
  RecordFreedRoom(worker);
  worker.runs.erase(std::string{run.task});
}

void scheduler::EndRun(live_run& run, end_kind how, const std::string& checkpoint,
                       const instant& now) {
  auto& worker = *run.worker;
  auto* const step = run.step;
  const auto index = run.index;
  const auto number = run.run;
  const auto& newest = checkpoint.empty() ? run.checkpoint : checkpoint;
  const std::string newest_checkpoint = newest;
  const auto known_for = now.steady - run.started_at;
  const auto took = ObservedRunTime(run, now.steady);
  const bool expected = how == end_kind::kDone || how == end_kind::kStopped;
  log_.Write(event_line{"run_ended", expected ? event_weight::kDetail : event_weight::kFailure}
                 .Add("task", run.task)
                 .Add("run", number)
                 .Add("worker", worker.facts.id)
                 .Add("how", EndKindName(how))
                 .Add("reason", StopReasonName(run.reason))
                 .Add("took_ms", known_for)
                 .Add("whole", static_cast<int>(took.has_value())));
  if (how == end_kind::kDone) {
    worker.health.RecordSuccess();
    if (took) {
      RecordRunSpeed(run, *took);
      LearnRunTime(run, *took);
    }
  } else if (how == end_kind::kFailed && worker.health.RecordFailure(settings_, now.steady)) {
    log_.Write(event_line{"worker_quarantined", event_weight::kStateChange}
                   .Add("worker", worker.facts.id)
                   .Add("cause", "failures"));
  }
  if (step != nullptr && step->spec->service && known_for > kMinServiceUptime) {
    step->tasks[index].consecutive_early_ends = 0;
  }
  DetachRun(run);
  if (step == nullptr) {
    return;
  }
  if (step->spec->gang) {
    ApplyGangEnd(*step, number, how, worker.facts.id, newest_checkpoint, now);
  } else {
    ApplyEnd(*step, index, number, how, worker.facts.id, newest_checkpoint, now);
  }
}

void scheduler::ApplyEnd(step_state& step, std::uint32_t index, std::uint32_t run, end_kind how,
                         const std::string& worker, const std::string& checkpoint,
                         const instant& now) {
  auto& task = step.tasks[index];
  if (IsTerminal(step.job->phase) || task.done) {
    return;
  }
  if (step.spec->checkpoints && !checkpoint.empty() && checkpoint != task.checkpoint) {
    task.checkpoint = checkpoint;
    MarkDirty(*step.job, false);
  }
  if (how == end_kind::kDone && !step.spec->service) {
    FinishTask(step, index, now);
  } else if (how == end_kind::kFailed) {
    FailTask(step, index, run, worker, now);
  }
}

void scheduler::ApplyGangEnd(step_state& step, std::uint32_t run, end_kind how,
                             const std::string& worker, const std::string& checkpoint,
                             const instant& now) {
  if (IsTerminal(step.job->phase) || step.Finished()) {
    return;
  }
  // A checkpoint of one member is valid for the whole gang, and all members must resume from the
  // same checkpoint.
  if (step.spec->checkpoints && !checkpoint.empty()) {
    step.tasks.front().checkpoint = checkpoint;
    MarkDirty(*step.job, false);
  }
  if (how == end_kind::kDone && !step.spec->service) {
    for (auto& task : step.tasks) {
      task.done = true;
    }
    step.done = static_cast<std::uint32_t>(step.tasks.size());
    MarkDirty(*step.job, false);
    FinishStep(step, now);
    return;
  }
  if (how == end_kind::kFailed) {
    FailTask(step, 0, run, worker, now);
  }
  StopGang(step, now);
}

void scheduler::StopGang(step_state& step, const instant& now) {
  if (step.runs.empty() || step.stopping_gang) {
    return;
  }
  step.stopping_gang = true;
  const auto runs = step.runs;
  for (auto* const run : runs) {
    StopRun(*run, stop_reason::kGangBroken, now);
  }
}

void scheduler::OnStartAnswer(const start_order& sent, start_outcome outcome, const instant& now) {
  if (outcome == start_outcome::kStaleFence) {
    deposed_ = true;
    return;
  }
  if (outcome == start_outcome::kOtherIncarnation) {
    OnWatchFailed(sent.worker, watch_failure::kOtherIncarnation, now, sent.born);
    return;
  }
  auto* const run = FindIncarnation(sent.worker, sent.born) == nullptr
                        ? nullptr
                        : FindRun(sent.worker, sent.task, sent.run);
  if (run != nullptr && outcome != start_outcome::kUnknown && run->unanswered_starts > 0) {
    --run->unanswered_starts;
  }
  if (run == nullptr || run->phase == run_phase::kStopping || run->phase == run_phase::kRunning) {
    return;
  }
  if (outcome == start_outcome::kStarted) {
    ConfirmRun(*run, now);
    return;
  }
  log_.Write(event_line{"start_unanswered", event_weight::kFailure}
                 .Add("task", run->task)
                 .Add("run", run->run)
                 .Add("worker", sent.worker)
                 .Add("outcome", OutcomeName(outcome))
                 .Add("took_ms", now.steady - run->start_sent_at)
                 .Add("tries", run->tries));
  if (outcome == start_outcome::kStaleRun) {
    // The worker already executed another copy of this order, and that run has ended. A later
    // report will contain its end; if the start were handled as refused, the task would run twice.
    ConfirmRun(*run, now);
    return;
  }
  if (outcome == start_outcome::kUnknown) {
    run->phase = run_phase::kUnsure;
    run->retry_at = now.steady;
    return;
  }
  HandleRefusedStart(*run, outcome, now);
}

void scheduler::ConfirmRun(live_run& run, const instant& now) {
  run.phase = run_phase::kRunning;
  run.confirmed_at = now.steady;
  if (run.step != nullptr) {
    run.step->job->begun = true;
  }
}

void scheduler::HandleRefusedStart(live_run& run, start_outcome outcome, const instant& now) {
  auto& worker = *run.worker;
  if (outcome == start_outcome::kUnhealthy) {
    worker.health.RecordFailure(settings_, now.steady);
    worker.health.ExcludeUntil(now.steady + settings_.refusal_backoff);
  } else if (outcome == start_outcome::kBadTicket) {
    if (auto* const allowance = run.step->advice.Find(&worker)) {
      allowance->expires = time_point{};
    }
  } else if (outcome == start_outcome::kNotSent) {
    worker.health.ExcludeUntil(now.steady + kUnreachableBackoff);
  } else {
    worker.health.ExcludeUntil(now.steady + settings_.refusal_backoff);
  }
  if (run.tries > 1) {
    // An earlier copy of the order was never answered and may still be executed. Without the stop,
    // a new run of the task could execute concurrently with it.
    StopRun(run, stop_reason::kUnanswered, now);
    return;
  }
  auto* const step = run.step;
  DetachRun(run);
  if (step->spec->gang) {
    StopGang(*step, now);
  }
}

void scheduler::OnStopAnswer(const stop_order& sent, bool acknowledged, const instant& now) {
  if (FindIncarnation(sent.worker, sent.born) == nullptr) {
    return;
  }
  auto* const run = FindRun(sent.worker, sent.task, sent.run);
  if (run == nullptr || run->phase != run_phase::kStopping) {
    return;
  }
  if (acknowledged) {
    run->stop_acknowledged = true;
    run->confirmed_at = now.steady;
    run->retry_at = kNever;
  }
}

void scheduler::RetryOrders(worker_state& worker, const instant& now) {
  if (worker.session != session_phase::kLive) {
    return;  // retried once the worker answers again; otherwise its lease expires
  }
  for (const auto& [task, run] : worker.runs) {
    if (run->retry_at > now.steady) {
      continue;
    }
    if (run->phase == run_phase::kStopping && !run->stop_acknowledged) {
      OrderStop(*run, now);
      LogRepeatedOrder(*run, "stop");
    } else if (run->phase == run_phase::kUnsure && run->tries >= settings_.max_start_attempts) {
      // Without this the next run of the task would be ordered from the same worker again.
      worker.health.RecordFailure(settings_, now.steady);
      if (run->step != nullptr) {
        run->step->tasks[run->index].failed_on = worker.facts.id;
      }
      StopRun(*run, stop_reason::kUnanswered, now);
    } else if (run->phase == run_phase::kUnsure) {
      ++run->tries;
      run->phase = run_phase::kStarting;
      OrderStart(*run, now);
      LogRepeatedOrder(*run, "start");
    }
  }
}

}  // namespace rosearch::sched
