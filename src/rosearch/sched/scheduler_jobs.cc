// Jobs of `scheduler`: admission, cancellation, opening of steps, and completion.
#include <algorithm>
#include <chrono>

#include "rosearch/sched/scheduler.h"

namespace rosearch::sched {
namespace {

/// A step that waits for a shorter time isn't logged: an answer from advice takes that long.
constexpr duration kWaitLogDelay = std::chrono::milliseconds{300};

/// Interval of the scan for ended jobs past their retention time; dropping one a second late is
/// harmless.
constexpr duration kForgetInterval = std::chrono::seconds{1};

/// Maximum backoff before a service's task is restarted after short runs. Callers are promised that
/// a service is back within seconds.
constexpr duration kMaxServiceBackoff = std::chrono::milliseconds{1'500};

/// Weight of one job in the moving average of its queue's slack.
constexpr double kSlackWeight = 0.05;

/// A job is admitted whatever its expected wait if this share of the pool's processors is free
/// beyond the reserve and all tasks of its first step fit: tasks that wait in such a pool wait for
/// advice, not for room. The share alone is not enough because of fragmentation: with 4 of 16
/// processors free on each worker it admitted twice the work that fits, and 9 instead of 45 of 100
/// jobs met their objective.
constexpr double kFreeShareMargin = 0.05;

/// Limits of the retry delay for refused callers. The minimum keeps refusing a job cheaper than
/// serving it.
constexpr duration kMinRetryAfter = std::chrono::seconds{1};
constexpr duration kMaxRetryAfter = std::chrono::seconds{20};
/// Jobs that fill the memory for jobs end in seconds, or last.
constexpr duration kMemoryRetryAfter = std::chrono::seconds{5};

/// Minimum interval between two measurements of a pool's load. At hundreds of jobs per second,
/// visiting all runs and waiting tasks for each job would cost more than placing the jobs.
constexpr duration kMinMeasureInterval = std::chrono::milliseconds{50};
/// Multiplied by the number of workers, so that measuring takes the same share of time in cells of
/// any size.
constexpr duration kMinMeasureIntervalPerWorker = std::chrono::microseconds{50};

}  // namespace

job_state* scheduler::FindJob(std::string_view id) {
  const auto found = jobs_.find(std::string{id});
  return found == jobs_.end() ? nullptr : found->second.get();
}

step_state* scheduler::FindStep(const task_name& name) {
  auto* const job = FindJob(name.job);
  auto* const step = job == nullptr ? nullptr : job->Step(name.occurrence, name.step);
  return step != nullptr && name.index < step->tasks.size() ? step : nullptr;
}

step_state* scheduler::FindOrOpenStep(const task_name& name, const instant& now) {
  auto* const job = FindJob(name.job);
  // A job that isn't accepted may yet be refused and removed with its steps.
  if (job == nullptr || !job->accepted || IsTerminal(job->phase)) {
    return nullptr;
  }
  const auto& steps = job->spec->steps;
  if (name.occurrence >= job->Occurrences() || name.step >= steps.size() ||
      name.index >= steps[name.step].count) {
    return nullptr;
  }
  while (name.occurrence >= job->occurrences.size()) {
    OpenSteps(*job, OpenOccurrence(*job), now);
  }
  return FindStep(name);
}

void scheduler::RecordTiming(const job_state& job, bool ended, const instant& now) {
  // The duration of recurring jobs and services is set by their callers, so it says nothing about
  // the cell's performance.
  if (job.spec->occurrences == 0 && !job.spec->steps.front().service) {
    timings_.push_back({ended, job.phase, job.priority, now.steady - job.submitted_at});
  }
}

void scheduler::MarkDirty(job_state& job, bool urgent) {
  urgent_ = urgent_ || urgent;
  if (!job.dirty) {
    job.dirty = true;
    dirty_.push_back(job.spec->id);
  }
}

void scheduler::ResolveRules(job_state& job) const {
  if (const auto* const rules = configuration_.Find(job.spec->queue)) {
    job.pool = rules->pool;
    job.priority = rules->priority;
    job.max_attempts = rules->max_attempts;
    job.advice = rules->advice;
  } else if (job.pool.empty()) {
    job.pool = job.spec->pool;
    job.priority = job.spec->priority;
    job.max_attempts = job.spec->max_attempts;
    job.advice = job.spec->advice;
  }
}

void scheduler::Configure(cell_configuration configuration, const instant&) {
  if (configuration.version <= configuration_.version) {
    return;
  }
  log_.Write(event_line{"configuration", event_weight::kStateChange}
                 .Add("version", configuration.version)
                 .Add("before", configuration_.version)
                 .Add("queues", configuration.queues.size())
                 .Add("customers", configuration.customers.size()));
  configuration_ = std::move(configuration);
  customers_.Configure(configuration_.customers);
  urgent_pools_.clear();
  for (const auto& rules : configuration_.queues) {
    if (rules.priority == 0) {
      urgent_pools_.insert(rules.pool);
    }
  }
  for (auto& [id, job] : jobs_) {
    ResolveRules(*job);
    ApplyPrediction(*job, PredictJob(*job->spec));
  }
  RecordRoomForAnyStep();
}

bool scheduler::FitsSomewhere(const job_spec& job) const {
  for (const auto& step : job.steps) {
    const auto wanted = step.gang ? step.count : 1U;
    std::uint32_t fitting = 0;
    for (const auto& [id, worker] : workers_) {
      if (fitting >= wanted) {
        break;
      }
      const auto& facts = worker->facts;
      if (facts.pool == job.pool && facts.HasLabel(step.required_label) &&
          step.need.FitsIn(facts.capacity)) {
        auto max_tasks = std::min<std::int64_t>(step.need.CountIn(facts.capacity), step.count);
        if (step.per_worker_limit > 0) {
          max_tasks = std::min<std::int64_t>(max_tasks, step.per_worker_limit);
        }
        fitting += static_cast<std::uint32_t>(max_tasks);
      }
    }
    if (fitting < wanted) {
      return false;
    }
  }
  return true;
}

double scheduler::MeanSlackMs(const job_spec& job, const job_prediction& predicted) {
  const auto path = CriticalPath(job.steps, predicted.run_times);
  const auto chain = std::chrono::duration<double, std::milli>{path}.count();
  const auto objective = std::chrono::duration<double, std::milli>{predicted.objective}.count();
  const double own = std::max(0.0, objective - chain);
  auto& mean = mean_slack_ms_.try_emplace(job.queue, own).first->second;
  mean += kSlackWeight * (own - mean);
  return mean;
}

bool scheduler::HasRoomForFirstStep(const job_spec& job) const {
  const auto& step = job.steps.front();
  const double reserved_share = job.priority == 0 ? 0.0 : UrgentReserveShare(job.pool);
  std::int64_t fitting = 0;
  for (const auto& [id, worker] : workers_) {
    const auto& facts = worker->facts;
    if (fitting >= static_cast<std::int64_t>(step.count)) {
      break;
    }
    if (facts.pool != job.pool || !worker->TakesWork()) {
      continue;
    }
    auto room = worker->Free();
    room.processors_milli -= static_cast<std::int64_t>(
        reserved_share * static_cast<double>(facts.capacity.processors_milli));
    fitting += std::min<std::int64_t>(step.need.CountIn(room), step.count);
  }
  return fitting >= static_cast<std::int64_t>(step.count);
}

pool_load scheduler::MeasureLoad(const std::string& pool) const {
  pool_load load;
  for (const auto& [id, worker] : workers_) {
    if (worker->facts.pool != pool || !worker->TakesWork()) {
      continue;
    }
    load.capacity += static_cast<double>(worker->facts.capacity.processors_milli);
    load.free += static_cast<double>(worker->Free().processors_milli);
    for (const auto& [task, run] : worker->runs) {
      if (run->step == nullptr) {
        continue;
      }
      const auto charged = static_cast<double>(run->charged.processors_milli);
      (run->step->spec->service ? load.services : load.running[run->step->job->priority]) +=
          charged;
    }
  }
  for (const auto& [id, job] : jobs_) {
    if (IsTerminal(job->phase) || job->pool != pool) {
      continue;
    }
    for (const auto& occurrence : job->occurrences) {
      for (const auto& step : occurrence->steps) {
        const auto idle = occurrence->done || step->spec->service ? 0U : step->CountIdleTasks();
        const auto ms = std::chrono::duration<double, std::milli>{step->RunTime()}.count();
        load.waiting[job->priority] +=
            idle * static_cast<double>(step->spec->need.processors_milli) * ms;
      }
    }
  }
  return load;
}

const pool_load& scheduler::RecentLoad(const std::string& pool, const instant& now) {
  auto& known = loads_[pool];
  if (now.steady >= known.measure_again_at) {
    known = MeasureLoad(pool);
    const auto interval_for_all = kMinMeasureIntervalPerWorker * static_cast<int>(workers_.size());
    known.measure_again_at = now.steady + std::max<duration>(kMinMeasureInterval, interval_for_all);
  }
  return known;
}

// Lets admission refuse jobs while the leader itself is the bottleneck, for example on a machine
// that became slow. Without it, new jobs would also delay all jobs accepted before them.
double scheduler::EstimateLeaderDelayMs(const job_spec& job) const {
  const auto delay = std::chrono::duration<double, std::milli>{loop_delay_}.count();
  return delay * settings_.loop_waits_per_step * static_cast<double>(job.steps.size());
}

// Refuses jobs that can't start in time to meet their objective, for example during bursts of long
// jobs in a cell that is 80 % full. Without it, such jobs would also make all later ones miss their
// objectives.
submit_answer scheduler::Admit(const job_spec& job, const job_prediction& predicted,
                               const instant& now) {
  // Estimates of a single job are wrong by half or more; their mean over the queue is not.
  const double slack = MeanSlackMs(job, predicted) * settings_.admission_slack;
  if (EstimateLeaderDelayMs(job) > slack || admitted_since_tick_ >= admission_limit_) {
    return {submit_verdict::kRefused, kMinRetryAfter, "leader_busy"};
  }
  const auto& load = RecentLoad(job.pool, now);
  double room = load.capacity - load.services;  // processors that jobs of this priority may use
  for (const auto& [priority, charged] : load.running) {
    room -= priority < job.priority ? charged : 0;
  }
  double ahead = 0;  // waiting work of the same or a more urgent priority
  for (const auto& [priority, work] : load.waiting) {
    ahead += priority <= job.priority ? work : 0;
  }
  const double wait = room > 0 ? ahead / room : 0;
  const bool has_room = load.free > room * (UrgentReserveShare(job.pool) + kFreeShareMargin);
  if (room <= 0 || wait <= slack || (has_room && HasRoomForFirstStep(job))) {
    return {submit_verdict::kPending, {}, {}};
  }
  const auto retry_after = std::chrono::milliseconds{static_cast<std::int64_t>(wait - slack)};
  return {submit_verdict::kRefused,
          std::clamp<duration>(retry_after, kMinRetryAfter, kMaxRetryAfter), "overload"};
}

submit_answer scheduler::Submit(job_spec job, const instant& now) {
  const job_scope scope{job.queue, job.customer};
  if (const auto ended = ended_.find(job.id); ended != ended_.end()) {
    return scope.Covers(job.queue, ended->second.customer)
               ? submit_answer{submit_verdict::kAccepted, {}, "known"}
               : submit_answer{submit_verdict::kRefused, {}, "id_in_use"};
  }
  if (const auto* const known = FindJob(job.id)) {
    if (!scope.Covers(job.queue, known->spec->customer)) {
      return {submit_verdict::kRefused, {}, "id_in_use"};
    }
    return {known->accepted ? submit_verdict::kAccepted : submit_verdict::kPending, {}, "known"};
  }
  if (!workers_.empty() && !FitsSomewhere(job)) {
    log_.Write(event_line{"job_refused", event_weight::kFailure}
                   .Add("job", job.id)
                   .Add("reason", "never_fits")
                   .Add("workers", workers_.size()));
    return {submit_verdict::kRefused, {}, "never_fits"};
  }
  if (!FitsCustomerLimit(job)) {
    log_.Write(event_line{"job_refused", event_weight::kFailure}
                   .Add("job", job.id)
                   .Add("reason", "exceeds_limit")
                   .Add("customer", job.customer));
    return {submit_verdict::kRefused, {}, "exceeds_limit"};
  }
  const auto bytes = job_memory::SpecBytes(job) + job_memory::OccurrenceBytes(job);
  if (const auto room = job_memory_.Check(bytes); room != job_room::kRoom) {
    const bool never = room == job_room::kNever;
    const std::string_view reason = never ? "job_too_large" : "job_memory";
    log_.Write(event_line{"job_refused", event_weight::kFailure}
                   .Add("job", job.id)
                   .Add("reason", reason)
                   .Add("bytes", bytes)
                   .Add("held_bytes", job_memory_.held()));
    return {submit_verdict::kRefused, never ? duration{} : duration{kMemoryRetryAfter}, reason};
  }
  auto predicted = PredictJob(job);
  const bool exempt = job.steps.front().service || !settings_.Uses(mechanism::kAdmission);
  const auto admitted =
      exempt ? submit_answer{submit_verdict::kPending, {}, {}} : Admit(job, predicted, now);
  if (admitted.verdict == submit_verdict::kRefused) {
    log_.Write(event_line{"job_refused", event_weight::kFailure}
                   .Add("job", job.id)
                   .Add("reason", admitted.reason)
                   .Add("retry_after_ms", admitted.retry_after)
                   .Add("jobs", jobs_.size()));
    return admitted;
  }
  ++admitted_since_tick_;
  if (!job.customer.empty()) {
    job.within_rate = customers_.Open(job.customer).TakeFromRate(now.steady);
  }
  auto new_job = std::make_unique<job_state>();
  new_job->submitted_at = now.steady;
  ApplyPrediction(*new_job, std::move(predicted));
  LogPrediction(job, *new_job);
  log_.Write(event_line{"job_received"}
                 .Add("job", job.id)
                 .Add("queue", job.queue)
                 .Add("customer", job.customer)
                 .Add("within_rate", static_cast<int>(job.within_rate))
                 .Add("steps", job.steps.size())
                 .Add("objective_ms", job.objective)
                 .Add("version", configuration_.version));
  new_job->spec = std::make_shared<const job_spec>(std::move(job));
  ResolveRules(*new_job);
  AssignCustomer(*new_job);
  CountBytes(*new_job, bytes);
  auto& added_job = *(jobs_[new_job->spec->id] = std::move(new_job));
  MarkDirty(added_job, true);
  return {submit_verdict::kPending, {}, "new"};
}

cancel_verdict scheduler::Cancel(std::string_view id, const job_scope& scope, const instant& now) {
  if (const auto ended = ended_.find(std::string{id}); ended != ended_.end()) {
    const bool visible = scope.Covers(ended->second.queue, ended->second.customer);
    return visible ? cancel_verdict::kCancelled : cancel_verdict::kUnknown;
  }
  auto* const job = FindJob(id);
  if (job == nullptr || !scope.Covers(job->spec->queue, job->spec->customer)) {
    return cancel_verdict::kUnknown;
  }
  if (IsTerminal(job->stored_phase)) {
    return cancel_verdict::kCancelled;
  }
  if (!IsTerminal(job->phase)) {
    EndJob(*job, job_phase::kCancelled, now);
  }
  return cancel_verdict::kPending;
}

std::optional<job_phase> scheduler::Phase(std::string_view id, const job_scope& scope) const {
  if (const auto ended = ended_.find(std::string{id}); ended != ended_.end()) {
    const bool visible = scope.Covers(ended->second.queue, ended->second.customer);
    return visible ? std::optional{ended->second.phase} : std::nullopt;
  }
  const auto found = jobs_.find(std::string{id});
  if (found == jobs_.end() || !found->second->accepted ||
      !scope.Covers(found->second->spec->queue, found->second->spec->customer)) {
    return std::nullopt;
  }
  const auto& job = *found->second;
  if (IsTerminal(job.stored_phase)) {
    return job.stored_phase;
  }
  // An end that isn't stored is lost if this process fails, and the job then continues.
  return IsTerminal(job.phase) ? job_phase::kRunning : job.phase;
}

std::size_t scheduler::CountWaitingJobs(std::string_view queue) const {
  std::size_t waiting = 0;
  for (const auto& [id, job] : jobs_) {
    // An order is no start: its worker may be silent, or refuse it.
    waiting += !job->begun && !IsTerminal(job->phase) && job->accepted && job->spec->queue == queue;
  }
  return waiting;
}

void scheduler::OpenDueOccurrences(job_state& job, const instant& now) {
  const auto margin = std::chrono::duration_cast<std::chrono::milliseconds>(settings_.due_margin);
  while (job.occurrences.size() < job.Occurrences()) {
    const auto number = static_cast<std::int64_t>(job.occurrences.size());
    const auto due = job.spec->first_due_ms + number * job.spec->interval_ms;
    if (job.spec->occurrences > 0 && now.wall_ms < due + margin.count()) {
      return;
    }
    // A job's next occurrence waits while others of it are at work, not for ever.
    if (!job.occurrences.empty() && !job.occurrences.back()->done &&
        !job_memory_.HasRoom(job_memory::OccurrenceBytes(*job.spec))) {
      return;
    }
    OpenSteps(job, OpenOccurrence(job), now);
  }
}

occurrence_state& scheduler::OpenOccurrence(job_state& job) {
  auto& opened = AddOccurrence(job);
  // The first one was counted with the job.
  if (job.occurrences.size() > 1) {
    CountBytes(job, job_memory::OccurrenceBytes(*job.spec));
  }
  return opened;
}

void scheduler::CountBytes(job_state& job, std::size_t bytes) {
  job.bytes += bytes;
  job_memory_.Add(bytes);
}

void scheduler::EraseJob(const std::string& id) {
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) {
    return;
  }
  job_memory_.Remove(found->second->bytes);
  jobs_.erase(found);
}

void scheduler::OpenSteps(job_state& job, occurrence_state& occurrence, const instant& now) {
  for (auto& step : occurrence.steps) {
    if (step->open || step->Finished()) {
      continue;
    }
    const bool ready = std::ranges::all_of(step->spec->after, [&](std::uint32_t before) {
      return occurrence.steps[before]->Finished();
    });
    if (ready) {
      step->open = true;
      step->open_since = now.steady;
      step->next_waiting_log_at = now.steady + kWaitLogDelay;
      open_steps_.push_back(step.get());
      AddWaitingStep(*step);
      log_.Write(event_line{"step_open", event_weight::kDetail}
                     .Add("job", job.spec->id)
                     .Add("step", step->Name())
                     .Add("tasks", step->CountIdleTasks())
                     .Add("left_ms", job.finish_by - now.steady));
    }
  }
}

void scheduler::FinishTask(step_state& step, std::uint32_t index, const instant& now) {
  auto& task = step.tasks[index];
  if (task.done) {
    return;
  }
  task.done = true;
  ++step.done;
  step.job->begun = true;
  MarkDirty(*step.job, false);
  const auto runs = step.runs;
  for (auto* const run : runs) {
    if (run->index == index) {
      StopRun(*run, stop_reason::kOtherCopy, now);
    }
  }
  if (step.Finished()) {
    FinishStep(step, now);
  }
}

void scheduler::FinishStep(step_state& step, const instant& now) {
  auto& job = *step.job;
  auto& occurrence = *job.occurrences[step.occurrence];
  OpenSteps(job, occurrence, now);
  if (std::ranges::all_of(occurrence.steps, [](const auto& each) { return each->Finished(); })) {
    FinishOccurrence(job, occurrence, now);
  }
}

void scheduler::FinishOccurrence(job_state& job, occurrence_state& occurrence, const instant& now) {
  occurrence.done = true;
  const bool last =
      job.occurrences.size() == job.Occurrences() &&
      std::ranges::all_of(job.occurrences, [](const auto& each) { return each->done; });
  if (last) {
    EndJob(job, job_phase::kCompleted, now);
  }
}

void scheduler::FailTask(step_state& step, std::uint32_t index, std::uint32_t run,
                         const std::string& worker, const instant& now) {
  auto& task = step.tasks[index];
  if (std::ranges::find(task.failed_runs, run) != task.failed_runs.end()) {
    return;
  }
  step.job->begun = true;
  task.failed_on = worker;
  if (step.spec->service) {
    // A service has no maximum number of attempts. The backoff prevents a restart loop when its
    // runs fail at once.
    task.consecutive_early_ends = std::min(task.consecutive_early_ends + 1, 4U);
    const duration backoff = std::chrono::milliseconds{100} * (1U << task.consecutive_early_ends);
    task.not_before = now.steady + std::min(backoff, kMaxServiceBackoff);
    return;
  }
  task.failed_runs.push_back(run);
  MarkDirty(*step.job, false);
  if (task.failed_runs.size() >= step.job->max_attempts) {
    log_.Write(event_line{"attempts_used_up", event_weight::kFailure}
                   .Add("job", step.job->spec->id)
                   .Add("step", step.Name())
                   .Add("index", index)
                   .Add("failures", task.failed_runs.size())
                   .Add("last_worker", worker));
    EndJob(*step.job, job_phase::kFailed, now);
  }
}

void scheduler::EndJob(job_state& job, job_phase phase, const instant& now) {
  if (IsTerminal(job.phase)) {
    return;
  }
  job.phase = phase;
  job.ended_ms = now.wall_ms;
  RecordTiming(job, true, now);
  MarkDirty(job, true);
  log_.Write(event_line{
      "job_ended", phase == job_phase::kFailed ? event_weight::kFailure : event_weight::kRequest}
                 .Add("job", job.spec->id)
                 .Add("phase", PhaseName(phase))
                 .Add("left_ms", job.finish_by - now.steady)
                 .Add("runs", job.live));
  for (auto& occurrence : job.occurrences) {
    for (auto& step : occurrence->steps) {
      ReleaseReservations(*step);
      const auto runs = step->runs;
      for (auto* const run : runs) {
        StopRun(*run, stop_reason::kJobOver, now);
      }
    }
  }
  DropSteps(job);
  retiring_.push_back(job.spec->id);
}

void scheduler::DropSteps(const job_state& job) {
  const auto of_job = [&](const auto* step) { return step->job == &job; };
  std::erase_if(open_steps_, of_job);
  std::erase_if(waiting_steps_, of_job);
}

void scheduler::RetireEndedJobs(const instant& now) {
  const auto candidates = std::exchange(retiring_, {});
  for (const auto& id : candidates) {
    auto* const job = FindJob(id);
    if (job == nullptr || !IsTerminal(job->phase)) {
      continue;
    }
    if (job->live > 0 || job->dirty || !IsTerminal(job->stored_phase)) {
      continue;  // listed again when its last run ends or its record is stored
    }
    DropSteps(*job);
    ended_[id] = ended_job{job->spec->queue, job->phase, job->ended_ms, job->spec->customer,
                           has_unread_usage_ ? UnreadUsage(*job, now) : resources{}};
    EraseJob(id);
  }
}

void scheduler::ForgetEndedJobs(const instant& now) {
  if (now.steady < next_forget_) {
    return;
  }
  next_forget_ = now.steady + kForgetInterval;
  const auto keep =
      std::chrono::duration_cast<std::chrono::milliseconds>(settings_.ended_retention);
  std::erase_if(ended_, [&](const auto& each) {
    const bool expired = now.wall_ms - each.second.ended_ms > keep.count();
    if (expired) {
      forgotten_.push_back(each.first);
    }
    return expired;
  });
}

}  // namespace rosearch::sched
