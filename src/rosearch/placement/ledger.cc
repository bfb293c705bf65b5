#include "rosearch/placement/ledger.h"

#include <glog/logging.h>

#include <algorithm>
#include <tuple>

namespace rosearch {
namespace {

std::string Describe(const resources& amount) {
  return std::to_string(amount.processors_milli) + "m/" + std::to_string(amount.memory_mb) + "MB/" +
         std::to_string(amount.accelerators);
}

void CountPreemptible(vm_state& vm, const commitment& task, const resources& by) {
  if (!task.preemptible) {
    return;
  }
  const auto level = vm.preemptible.try_emplace(task.priority).first;
  level->second = level->second + by;
  // A level of tasks that need nothing may go early: stopping them makes no room.
  if (level->second == resources{}) {
    vm.preemptible.erase(level);
  }
}

bool IsNegative(const resources& amount) {
  return amount.processors_milli < 0 || amount.memory_mb < 0 || amount.accelerators < 0;
}

}  // namespace

void ledger::Enter(const vm_state& vm) {
  if (!vm.open) {
    return;
  }
  index_.Add(vm);
  room_ = room_ + vm.Room();
}

void ledger::Leave(const vm_state& vm) {
  if (!vm.open) {
    return;
  }
  index_.Remove(vm);
  room_ = room_ - vm.Room();
}

void ledger::CountSpread(const vm_facts& where, const std::string& group, std::int64_t by) {
  if (group.empty()) {
    return;
  }
  const auto found = spread_.try_emplace(group).first;
  found->second.Add(where, by);
  if (found->second.empty()) {
    spread_.erase(found);
  }
}

void ledger::SetVm(const vm_facts& facts) {
  CHECK(!IsNegative(facts.holds)) << "event=invalid_vm vm=" << facts.vm
                                  << " holds=" << Describe(facts.holds);
  const auto [found, added] = vms_.try_emplace(facts.vm);
  auto& vm = found->second;
  if (!added) {
    if (vm.facts == facts) {
      return;
    }
    Leave(vm);
    held_ = held_ - vm.facts.holds;
    // The VM may have moved to another rack: what runs there is counted at the new place.
    for (const auto* task : vm.tasks) {
      CountSpread(vm.facts, task->spread_group, -1);
    }
  }
  vm.facts = facts;
  held_ = held_ + facts.holds;
  for (const auto* task : vm.tasks) {
    CountSpread(vm.facts, task->spread_group, 1);
  }
  Enter(vm);
}

void ledger::RemoveVm(const vm_id& vm) {
  const auto found = vms_.find(vm);
  if (found == vms_.end()) {
    return;
  }
  CHECK(found->second.tasks.empty())
      << "event=invariant_breach invariant=no_overcommit what=vm_removed_with_tasks vm=" << vm
      << " tasks=" << found->second.tasks.size() << " first=" << found->second.tasks.front()->task;
  Leave(found->second);
  held_ = held_ - found->second.facts.holds;
  vms_.erase(found);
}

void ledger::SetOpen(const vm_id& vm, bool open) {
  const auto found = vms_.find(vm);
  if (found == vms_.end() || found->second.open == open) {
    return;
  }
  Leave(found->second);
  found->second.open = open;
  Enter(found->second);
}

void ledger::Commit(vm_state& vm, const commitment& added) {
  CHECK(!IsNegative(added.needs)) << "event=invalid_needs task=" << added.task
                                  << " needs=" << Describe(added.needs);
  const auto [found, is_new] = commitments_.try_emplace({added.task, added.attempt});
  CHECK(is_new) << "event=invariant_breach invariant=single_run task=" << added.task
                << " attempt=" << added.attempt << " vm=" << vm.facts.vm
                << " already_on=" << found->second.where->facts.vm;
  found->second = {added, &vm};
  Leave(vm);
  vm.committed = vm.committed + added.needs;
  vm.tasks.push_back(&found->second.what);
  Enter(vm);
  committed_ = committed_ + added.needs;
  CountPreemptible(vm, added, added.needs);
  CountSpread(vm.facts, added.spread_group, 1);
}

bool ledger::TryCommit(const vm_id& vm, const commitment& added) {
  const auto found = vms_.find(vm);
  if (found == vms_.end() || !found->second.open || !added.needs.FitsIn(found->second.Room())) {
    return false;
  }
  Commit(found->second, added);
  const auto& state = found->second;
  // Holds whatever the index or the arithmetic above might do wrong: a VM has no guard of its own,
  // and one with too much committed kills tasks that were promised to run.
  CHECK(state.committed.FitsIn(state.facts.holds))
      << "event=invariant_breach invariant=no_overcommit vm=" << vm
      << " holds=" << Describe(state.facts.holds) << " committed=" << Describe(state.committed)
      << " task=" << added.task << " attempt=" << added.attempt
      << " needs=" << Describe(added.needs);
  return true;
}

void ledger::ForceCommit(const vm_id& vm, const commitment& added, bool adopted) {
  const auto found = vms_.find(vm);
  CHECK(found != vms_.end()) << "event=unknown_vm vm=" << vm << " task=" << added.task;
  if (VmOf(added.task, added.attempt) == vm) {
    return;
  }
  const auto& state = found->second;
  const bool fits = added.needs.FitsIn(state.Room());
  if (!fits) {
    LOG(ERROR) << "event=invariant_breach invariant=no_overcommit vm=" << vm
               << " holds=" << Describe(state.facts.holds)
               << " committed=" << Describe(state.committed) << " task=" << added.task
               << " attempt=" << added.attempt << " needs=" << Describe(added.needs)
               << " adopted=" << adopted;
  }
  CHECK(fits || adopted) << "event=invariant_breach invariant=no_overcommit vm=" << vm
                         << " task=" << added.task;
  Commit(found->second, added);
}

void ledger::Free(const std::string& task, std::uint32_t attempt) {
  const auto found = commitments_.find({task, attempt});
  if (found == commitments_.end()) {
    return;
  }
  const auto& what = found->second.what;
  auto& vm = *found->second.where;
  Leave(vm);
  vm.committed = vm.committed - what.needs;
  std::erase(vm.tasks, &what);
  Enter(vm);
  committed_ = committed_ - what.needs;
  CountPreemptible(vm, what, resources{} - what.needs);
  CountSpread(vm.facts, what.spread_group, -1);
  CHECK(!IsNegative(vm.committed))
      << "event=invariant_breach invariant=no_overcommit vm=" << vm.facts.vm
      << " committed=" << Describe(vm.committed);
  commitments_.erase(found);
}

const commitment* ledger::Find(const std::string& task, std::uint32_t attempt) const {
  const auto found = commitments_.find({task, attempt});
  return found == commitments_.end() ? nullptr : &found->second.what;
}

std::optional<vm_id> ledger::VmOf(const std::string& task, std::uint32_t attempt) const {
  const auto found = commitments_.find({task, attempt});
  if (found == commitments_.end()) {
    return std::nullopt;
  }
  return found->second.where->facts.vm;
}

const vm_state* ledger::FindVm(const vm_id& vm) const {
  const auto found = vms_.find(vm);
  return found == vms_.end() ? nullptr : &found->second;
}

bool ledger::IsOpen(const vm_id& vm) const {
  const auto* const state = FindVm(vm);
  return state != nullptr && state->open;
}

resources ledger::Room(const vm_id& vm) const {
  const auto* const state = FindVm(vm);
  return state == nullptr ? resources{} : state->Room();
}

std::vector<commitment> ledger::CommitmentsOn(const vm_id& vm) const {
  std::vector<commitment> all;
  if (const auto* const state = FindVm(vm); state != nullptr) {
    std::ranges::transform(state->tasks, std::back_inserter(all),
                           [](const commitment* task) { return *task; });
  }
  std::ranges::sort(all, {},
                    [](const commitment& each) { return std::tie(each.task, each.attempt); });
  return all;
}

const internal::spread_counts* ledger::SpreadOf(const std::string& group) const {
  const auto found = spread_.find(group);
  return found == spread_.end() ? nullptr : &found->second;
}

}  // namespace rosearch
