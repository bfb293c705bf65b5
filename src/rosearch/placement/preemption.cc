#include "rosearch/placement/preemption.h"

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

  friend auto operator<=>(const loss&, const loss&) = default;
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

/// @return what may be stopped on a VM: the least important first, then the largest.
victim_list CandidatesOn(const vm_state& vm, std::uint32_t below) {
  victim_list found;
  std::ranges::copy_if(vm.tasks, std::back_inserter(found), [below](const commitment* task) {
    return task->preemptible && task->priority < below;
  });
  std::ranges::sort(found, [](const commitment* a, const commitment* b) {
    return std::tie(a->priority, b->needs.processors_milli, a->task, a->attempt) <
           std::tie(b->priority, a->needs.processors_milli, b->task, b->attempt);
  });
  return found;
}

/// @return the victims that make room on a VM, none of which could be spared, or nothing.
std::optional<victim_list> VictimsOn(const vm_state& vm, const placement_request& request) {
  auto room = vm.Room();
  victim_list victims;
  for (const auto* each : CandidatesOn(vm, request.priority)) {
    if (request.needs.FitsIn(room)) {
      break;
    }
    room = room + each->needs;
    victims.push_back(each);
  }
  if (!request.needs.FitsIn(room)) {
    return std::nullopt;
  }
  // A small victim taken early may be needless once a larger one was added: the most important ones
  // are spared first.
  for (auto position = victims.size(); position-- > 0;) {
    const auto without = room - victims[position]->needs;
    if (request.needs.FitsIn(without)) {
      room = without;
      victims.erase(victims.begin() + static_cast<std::ptrdiff_t>(position));
    }
  }
  return victims;
}

preemption_plan PlanOf(const vm_state& vm, const victim_list& victims) {
  preemption_plan plan{vm.facts.vm, {}};
  std::ranges::transform(victims, std::back_inserter(plan.victims),
                         [](const commitment* each) { return *each; });
  return plan;
}

/// @return whether stopping everything on an open VM could make room: cheap, and rules out most.
bool IsWorthASearch(const vm_state& vm, const placement_request& request) {
  return vm.open && request.needs.FitsIn(vm.facts.holds) &&
         !internal::IsAvoided(request, vm.facts.vm);
}

}  // namespace

std::optional<preemption_plan> PlanPreemption(const ledger& book,
                                              const placement_request& request) {
  if (!request.urgent) {
    return std::nullopt;
  }
  const vm_state* best = nullptr;
  victim_list best_victims;
  for (const auto& [id, vm] : book) {
    if (!IsWorthASearch(vm, request)) {
      continue;
    }
    auto victims = VictimsOn(vm, request);
    if (!victims || (best != nullptr && LossOf(*victims) >= LossOf(best_victims))) {
      continue;
    }
    best = &vm;
    best_victims = std::move(*victims);
    if (best_victims.empty()) {
      break;
    }
  }
  return best == nullptr ? std::nullopt : std::optional{PlanOf(*best, best_victims)};
}

}  // namespace rosearch
