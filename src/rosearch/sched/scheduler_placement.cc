// Where a scheduler starts what is ready, and in which order.
//
// The load that this answers: bursts of urgent short work over a base of long work that could fill
// every worker by itself, services that must come back within seconds however full the cell is, and
// advice that takes from 20 ms to half a second for each step.
#include <algorithm>
#include <chrono>
#include <cmath>

#include "rosearch/sched/scheduler.h"

namespace rosearch::sched {
namespace {

// Weights of `Score`, in units of a worker's whole load.
constexpr double kOffDataRack = 0.6;     ///< half as long again is worth that much emptiness
constexpr double kSuspect = 0.5;         ///< failed lately
constexpr double kBesideLeftover = 2.0;  ///< what fills disturbs what serves
constexpr double kSiblingSpread = 0.3;   ///< services fail together on one worker
constexpr double kSameRack = 0.5;

// For each time that a run takes longer at a worker than elsewhere. Workers of one pool differ by
// half: quick work ends with its slowest task and takes the fast ones, what has time the others.
constexpr double kSlow = 2.0;
constexpr double kSlowForLong = -1.0;
constexpr double kFailedHere = 1.5;

/// A step that found no place is looked at after this even where no room was freed: what time alone
/// unblocks, as a worker that is trusted again or a ticket that has to be renewed, can wait so
/// long.
constexpr duration kLookAgain = std::chrono::milliseconds{50};

/// Pools up to this size are looked at whole for each step.
constexpr std::size_t kSmallPool = 256;

/// Takes a step off the list of those that wait.
bool Unlist(step_state& step) {
  step.listed = false;
  return true;
}

double Load(const worker_state& worker, const resources& extra) {
  const auto& capacity = worker.facts.capacity;
  const auto after = worker.used + extra;
  const auto processors = static_cast<double>(after.processors_milli) /
                          static_cast<double>(std::max<std::int64_t>(1, capacity.processors_milli));
  const auto memory = static_cast<double>(after.memory_mb) /
                      static_cast<double>(std::max<std::int64_t>(1, capacity.memory_mb));
  return std::max(processors, memory);
}

}  // namespace

bool Urgent(const step_state& step) { return step.job->priority == 0 || step.spec->service; }

std::int64_t ProcessorsWanted(const step_state& step) {
  const auto wanted = step.spec->need.processors_milli;
  return step.spec->uses_leftover ? (wanted + 1) / 2 : wanted;
}

bool scheduler::LooksAtAll(const step_state& step) {
  const auto& spec = *step.spec;
  return workers_.size() <= kSmallPool || step.reserves_room || spec.same_rack ||
         !spec.data_rack.empty() || fill_.Size(step.job->pool) <= kSmallPool;
}

bool scheduler::Startable(const step_state& step) const {
  const auto& job = *step.job;
  if (!job.accepted || IsTerminal(job.phase)) {
    return false;
  }
  return !job.restored || !MayRunUnseen(step);
}

bool scheduler::MayRunUnseen(const step_state& step) const {
  // What the former leader began may still run at a worker that hasn't answered, unless that worker
  // never accepts the step.
  return std::ranges::any_of(unsettled_, [&](const auto& each) {
    return !step.job->advice || !step.advice.Refused(each.first);
  });
}

std::uint32_t scheduler::Copies(const step_state& step, const worker_state& worker) const {
  return static_cast<std::uint32_t>(
      std::ranges::count_if(step.runs, [&](const auto* run) { return run->worker == &worker; }));
}

bool scheduler::MayRun(const step_state& step, const task_state* task, const worker_state& worker,
                       const instant& now) const {
  const auto& facts = worker.facts;
  const auto& spec = *step.spec;
  if (!worker.MayStart() || facts.pool != step.job->pool) {
    return false;
  }
  if ((settings_.Uses(mechanism::kHealth) && !worker.health.Usable(now.steady)) ||
      !facts.HasLabel(spec.required_label)) {
    return false;
  }
  if (spec.per_worker_limit > 0 && Copies(step, worker) >= spec.per_worker_limit) {
    return false;
  }
  if (task == nullptr) {
    return true;
  }
  const auto index = static_cast<std::size_t>(task - step.tasks.data());
  return std::ranges::none_of(
      step.runs, [&](const auto* run) { return run->worker == &worker && run->index == index; });
}

double scheduler::Reserve(const std::string& pool) const {
  const bool kept = settings_.Uses(mechanism::kReserve) && urgent_pools_.contains(pool);
  return kept ? settings_.urgent_reserve : 0.0;
}

bool scheduler::Fits(const step_state& step, const worker_state& worker) const {
  const auto free = worker.FreeFor(step);
  const auto& need = step.spec->need;
  if (step.spec->uses_leftover) {
    return need.memory_mb <= free.memory_mb && need.accelerators <= free.accelerators &&
           free.processors_milli >= ProcessorsWanted(step);
  }
  if (!need.FitsIn(free)) {
    return false;
  }
  if (Urgent(step)) {
    return true;
  }
  const auto& capacity = worker.facts.capacity;
  const auto kept = static_cast<std::int64_t>(Reserve(step.job->pool) *
                                              static_cast<double>(capacity.processors_milli));
  // What is too large for the rest of this worker may use all of it: it would fit nowhere else.
  const bool huge = need.processors_milli + kept > capacity.processors_milli;
  return huge || need.processors_milli + kept <= free.processors_milli;
}

double scheduler::Score(const step_state& step, const worker_state& worker) const {
  const auto& spec = *step.spec;
  const double load = Load(worker, spec.need);
  // Long work packs tight, so that whole workers stay open for large tasks; urgent work and
  // services spread out, so that one worker's loss or slowness hits few of them.
  const bool spreads = Urgent(step) || !settings_.Uses(mechanism::kPacking);
  double score = spreads ? load : -load;
  if (!spec.data_rack.empty() && spec.data_rack != worker.facts.rack) {
    score += kOffDataRack;
  }
  if (worker.health.Suspect()) {
    score += kSuspect;
  }
  if (settings_.Uses(mechanism::kSpeeds)) {
    score += (spreads ? kSlow : kSlowForLong) * (worker.slowness - 1.0);
  }
  if (spec.service) {
    score += kSiblingSpread * Copies(step, worker);
    score += worker.leftover_runs > 0 ? kBesideLeftover : 0;
  }
  if (spec.uses_leftover && worker.service_runs > 0) {
    score += kBesideLeftover;
  }
  if (spec.same_rack && std::ranges::any_of(step.runs, [&](const auto* run) {
        return run->worker->facts.rack == worker.facts.rack;
      })) {
    score -= kSameRack;
  }
  return score;
}

worker_state* scheduler::Pick(const step_state& step, const task_state& task, bool advised,
                              const instant& now) {
  worker_state* best = nullptr;
  double best_score = 0;
  std::size_t fitting = 0;
  const auto consider = [&](worker_state& worker) {
    ++worker_looks_;
    if (!Fits(step, worker) || !MayRun(step, &task, worker, now)) {
      return;
    }
    ++fitting;
    const double score =
        Score(step, worker) + (task.failed_on == worker.facts.id ? kFailedHere : 0);
    if (best == nullptr || score < best_score) {
      best = &worker;
      best_score = score;
    }
  };
  if (!advised && LooksAtAll(step)) {
    for (const auto& [id, worker] : workers_) {
      consider(*worker);
    }
    return best;
  }
  if (!advised) {
    fill_.VisitOpen(step.job->pool, ProcessorsWanted(step), Urgent(step), [&](worker_state& each) {
      consider(each);
      return fitting < kEnoughWorkers;
    });
    return best;
  }
  const auto ticket_by = now.steady + settings_.ticket_margin;
  for (const auto& allowance : step.advice.Allowed()) {
    if (allowance.expires > ticket_by) {
      consider(*allowance.worker);
    }
  }
  return best;
}

// The load that this answers: hundreds of steps wait for room, and some runs end in each pass.
// Looking at every step in every pass takes all of a leader's time just when most waits; each end
// concerns only the few steps that may run where it was.
bool scheduler::StillBlocked(const step_state& step, const instant& now) const {
  if (step.blocked_at < all_room_version_ || now.steady >= step.look_again_at) {
    return false;
  }
  if (step.job->restored && !Startable(step)) {
    return true;  // not for want of room
  }
  if (!step.job->advice) {
    return step.blocked_at == room_version_;
  }
  return std::ranges::none_of(step.advice.Allowed(), [&](const auto& allowance) {
    return allowance.worker->room_version > step.blocked_at;
  });
}

void scheduler::Block(step_state& step, const instant& now) const {
  step.blocked_at = room_version_;
  step.look_again_at = now.steady + kLookAgain;
  if (step.advice.answer_by() > now.steady) {
    step.look_again_at = std::min(step.look_again_at, step.advice.answer_by());
  }
}

// The load that this answers: thousands of services, each a step that is open and has all it wants.
// A pass that walks over them takes longest where most runs, not where most waits.
void scheduler::ListSteps() {
  std::erase_if(open_steps_,
                [](const auto* step) { return step->Finished() || IsTerminal(step->job->phase); });
  for (auto* const step : open_steps_) {
    if (step->Idle() > 0) {
      NoteWaiting(*step);
    }
  }
}

std::vector<step_state*> scheduler::InOrder(const instant& now) {
  // Services that lost a task come first: their users are without it. Then by the operator's
  // priority, and the job that has to be ready first. A job that is hopelessly late goes last.
  const auto key = [&](const step_state* step) {
    const auto& job = *step->job;
    const bool service = step->spec->service;
    const bool hopeless = settings_.Uses(mechanism::kHopelessLast) && !service &&
                          now.steady > job.finish_by + 2 * job.spec->objective;
    return std::tuple{service ? 0 : 1, hopeless ? 1 : 0, job.priority, job.finish_by};
  };
  std::vector<std::pair<decltype(key(nullptr)), step_state*>> sorted;
  std::erase_if(waiting_steps_, [](auto* step) { return step->Idle() == 0 && Unlist(*step); });
  for (auto* const step : waiting_steps_) {
    if (!StillBlocked(*step, now)) {
      sorted.emplace_back(key(step), step);
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
  RetireEnded(now);
  for (auto* const step : InOrder(now)) {
    ++placement_attempts_;
    TellWaiting(*step, now);
    if (!Startable(*step)) {
      AskAboutUnseen(*step, now);
      Block(*step, now);
    } else if (step->spec->gang) {
      PlaceGang(*step, now);
    } else {
      PlaceTasks(*step, now);
    }
  }
}

void scheduler::PlaceTasks(step_state& step, const instant& now) {
  const bool advised = step.job->advice.has_value();
  std::uint32_t left = 0;
  bool paused = false;
  for (std::uint32_t index = 0; index < step.tasks.size(); ++index) {
    auto& task = step.tasks[index];
    if (!WantsStart(task)) {
      continue;
    }
    if (task.not_before > now.steady) {
      paused = true;
      continue;
    }
    auto* const worker = left == 0 ? Pick(step, task, advised, now) : nullptr;
    if (worker == nullptr) {
      ++left;
      continue;
    }
    const auto* const allowance = advised ? step.advice.Find(worker) : nullptr;
    BeginRun(step, index, *worker, RunNumber(++task.runs), task.checkpoint,
             allowance == nullptr ? std::string{} : allowance->ticket, now);
  }
  if (left == 0) {
    ReleaseReservations(step);
    return;
  }
  if (advised) {
    AskAdvice(step, left, now);
  }
  if (Urgent(step)) {
    MakeRoom(step, left, now);
  } else {
    ReserveWorkers(step, left, now);
  }
  if (!paused) {
    Block(step, now);
  }
}

void scheduler::MakeRoom(step_state& step, std::uint32_t tasks, const instant& now) {
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
    if (!Fits(step, *worker) && MayRun(step, nullptr, *worker, now) &&
        MakeRoomAt(step, *worker, now)) {
      --tasks;
    }
  }
}

bool scheduler::MakeRoomAt(step_state& step, worker_state& worker, const instant& now) {
  const auto& need = step.spec->need;
  // Room that is being made already counts: a second victim for the same task helps nobody.
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
