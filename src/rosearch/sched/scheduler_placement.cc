// Placement: the order in which waiting steps are served, and the worker that each task starts on.
//
// Urgent short tasks arrive in bursts on top of long tasks that alone could fill every worker.
// Services must restart within seconds however full the cell is, and advice takes from 20 ms to
// half a second for each step.
#include <algorithm>
#include <chrono>
#include <cmath>

#include "rosearch/sched/placement_order.h"
#include "rosearch/sched/scheduler.h"

namespace rosearch::sched {
namespace {

// Weights of `Score`, as fractions of a fully loaded worker.
/// A run outside the rack of its data takes half as long again.
constexpr double kOffDataRackPenalty = 0.6;
constexpr double kSuspectPenalty = 0.5;   ///< the worker has failed recently
constexpr double kLeftoverPenalty = 2.0;  ///< runs on leftover processors slow down services
constexpr double kSiblingPenalty = 0.3;   ///< tasks of a service on one worker fail together
constexpr double kSameRackBonus = 0.5;

// Weights of a worker's slowness, which is 1 for an average worker. Workers of one pool differ in
// speed by half. Urgent steps end with their slowest task and prefer fast workers; work that is
// packed prefers the slow ones.
constexpr double kSpreadSlownessWeight = 2.0;
constexpr double kPackedSlownessWeight = -1.0;
constexpr double kFailedHerePenalty = 1.5;  ///< the task's last failed run was on this worker

/// Interval at which a blocked step is retried although no room was freed, since time alone can
/// unblock it: a worker becomes usable again, or a ticket has to be renewed.
constexpr duration kBlockedRetryInterval = std::chrono::milliseconds{50};

/// In pools of up to this many workers, each step considers every worker.
constexpr std::size_t kMaxFullScanWorkers = 256;

/// Marks a step as not in the list of waiting steps. Always returns true, for use in `erase_if`.
bool MarkUnlisted(step_state& step) {
  step.listed = false;
  return true;
}

/// @return the load of a worker with `extra` added, as the larger share of processors and memory.
double LoadWith(const worker_state& worker, const resources& extra) {
  const auto& capacity = worker.facts.capacity;
  const auto after = worker.used + extra;
  const auto processors = static_cast<double>(after.processors_milli) /
                          static_cast<double>(std::max<std::int64_t>(1, capacity.processors_milli));
  const auto memory = static_cast<double>(after.memory_mb) /
                      static_cast<double>(std::max<std::int64_t>(1, capacity.memory_mb));
  return std::max(processors, memory);
}

}  // namespace

bool IsUrgent(const step_state& step) { return step.job->priority == 0 || step.spec->service; }

std::int64_t RequiredProcessorsMilli(const step_state& step) {
  const auto wanted = step.spec->need.processors_milli;
  return step.spec->uses_leftover ? (wanted + 1) / 2 : wanted;
}

bool scheduler::ScansAllWorkers(const step_state& step) {
  const auto& spec = *step.spec;
  return workers_.size() <= kMaxFullScanWorkers || step.reserves_room || spec.same_rack ||
         !spec.data_rack.empty() || fill_.Size(step.job->pool) <= kMaxFullScanWorkers;
}

bool scheduler::IsStartable(const step_state& step) const {
  const auto& job = *step.job;
  if (!job.accepted || IsTerminal(job.phase)) {
    return false;
  }
  return !job.restored || !MayRunOnUnsettledWorker(step);
}

bool scheduler::MayRunOnUnsettledWorker(const step_state& step) const {
  // A run started by the former leader may still be active on a worker that hasn't answered yet,
  // unless advice rules out that worker for the step.
  return std::ranges::any_of(unsettled_, [&](const auto& each) {
    return !step.job->advice || !step.advice.Refused(each.first);
  });
}

std::uint32_t scheduler::CountRunsOn(const step_state& step, const worker_state& worker) const {
  return static_cast<std::uint32_t>(
      std::ranges::count_if(step.runs, [&](const auto* run) { return run->worker == &worker; }));
}

bool scheduler::IsEligible(const step_state& step, const task_state* task,
                           const worker_state& worker, const instant& now) const {
  const auto& facts = worker.facts;
  const auto& spec = *step.spec;
  if (!worker.MayStart() || facts.pool != step.job->pool) {
    return false;
  }
  const bool usable =
      worker.health.IsUsable(now.steady) ||
      (step.starved && (!worker.health.IsFailing(now.steady) || HasSpareAttempt(step)));
  if ((settings_.Uses(mechanism::kHealth) && !usable) || !facts.HasLabel(spec.required_label)) {
    return false;
  }
  if (spec.per_worker_limit > 0 && CountRunsOn(step, worker) >= spec.per_worker_limit) {
    return false;
  }
  if (task == nullptr) {
    return true;
  }
  const auto index = static_cast<std::size_t>(task - step.tasks.data());
  return std::ranges::none_of(
      step.runs, [&](const auto* run) { return run->worker == &worker && run->index == index; });
}

bool scheduler::HasSpareAttempt(const step_state& step) {
  return std::ranges::all_of(step.tasks, [&](const auto& task) {
    return task.failed_runs.size() + 1 < step.job->max_attempts;
  });
}

double scheduler::UrgentReserveShare(const std::string& pool) const {
  const bool reserved = settings_.Uses(mechanism::kReserve) && urgent_pools_.contains(pool);
  return reserved ? settings_.urgent_reserve : 0.0;
}

bool scheduler::Fits(const step_state& step, const worker_state& worker) const {
  const auto free = worker.FreeFor(step);
  const auto& need = step.spec->need;
  if (step.spec->uses_leftover) {
    return need.memory_mb <= free.memory_mb && need.accelerators <= free.accelerators &&
           free.processors_milli >= RequiredProcessorsMilli(step);
  }
  if (!need.FitsIn(free)) {
    return false;
  }
  if (IsUrgent(step) || step.starved) {
    return true;
  }
  const auto& capacity = worker.facts.capacity;
  const auto reserve_milli = static_cast<std::int64_t>(
      UrgentReserveShare(step.job->pool) * static_cast<double>(capacity.processors_milli));
  // A task too large for the unreserved part of this worker may use the reserve as well; otherwise
  // it would never fit.
  const bool needs_reserve = need.processors_milli + reserve_milli > capacity.processors_milli;
  return needs_reserve || need.processors_milli + reserve_milli <= free.processors_milli;
}

double scheduler::Score(const step_state& step, const worker_state& worker) const {
  const auto& spec = *step.spec;
  const double load = LoadWith(worker, spec.need);
  // Long work is packed tightly, so that whole workers stay free for large tasks. Urgent work and
  // services are spread, so that a lost or slow worker affects few of them.
  const bool spreads = IsUrgent(step) || !settings_.Uses(mechanism::kPacking);
  double score = spreads ? load : -load;
  if (!spec.data_rack.empty() && spec.data_rack != worker.facts.rack) {
    score += kOffDataRackPenalty;
  }
  if (worker.health.IsSuspect()) {
    score += kSuspectPenalty;
  }
  if (settings_.Uses(mechanism::kSpeeds)) {
    score += (spreads ? kSpreadSlownessWeight : kPackedSlownessWeight) * (worker.slowness - 1.0);
  }
  if (spec.service) {
    score += kSiblingPenalty * CountRunsOn(step, worker);
    score += worker.leftover_runs > 0 ? kLeftoverPenalty : 0;
  }
  if (spec.uses_leftover && worker.service_runs > 0) {
    score += kLeftoverPenalty;
  }
  if (spec.same_rack && std::ranges::any_of(step.runs, [&](const auto* run) {
        return run->worker->facts.rack == worker.facts.rack;
      })) {
    score -= kSameRackBonus;
  }
  return score;
}

worker_state* scheduler::PickWorker(const step_state& step, const task_state& task, bool advised,
                                    const instant& now) {
  worker_state* best = nullptr;
  double best_score = 0;
  std::size_t eligible = 0;
  const auto consider = [&](worker_state& worker) {
    ++workers_considered_;
    if (!Fits(step, worker) || !IsEligible(step, &task, worker, now)) {
      return;
    }
    ++eligible;
    const double score =
        Score(step, worker) + (task.failed_on == worker.facts.id ? kFailedHerePenalty : 0);
    if (best == nullptr || score < best_score) {
      best = &worker;
      best_score = score;
    }
  };
  if (!advised && ScansAllWorkers(step)) {
    for (const auto& [id, worker] : workers_) {
      consider(*worker);
    }
    return best;
  }
  if (!advised) {
    fill_.VisitOpen(step.job->pool, RequiredProcessorsMilli(step), IsUrgent(step),
                    [&](worker_state& each) {
                      consider(each);
                      return eligible < kMaxCandidateWorkers;
                    });
    return best;
  }
  const auto min_expiry = now.steady + settings_.ticket_margin;
  for (const auto& allowance : step.advice.Allowed()) {
    if (allowance.expires > min_expiry) {
      consider(*allowance.worker);
    }
  }
  return best;
}

// Hundreds of steps may wait for room while a few runs end in each pass. Trying every step in every
// pass would use all of the leader's time when the queue is longest, although the end of a run
// matters only to the few steps that may run on its worker.
bool scheduler::StillBlocked(const step_state& step, const instant& now) const {
  if (step.blocked_room_version < all_room_version_ || now.steady >= step.next_placement_at) {
    return false;
  }
  if (step.at_limit && CountStartsWithinLimit(step) > 0) {
    return false;
  }
  if (step.awaits_advice_slot && long_advice_slots_ > 0) {
    return false;
  }
  if (step.job->restored && !IsStartable(step)) {
    return true;  // freed room doesn't unblock it
  }
  if (!step.job->advice) {
    return step.blocked_room_version == room_version_;
  }
  return std::ranges::none_of(step.advice.Allowed(), [&](const auto& allowance) {
    return allowance.worker->room_version > step.blocked_room_version;
  });
}

void scheduler::MarkBlocked(step_state& step, const instant& now) const {
  step.blocked_room_version = room_version_;
  step.next_placement_at = now.steady + kBlockedRetryInterval;
  if (step.advice.answer_deadline() > now.steady) {
    step.next_placement_at = std::min(step.next_placement_at, step.advice.answer_deadline());
  }
}

// Keeps the steps with idle tasks in a list of their own, which placement passes use. A cell may
// hold thousands of services, each an open step without idle tasks, so the cost of a pass over all
// open steps would grow with the running tasks rather than with the waiting ones.
void scheduler::RefreshStepLists() {
  std::erase_if(open_steps_,
                [](const auto* step) { return step->Finished() || IsTerminal(step->job->phase); });
  for (auto* const step : open_steps_) {
    if (step->CountIdleTasks() > 0) {
      AddWaitingStep(*step);
    }
  }
}

std::vector<step_state*> scheduler::StepsInPlacementOrder(const instant& now) {
  std::vector<std::pair<placement_rank, step_state*>> sorted;
  std::erase_if(waiting_steps_,
                [](auto* step) { return step->CountIdleTasks() == 0 && MarkUnlisted(*step); });
  for (auto* const step : waiting_steps_) {
    if (!StillBlocked(*step, now)) {
      sorted.emplace_back(RankOf(*step, settings_, now.steady), step);
    }
  }
  std::ranges::stable_sort(sorted, {}, [](const auto& each) { return each.first; });
  std::vector<step_state*> steps;
  steps.reserve(sorted.size());
  for (const auto& [ignored, step] : sorted) {
    steps.push_back(step);
  }
  return steps;
}

void scheduler::Schedule(const instant& now) {
  if (deposed_) {
    return;
  }
  RetireEndedJobs(now);
  for (auto* const step : StepsInPlacementOrder(now)) {
    ++placement_attempts_;
    LogWaitingStep(*step, now);
    if (!IsStartable(*step)) {
      QueryUnsettledWorkers(*step, now);
      MarkBlocked(*step, now);
    } else if (step->spec->gang) {
      PlaceGang(*step, now);
    } else {
      PlaceTasks(*step, now);
    }
  }
}

void scheduler::PlaceTasks(step_state& step, const instant& now) {
  const bool advised = step.job->advice.has_value();
  std::uint32_t allowed = CountStartsWithinLimit(step);
  std::uint32_t unplaced = 0;
  bool backing_off = false;
  step.at_limit = false;
  for (std::uint32_t index = 0; index < step.tasks.size(); ++index) {
    auto& task = step.tasks[index];
    if (!WantsStart(task)) {
      continue;
    }
    if (!IsDue(task, now)) {
      backing_off = true;
      continue;
    }
    if (unplaced >= allowed) {
      step.at_limit = true;
      break;
    }
    auto* const worker = unplaced == 0 ? PickWorker(step, task, advised, now) : nullptr;
    if (worker == nullptr) {
      ++unplaced;
      continue;
    }
    const auto* const allowance = advised ? step.advice.Find(worker) : nullptr;
    BeginRun(step, index, *worker, RunNumber(++task.runs), task.checkpoint,
             allowance == nullptr ? std::string{} : allowance->ticket, now);
    allowed = CountStartsWithinLimit(step);
  }
  if (unplaced == 0) {
    ReleaseReservations(step);
    if (step.at_limit) {
      MarkBlocked(step, now);
    }
    return;
  }
  if (advised) {
    RequestAdvice(step, unplaced, now);
  }
  if (IsUrgent(step)) {
    PreemptForStep(step, unplaced, now);
  } else {
    ReserveWorkers(step, unplaced, now);
  }
  if (!backing_off) {
    MarkBlocked(step, now);
  }
}

void scheduler::PreemptForStep(step_state& step, std::uint32_t tasks, const instant& now) {
  if (!settings_.Uses(mechanism::kPreemption)) {
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
