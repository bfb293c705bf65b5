// Gang placement: starts all tasks of a step together or none of them.
//
// Gangs need a large part of the accelerators of the few workers that advice allows, in a pool that
// is four fifths full. Most gangs are waiting for room at any time, and an advice query takes half
// a second of a process's time.
#include <algorithm>
#include <map>

#include "rosearch/sched/scheduler.h"

namespace rosearch::sched {

std::vector<worker_state*> scheduler::AssignGangWorkers(
    const step_state& step, const std::vector<worker_state*>& candidates) const {
  const auto& spec = *step.spec;
  // Members are assigned tentatively, without changing the workers, since all have to find room.
  struct assignment {
    resources room{};
    std::uint32_t members{0};
  };
  std::map<const worker_state*, assignment> assigned;
  const auto has_room = [&](const worker_state& worker) {
    const auto& taken = assigned[&worker];
    const bool within_limit = spec.per_worker_limit == 0 || taken.members < spec.per_worker_limit;
    return within_limit && spec.need.FitsIn(worker.FreeFor(step) - taken.room);
  };
  std::vector<worker_state*> places;
  while (places.size() < step.tasks.size()) {
    worker_state* best = nullptr;
    double best_score = 0;
    for (auto* const candidate : candidates) {
      if (!has_room(*candidate)) {
        continue;
      }
      const double score = Score(step, *candidate);
      if (best == nullptr || score < best_score) {
        best = candidate;
        best_score = score;
      }
    }
    if (best == nullptr) {
      return {};
    }
    auto& taken = assigned[best];
    taken.room = taken.room + spec.need;
    ++taken.members;
    places.push_back(best);
  }
  return places;
}

void scheduler::PlaceGang(step_state& step, const instant& now) {
  if (step.stopping_gang || !step.runs.empty()) {
    return;
  }
  const bool backing_off =
      std::ranges::any_of(step.tasks, [&](const auto& task) { return !IsDue(task, now); });
  if (backing_off) {
    return;
  }
  const auto* const customer = step.job->customer;
  const auto members = static_cast<std::uint32_t>(step.tasks.size());
  step.at_limit = customer != nullptr && !customer->MayStartTogether(step.spec->need, members);
  if (step.at_limit) {
    ReleaseReservations(step);
    MarkBlocked(step, now);
    return;
  }
  const bool advised = step.job->advice.has_value();
  std::vector<worker_state*> candidates;
  if (advised) {
    const auto min_expiry = now.steady + settings_.ticket_margin;
    for (const auto& allowance : step.advice.Allowed()) {
      if (allowance.expires > min_expiry) {
        candidates.push_back(allowance.worker);
      }
    }
  } else {
    for (const auto& [id, worker] : workers_) {
      candidates.push_back(worker.get());
    }
  }
  std::erase_if(candidates,
                [&](const auto* worker) { return !IsEligible(step, nullptr, *worker, now); });
  const auto places = AssignGangWorkers(step, candidates);
  if (!places.empty()) {
    ReleaseReservations(step);
    StartGang(step, places, now);
    return;
  }
  if (advised) {
    RequestGangAdvice(step, now);
  }
  ReserveWorkers(step, static_cast<std::uint32_t>(step.tasks.size()), now);
  MarkBlocked(step, now);
}

void scheduler::StartGang(step_state& step, const std::vector<worker_state*>& places,
                          const instant& now) {
  const auto number = RunNumber(++step.gang_runs);
  const auto checkpoint = step.tasks.front().checkpoint;
  for (std::uint32_t index = 0; index < step.tasks.size(); ++index) {
    auto* const worker = places[index];
    const auto* const allowance = step.advice.Find(worker);
    BeginRun(step, index, *worker, number, checkpoint,
             allowance == nullptr ? std::string{} : allowance->ticket, now);
  }
}

std::size_t scheduler::CountWorkersForGangQuery(const step_state& step) {
  const auto wanted = CountNamesFor(step, static_cast<std::uint32_t>(step.tasks.size()));
  return std::clamp(wanted, settings_.min_workers_per_gang_query, settings_.max_workers_per_query);
}

// Sends a query only if its answer lets the gang start or covers workers without a known answer.
// When a query was sent as soon as any member had room, four queries in five were useless, and
// queries of other steps waited for 6 s on average, one in twenty for 23 s.
void scheduler::RequestGangAdvice(step_state& step, const instant& now) {
  if (!MayRequestAdvice(step, now)) {
    return;
  }
  std::vector<worker_state*> allowed;
  std::vector<worker_state*> unknown;
  for (const auto& [id, worker] : workers_) {
    if (step.advice.Refused(id) || !IsEligible(step, nullptr, *worker, now)) {
      continue;
    }
    if (step.advice.Find(worker.get()) != nullptr) {
      allowed.push_back(worker.get());
    } else if (step.spec->need.FitsIn(worker->facts.capacity)) {
      unknown.push_back(worker.get());
    }
  }
  auto named = AssignGangWorkers(step, allowed);
  std::ranges::sort(named);
  named.erase(std::unique(named.begin(), named.end()), named.end());
  if (named.empty()) {
    // Names as many workers without advice as possible at once: which workers advice allows doesn't
    // change, and each further name adds only a seventieth of a query's cost. Workers with room for
    // a member come first.
    std::stable_partition(unknown.begin(), unknown.end(),
                          [&](const auto* worker) { return Fits(step, *worker); });
    unknown.resize(std::min(unknown.size(), CountWorkersForGangQuery(step)));
    named = std::move(unknown);
  }
  std::vector<std::string> names;
  names.reserve(named.size());
  for (const auto* const worker : named) {
    names.push_back(worker->facts.id);
  }
  if (!names.empty()) {
    SendAdviceQuery(step, std::move(names), static_cast<std::uint32_t>(step.tasks.size()), now);
  }
}

}  // namespace rosearch::sched
