// Queries to the advice service, and the handling of its answers.
//
// A query costs from 20 ms to 0.8 s of a process's time, almost independent of the number of
// workers that it names. A ticket is valid for 2 s.
#include <algorithm>

#include "rosearch/sched/scheduler.h"

namespace rosearch::sched {
namespace {

/// Share of named workers that advice is assumed to allow before the first answer.
constexpr double kInitialAdvisedShare = 0.4;
/// Weight of each answer in the moving average of that share.
constexpr double kAdvisedShareWeight = 0.1;
/// Smallest share that bounds the number of names.
constexpr double kMinAdvisedShare = 0.05;

/// More workers are named than there are tasks: some of those allowed will be full by the time that
/// the answer arrives.
constexpr double kNamesPerTask = 1.5;
constexpr std::size_t kMinNames = 6;

/// Full workers are added to a query for up to this share of its base cost. Which workers advice
/// allows doesn't change, so the answer saves a later query when they have room.
constexpr double kPrefetchCostShare = 0.25;

}  // namespace

std::vector<std::string> scheduler::UnsettledWorkersToQuery(const step_state& step) const {
  std::vector<std::string> unsettled;
  if (!step.job->restored || unsettled_.size() > kMaxUnsettledWorkers) {
    return unsettled;
  }
  for (const auto& [id, expires_at] : unsettled_) {
    const auto* const worker = workers_.at(id).get();
    const bool allowed = std::ranges::any_of(
        step.advice.Allowed(), [&](const auto& each) { return each.worker == worker; });
    if (!allowed && !step.advice.Refused(id)) {
      unsettled.push_back(id);
    }
  }
  return unsettled;
}

// Handles a worker that fails together with the leader. The new leader doesn't know which tasks the
// worker was ordered to run, so every restored task would wait 8 s until the worker's lease has
// expired. Since advice refuses a given step on two workers in three, a query often shows that the
// step doesn't have to wait for that worker.
void scheduler::QueryUnsettledWorkers(step_state& step, const instant& now) {
  if (step.job->accepted && step.job->advice && !UnsettledWorkersToQuery(step).empty()) {
    RequestAdvice(step, step.CountIdleTasks(), now);
  }
}

std::vector<worker_state*> scheduler::SelectBestWorkers(
    const step_state& step, const std::vector<worker_state*>& workers) const {
  // Each score is computed once, since it costs more than a comparison and a pool has hundreds of
  // workers. Workers with equal scores keep their order.
  std::vector<std::pair<double, std::size_t>> scored;
  scored.reserve(workers.size());
  for (std::size_t index = 0; index < workers.size(); ++index) {
    scored.emplace_back(Score(step, *workers[index]), index);
  }
  const auto count = std::min(scored.size(), settings_.max_workers_per_query);
  std::ranges::partial_sort(scored, scored.begin() + static_cast<std::ptrdiff_t>(count));
  std::vector<worker_state*> best;
  best.reserve(count);
  for (std::size_t index = 0; index < count; ++index) {
    best.push_back(workers[scored[index].second]);
  }
  return best;
}

scheduler::advice_candidates scheduler::FindAdviceCandidates(const step_state& step,
                                                             const instant& now) {
  const auto min_expiry = now.steady + settings_.ticket_margin;
  advice_candidates found;
  const auto consider = [&](worker_state& worker) {
    ++workers_considered_;
    if (step.advice.Refused(worker.facts.id) || !IsEligible(step, nullptr, worker, now)) {
      return;
    }
    const auto* const allowance = step.advice.Find(&worker);
    const bool room = Fits(step, worker) || HasRoomSoon(step, worker, now);
    if (allowance == nullptr && room) {
      found.unknown.push_back(&worker);
    } else if (allowance == nullptr && step.spec->need.FitsIn(worker.facts.capacity)) {
      found.full.push_back(&worker);
    } else if (allowance != nullptr && room && allowance->expires <= min_expiry) {
      found.allowed.push_back(&worker);
    }
  };
  if (ScansAllWorkers(step)) {
    for (const auto& [id, worker] : workers_) {
      consider(*worker);
    }
  } else {
    const auto& pool = step.job->pool;
    const auto wanted = RequiredProcessorsMilli(step);
    const auto enough = [&] {
      return found.allowed.size() + found.unknown.size() >= kMaxCandidateWorkers;
    };
    fill_.VisitOpen(pool, wanted, IsUrgent(step), [&](worker_state& worker) {
      consider(worker);
      return !enough();
    });
    if (!enough()) {
      fill_.VisitFull(pool, wanted, [&](worker_state& worker) {
        consider(worker);
        return found.full.size() < settings_.max_workers_per_query;
      });
    }
  }
  found.allowed = SelectBestWorkers(step, found.allowed);
  found.unknown = SelectBestWorkers(step, found.unknown);
  return found;
}

double& scheduler::AdvisedShare(const step_state& step) {
  return advised_share_.try_emplace(step.job->spec->queue, kInitialAdvisedShare).first->second;
}

std::size_t scheduler::CountNamesFor(const step_state& step, std::uint32_t tasks) {
  const double share = std::max(kMinAdvisedShare, AdvisedShare(step));
  return static_cast<std::size_t>(kNamesPerTask * tasks / share);
}

std::vector<std::string> scheduler::ChooseWorkersToQuery(const step_state& step,
                                                         std::uint32_t tasks, const instant& now) {
  const auto found = FindAdviceCandidates(step, now);
  auto names = UnsettledWorkersToQuery(step);
  const double wanted = kNamesPerTask * tasks;
  double expected = 0;
  const auto add_names = [&](const std::vector<worker_state*>& workers, double allowed_share) {
    for (const auto* const worker : workers) {
      const bool enough = expected >= wanted && names.size() >= kMinNames;
      if (enough || names.size() >= settings_.max_workers_per_query) {
        return;
      }
      names.push_back(worker->facts.id);
      expected += allowed_share;
    }
  };
  add_names(found.allowed, 1.0);
  add_names(found.unknown, AdvisedShare(step));
  if (expected >= wanted || !settings_.Uses(mechanism::kAdviceAhead)) {
    return names;
  }
  const auto& cost = *step.job->advice;
  const auto workers_per_base_cost = cost.base / std::max<duration>(cost.per_worker, duration{1});
  const auto prefetched =
      static_cast<std::size_t>(kPrefetchCostShare * static_cast<double>(workers_per_base_cost));
  const auto max_names = std::min(names.size() + prefetched, settings_.max_workers_per_query);
  for (const auto* const worker : found.full) {
    if (names.size() >= max_names) {
      break;
    }
    names.push_back(worker->facts.id);
  }
  return names;
}

void scheduler::RequestAdvice(step_state& step, std::uint32_t tasks, const instant& now) {
  if (!MayRequestAdvice(step, now)) {
    return;
  }
  auto names = ChooseWorkersToQuery(step, tasks, now);
  if (names.empty()) {
    step.advice.next_query_at = now.steady + settings_.ticket_margin;
    return;
  }
  SendAdviceQuery(step, std::move(names), tasks, now);
}

void scheduler::SendAdviceQuery(step_state& step, std::vector<std::string> workers,
                                std::uint32_t tasks, const instant& now) {
  advice_query query{step.Name(), std::move(workers), *step.job->advice, step.job->priority,
                     now.steady};
  advice_unused_ += step.advice.HasUnusedAnswer() ? 1 : 0;
  step.advice.RecordQuery(now.steady, now.steady + QueryCost(query) + settings_.advice_timeout);
  log_.Write(event_line{"advice_asked", event_weight::kDetail}
                 .Add("job", step.job->spec->id)
                 .Add("step", query.step)
                 .Add("workers", query.workers.size())
                 .Add("tasks", tasks));
  if (IsLongQuery(query.cost) && long_advice_slots_ != kUnlimitedAdviceSlots) {
    --long_advice_slots_;
  }
  orders_.emplace_back(std::move(query));
}

// The answer to a query can be lost on its way, or with the process that sent the query. If an
// overdue query weren't given up, its step would wait for advice forever even with room for all its
// tasks.
bool scheduler::MayRequestAdvice(step_state& step, const instant& now) {
  if (step.advice.HasPendingQuery(now.steady) || now.steady < step.advice.next_query_at) {
    return false;
  }
  step.awaits_advice_slot = IsLongQuery(*step.job->advice) && long_advice_slots_ == 0;
  if (step.awaits_advice_slot) {
    return false;
  }
  if (!step.advice.IsQueryOverdue(now.steady)) {
    return true;
  }
  log_.Write(event_line{"advice_overdue", event_weight::kFailure}
                 .Add("job", step.job->spec->id)
                 .Add("step", step.Name())
                 .Add("asked_ms_ago", now.steady - step.advice.query_sent_at()));
  step.advice.EndQuery();
  return true;
}

void scheduler::OnAdvice(const advice_query& query, const std::vector<advised_worker>* allowed,
                         const instant& now) {
  const auto name = task_name::Parse(query.step + ".0");
  auto* const job = name ? FindJob(name->job) : nullptr;
  auto* const step = job == nullptr ? nullptr : job->Step(name->occurrence, name->step);
  if (step == nullptr) {
    return;
  }
  step->advice.EndQuery();
  step->blocked_room_version = 0;
  if (allowed == nullptr) {
    step->advice.next_query_at = now.steady + settings_.advice_retry_interval;
    log_.Write(event_line{"advice_missing", event_weight::kFailure}
                   .Add("job", name->job)
                   .Add("step", query.step));
    return;
  }
  step->advice.RecordAnswer();
  auto& share = AdvisedShare(*step);
  const auto answered_share = static_cast<double>(allowed->size()) /
                              static_cast<double>(std::max<std::size_t>(1, query.workers.size()));
  share += kAdvisedShareWeight * (answered_share - share);
  for (const auto& worker : query.workers) {
    const auto restarted = workers_.find(worker);
    if (restarted != workers_.end() && restarted->second->born_known_at > query.asked_at) {
      continue;  // the advice is about the former incarnation
    }
    const auto given = std::ranges::find(*allowed, worker, &advised_worker::worker);
    if (given == allowed->end()) {
      step->advice.Refuse(worker);
    } else if (const auto known = workers_.find(worker); known != workers_.end()) {
      step->advice.Allow(known->second.get(), given->ticket, now.steady + query.cost.ticket_life);
    }
  }
  log_.Write(event_line{"advice_given", event_weight::kDetail}
                 .Add("job", name->job)
                 .Add("step", query.step)
                 .Add("asked", query.workers.size())
                 .Add("allowed", allowed->size())
                 .Add("took_ms", now.steady - query.asked_at));
}

}  // namespace rosearch::sched
