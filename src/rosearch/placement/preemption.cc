#include "rosearch/placement/preemption.h"

#include <glog/logging.h>

#include <algorithm>
#include <tuple>

#include "rosearch/placement/search.h"

namespace rosearch {
namespace {

using victim_list = std::vector<const commitment*>;

/// What a plan loses; the smallest is the best.
struct loss {
  std::uint32_t priority{};
  std::size_t victims{};
  std::int64_t processors_milli{};

  friend bool operator<(const loss& a, const loss& b) {
    return std::tie(a.priority, a.victims, a.processors_milli) <
           std::tie(b.priority, b.victims, b.processors_milli);
  }
};

loss LossOf(const victim_list& victims) {
  loss total;
  for (const auto* each : victims) {
    total.priority = std::max(total.priority, each->priority);
    ++total.victims;
    total.processors_milli += each->needs.processors_milli;
  }
  return total;
}

/// Only so many VMs are worked out task by task: those with the lowest priority to stop and, among
/// these, the least load. A VM may run hundreds of tasks, and the urgent request waits meanwhile.
constexpr std::size_t kWorkedOut = 16;

/// A VM on which stopping all preemptible work up to a priority makes room.
struct level_choice {
  std::uint32_t priority{};
  std::int64_t load{};
  const vm_state* vm{};

  [[nodiscard]] auto Rank() const { return std::tie(priority, load, vm->facts.vm); }
};

/// @return the lowest priority up to which preemptible work must be stopped to make room, below
///   that of the request, or nothing.
std::optional<std::uint32_t> LevelOf(const vm_state& vm, const placement_request& request) {
  auto room = vm.Room();
  for (const auto& [priority, sum] : vm.preemptible) {
    if (priority >= request.priority) {
      break;
    }
    room = room + sum;
    if (request.needs.FitsIn(room)) {
      return priority;
    }
  }
  return std::nullopt;
}

/// @return the VMs with the lowest level, the least loaded first, at most `kWorkedOut`.
std::vector<level_choice> LowestLevel(const ledger& book, const placement_request& request) {
  std::vector<level_choice> choices;
  for (const auto& [id, vm] : book) {
    if (!vm.open || !request.needs.FitsIn(vm.facts.holds) || internal::IsAvoided(request, id)) {
      continue;
    }
    const auto level = LevelOf(vm, request);
    if (!level || (!choices.empty() && *level > choices.front().priority)) {
      continue;
    }
    if (!choices.empty() && *level < choices.front().priority) {
      choices.clear();
    }
    choices.push_back({*level, vm.Load(), &vm});
  }
  const auto count = std::min(choices.size(), kWorkedOut);
  std::ranges::partial_sort(choices, choices.begin() + static_cast<std::ptrdiff_t>(count), {},
                            &level_choice::Rank);
  choices.resize(count);
  return choices;
}

/// @return what may be stopped on a VM.
victim_list CandidatesOn(const level_choice& choice) {
  victim_list found;
  std::ranges::copy_if(choice.vm->tasks, std::back_inserter(found),
                       [&choice](const commitment* task) {
                         return task->preemptible && task->priority <= choice.priority;
                       });
  return found;
}

/// @return whether `a` is stopped after `b`: the least important first, then the largest.
bool IsStoppedAfter(const commitment* a, const commitment* b) {
  return std::tie(a->priority, b->needs.processors_milli, a->task, a->attempt) >
         std::tie(b->priority, a->needs.processors_milli, b->task, b->attempt);
}

/// @return the smallest victim that makes room alone, or null.
const commitment* SingleVictim(const victim_list& candidates, const resources& room,
                               const resources& needs) {
  const commitment* best = nullptr;
  for (const auto* each : candidates) {
    if (!needs.FitsIn(room + each->needs)) {
      continue;
    }
    if (best == nullptr || std::tie(each->needs.processors_milli, each->task, each->attempt) <
                               std::tie(best->needs.processors_milli, best->task, best->attempt)) {
      best = each;
    }
  }
  return best;
}

/// Drops victims that the others make needless, the most important first: a small one that was
/// taken early may be spared once a larger one was added.
void SpareNeedless(victim_list& victims, resources room, const resources& needs) {
  for (auto position = victims.size(); position-- > 0;) {
    const auto without = room - victims[position]->needs;
    if (needs.FitsIn(without)) {
      room = without;
      victims.erase(victims.begin() + static_cast<std::ptrdiff_t>(position));
    }
  }
}

/// @return the victims that make room on a VM, none of which could be spared.
victim_list VictimsOn(const level_choice& choice, const placement_request& request) {
  auto room = choice.vm->Room();
  auto candidates = CandidatesOn(choice);
  if (const auto* const single = SingleVictim(candidates, room, request.needs)) {
    return {single};
  }
  // A heap instead of a sorted list: a few of hundreds are taken.
  std::ranges::make_heap(candidates, IsStoppedAfter);
  victim_list victims;
  while (!request.needs.FitsIn(room)) {
    CHECK(!candidates.empty()) << "event=preemptible_out_of_step vm=" << choice.vm->facts.vm;
    std::ranges::pop_heap(candidates, IsStoppedAfter);
    room = room + candidates.back()->needs;
    victims.push_back(candidates.back());
    candidates.pop_back();
  }
  SpareNeedless(victims, room, request.needs);
  return victims;
}

preemption_plan PlanOf(const vm_state& vm, const victim_list& victims) {
  preemption_plan plan{vm.facts.vm, {}};
  std::ranges::transform(victims, std::back_inserter(plan.victims),
                         [](const commitment* each) { return *each; });
  return plan;
}

/// @return an open VM on which the request fits as it is, or null.
const vm_state* FitsAlready(const ledger& book, const placement_request& request) {
  return internal::MayFit(book, request) ? internal::FirstByLoad(book.index().loads(), request)
                                         : nullptr;
}

}  // namespace

std::optional<preemption_plan> PlanPreemption(const ledger& book,
                                              const placement_request& request) {
  if (!request.urgent) {
    return std::nullopt;
  }
  if (const auto* const vm = FitsAlready(book, request)) {
    return PlanOf(*vm, {});
  }
  const vm_state* best = nullptr;
  victim_list best_victims;
  for (const auto& choice : LowestLevel(book, request)) {
    auto victims = VictimsOn(choice, request);
    if (best == nullptr || LossOf(victims) < LossOf(best_victims)) {
      best = choice.vm;
      best_victims = std::move(victims);
    }
  }
  return best == nullptr ? std::nullopt : std::optional{PlanOf(*best, best_victims)};
}

}  // namespace rosearch
