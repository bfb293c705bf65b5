// Preemption: stops runs so that more urgent work finds room, and reclaims room that customers use
// beyond their share.
//
// A stopped run loses the work since its last checkpoint. In a surge, thousands of stops can
// discard more work than they help to complete in time.
#include <algorithm>
#include <chrono>
#include <functional>
#include <limits>

#include "rosearch/sched/scheduler.h"

namespace rosearch::sched {
namespace {

/// Max workers that one decision considers. Bounds its cost in large pools; the next attempt for
/// the same step starts with other workers.
constexpr std::size_t kMaxPreemptionWorkers = 16;

/// A run with less than this remaining ends about as soon as a preempted one stops.
constexpr double kNearEndStopTimeouts = 2.0;

/// A step that isn't urgent reclaims room after waiting this long: most steps find room sooner.
constexpr duration kReclaimAfter = std::chrono::milliseconds{250};

/// @return the time for which a run has been active since the work in its last checkpoint.
duration TimeSinceSaved(const live_run& run, const instant& now) {
  const auto since = now.steady - std::max(run.started_at, run.saved_at);
  if (!run.checkpoint.empty() || run.step == nullptr) {
    return since;
  }
  // A run that was adopted from a former leader started earlier than this leader knows.
  const auto done = run.step->spec->estimate * static_cast<int>(std::min(100U, run.percent)) / 100;
  return std::max<duration>(since, done);
}

/// @return the remaining time of a run, by its progress or, before it reports any, its estimate.
duration RemainingTime(const live_run& run, const instant& now) {
  const auto active = now.steady - run.started_at;
  const bool measured = run.measured_from && run.percent > run.measured_from->percent;
  if (!measured) {
    return std::max(duration{}, run.step->spec->estimate - active);
  }
  const auto observed = run.progressed_at - run.measured_from->at;
  const double gained = run.percent - run.measured_from->percent;
  const double left = 100.0 - std::min(100U, run.percent);
  const auto end =
      run.progressed_at + std::chrono::duration_cast<duration>(observed * left / gained);
  return std::max(duration{}, end - now.steady);
}

double Work(const resources& amount, duration span) {
  const auto ms = std::chrono::duration<double, std::milli>{span}.count();
  return static_cast<double>(amount.processors_milli) * ms;
}

}  // namespace

bool scheduler::MayPreempt(const step_state& step, const live_run& run) const {
  if (run.phase != run_phase::kRunning || run.step == nullptr) {
    return false;
  }
  const auto& spec = *run.step->spec;
  if (spec.gang || spec.service || spec.uses_leftover) {
    return false;
  }
  if (UsesShares()) {
    return MayPreemptByShare(step, run);
  }
  return run.step->job->priority > step.job->priority && spec.checkpoints;
}

// Work beyond its customer's rate preempts nothing: it would destroy work of customers that are
// within theirs.
bool scheduler::MayPreemptByShare(const step_state& step, const live_run& run) const {
  if (!step.spec->service && !step.job->spec->within_rate) {
    return false;
  }
  if (run.step->job->priority > step.job->priority && run.step->spec->checkpoints) {
    return true;
  }
  return run.share != nullptr && run.customer != step.job->customer &&
         run.step->job->priority >= step.job->priority && shares_.IsOverShare(*run.share) &&
         MayReclaim(step);
}

double scheduler::LostWork(const live_run& run, const instant& now) const {
  const auto restore = run.checkpoint.empty() ? duration{} : settings_.restore;
  return Work(run.charged, TimeSinceSaved(run, now) + restore);
}

double scheduler::PreemptionBudget(const step_state& step) {
  if (step.spec->service) {
    return std::numeric_limits<double>::max();  // its users wait as long as it is down
  }
  const auto open = static_cast<double>(step.tasks.size() - step.done);
  return open * Work(step.spec->need, step.spec->estimate) - step.preempted_work;
}

bool scheduler::WouldBeLate(const step_state& step, const instant& now) const {
  const auto path = RemainingPath(step.job->spec->steps, step.index);
  return now.steady + settings_.stop_timeout + path > step.job->finish_by;
}

bool scheduler::IsReclaimDue(const step_state& step, const instant& now) const {
  return UsesShares() && now.steady >= step.open_since + kReclaimAfter && MayReclaim(step);
}

std::optional<scheduler::preemption_plan> scheduler::PlanPreemption(const step_state& step,
                                                                    worker_state& worker,
                                                                    const instant& now) const {
  auto free = worker.FreeFor(step);
  std::vector<live_run*> runs;
  std::vector<preemption_victim> victims;
  const auto near_end =
      std::chrono::duration_cast<duration>(settings_.stop_timeout * kNearEndStopTimeouts);
  for (const auto& [task, run] : worker.runs) {
    if (run->phase == run_phase::kStopping) {
      free = free + run->charged;
    } else if (MayPreempt(step, *run)) {
      const auto remaining = RemainingTime(*run, now);
      if (remaining > settings_.stop_timeout) {
        victims.push_back({runs.size(), run->charged, LostWork(*run, now),
                           run->step->spec->checkpoints, remaining < near_end});
        runs.push_back(run.get());
      }
    }
  }
  const auto& need = step.spec->need;
  preemption_plan plan{&worker, {}, 0};
  if (need.FitsIn(free)) {
    return plan;
  }
  for (const auto& victim : ChooseVictims(std::move(victims), need, free, PreemptionBudget(step))) {
    plan.victims.push_back(runs[victim.index]);
    plan.lost_work += victim.lost_work;
  }
  return plan.victims.empty() ? std::nullopt : std::optional{std::move(plan)};
}

void scheduler::Preempt(step_state& step, const preemption_plan& plan, const instant& now) {
  for (auto* const victim : plan.victims) {
    StopRun(*victim, stop_reason::kPreempted, now, &step);
  }
  step.preempted_work += plan.lost_work;
  if (!plan.victims.empty()) {
    const auto& last = *plan.victims.back();
    step.preempted.push_back({plan.worker->facts.id, last.task, last.run});
  }
}

void scheduler::PreemptByLostWork(step_state& step, std::uint32_t tasks, const instant& now) {
  const bool service = step.spec->service;
  if (!service && (!step.job->spec->within_rate || WouldBeLate(step, now))) {
    return;
  }
  std::erase_if(step.preempted, [this](const preempted_run& each) {
    return FindRun(each.worker, each.task, each.run) == nullptr;
  });
  tasks -= std::min(tasks, static_cast<std::uint32_t>(step.preempted.size()));
  if (tasks == 0) {
    return;
  }
  std::vector<worker_state*> candidates;
  const auto consider = [&](worker_state& worker) {
    const bool stopping = std::ranges::find(step.preempted, worker.facts.id,
                                            &preempted_run::worker) != step.preempted.end();
    if (!stopping && !Fits(step, worker) && IsEligible(step, nullptr, worker, now)) {
      candidates.push_back(&worker);
    }
  };
  const auto cursor = preemption_cursor_++;
  if (step.job->advice) {
    const auto& allowed = step.advice.Allowed();
    for (std::size_t at = 0; at < allowed.size() && candidates.size() < kMaxPreemptionWorkers;
         ++at) {
      consider(*allowed[(cursor + at) % allowed.size()].worker);
    }
  } else {
    auto next = workers_.lower_bound(preempt_from_);
    for (std::size_t at = 0; at < workers_.size() && candidates.size() < kMaxPreemptionWorkers;
         ++at) {
      next = next == workers_.end() ? workers_.begin() : next;
      consider(*next->second);
      ++next;
    }
    preempt_from_ = next == workers_.end() ? std::string{} : next->first;
  }
  std::vector<preemption_plan> plans;
  for (auto* const worker : candidates) {
    if (auto plan = PlanPreemption(step, *worker, now)) {
      plans.push_back(std::move(*plan));
    }
  }
  std::ranges::stable_sort(plans, {}, &preemption_plan::lost_work);
  for (const auto& plan : plans) {
    if (tasks == 0 || (!plan.victims.empty() && plan.lost_work >= PreemptionBudget(step))) {
      return;
    }
    Preempt(step, plan, now);
    --tasks;
  }
}

void scheduler::PreemptForStep(step_state& step, std::uint32_t tasks, const instant& now) {
  if (!settings_.Uses(mechanism::kPreemption)) {
    return;
  }
  if (UsesShares()) {
    PreemptByLostWork(step, tasks, now);
    return;
  }
  std::vector<worker_state*> candidates;
  if (step.job->advice) {
    for (const auto& allowance : step.advice.Allowed()) {
      candidates.push_back(allowance.worker);
    }
  } else {
    for (const auto& [id, worker] : workers_) {
      candidates.push_back(worker.get());
    }
  }
  for (auto* const worker : candidates) {
    if (tasks == 0) {
      return;
    }
    if (!Fits(step, *worker) && IsEligible(step, nullptr, *worker, now) &&
        PreemptOnWorker(step, *worker, now)) {
      --tasks;
    }
  }
}

bool scheduler::PreemptOnWorker(step_state& step, worker_state& worker, const instant& now) {
  if (UsesShares()) {
    const bool late = !step.spec->service && WouldBeLate(step, now);
    const auto plan = late ? std::nullopt : PlanPreemption(step, worker, now);
    if (plan) {
      Preempt(step, *plan, now);
    }
    return plan.has_value();
  }
  const auto& need = step.spec->need;
  // Runs that are already stopping count as free room, so that no more runs than needed are
  // preempted for the same task.
  auto free = worker.Free();
  std::vector<live_run*> victims;
  for (const auto& [task, run] : worker.runs) {
    if (run->phase == run_phase::kStopping) {
      free = free + run->charged;
    } else if (MayPreempt(step, *run)) {
      victims.push_back(run.get());
    }
  }
  std::ranges::sort(victims, std::greater{},
                    [](const auto* run) { return run->charged.processors_milli; });
  std::vector<live_run*> chosen;
  for (auto* const victim : victims) {
    if (need.FitsIn(free)) {
      break;
    }
    free = free + victim->charged;
    chosen.push_back(victim);
  }
  if (!need.FitsIn(free)) {
    return false;
  }
  for (auto* const victim : chosen) {
    StopRun(*victim, stop_reason::kPreempted, now, &step);
  }
  return true;
}

}  // namespace rosearch::sched
