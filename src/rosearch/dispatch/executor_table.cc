#include "rosearch/dispatch/executor_table.h"

#include <glog/logging.h>

#include <algorithm>

namespace rosearch::internal {
namespace {

/// Doublings of the time for which an executor that refuses is passed over.
constexpr std::uint32_t kMostDoublings = 6;

}  // namespace

executor_table::load_key executor_table::KeyOf(const executor& each) {
  const auto capacity = std::max<std::uint32_t>(1, each.facts.Capacity());
  return {each.taken * 1000 / capacity, each.facts.vm};
}

void executor_table::Enter(const executor& each) {
  if (each.TakesWork() && each.Free() > 0) {
    by_load_.insert(KeyOf(each));
  }
}

void executor_table::Leave(const executor& each) { by_load_.erase(KeyOf(each)); }

void executor_table::Set(const executor_facts& facts) {
  auto& each = executors_[facts.vm];
  Leave(each);
  each.facts = facts;
  Enter(each);
}

void executor_table::Remove(const vm_id& vm) {
  const auto found = executors_.find(vm);
  if (found == executors_.end()) {
    return;
  }
  Leave(found->second);
  executors_.erase(found);
  // Slots of the old executor must not be freed on one that comes under the same name.
  std::erase_if(lingering_, [&vm](const auto& each) { return each.second == vm; });
}

void executor_table::SetOpen(const vm_id& vm, bool open) {
  const auto found = executors_.find(vm);
  if (found == executors_.end()) {
    return;
  }
  Leave(found->second);
  found->second.open = open;
  Enter(found->second);
}

void executor_table::SetLeaving(const vm_id& vm) {
  const auto found = executors_.find(vm);
  if (found == executors_.end()) {
    return;
  }
  Leave(found->second);
  found->second.leaving = true;
}

std::optional<vm_id> executor_table::Choose(const vm_health& health,
                                            const std::vector<vm_id>& avoid, time_point now) const {
  std::optional<vm_id> refused;
  std::optional<vm_id> avoided;
  for (const auto& [load, vm] : by_load_) {
    if (!health.MayTake(vm, now)) {
      continue;
    }
    if (std::ranges::find(avoid, vm) != avoid.end()) {
      avoided = avoided ? avoided : vm;
    } else if (executors_.at(vm).last_choice_until > now) {
      refused = refused ? refused : vm;
    } else {
      return vm;
    }
  }
  return refused ? refused : avoided;
}

void executor_table::OnRefused(const vm_id& vm, duration pause, time_point now) {
  const auto found = executors_.find(vm);
  if (found == executors_.end()) {
    return;
  }
  auto& each = found->second;
  each.last_choice_until = now + pause * (1U << std::min(each.refusals, kMostDoublings));
  ++each.refusals;
}

void executor_table::OnAnswered(const vm_id& vm) {
  const auto found = executors_.find(vm);
  if (found != executors_.end()) {
    found->second.refusals = 0;
    found->second.last_choice_until = {};
  }
}

void executor_table::Take(const vm_id& vm) {
  const auto found = executors_.find(vm);
  CHECK(found != executors_.end()) << "event=unknown_executor vm=" << vm;
  auto& each = found->second;
  CHECK(each.TakesWork()) << "event=invariant_breach invariant=leaving_targets vm=" << vm
                          << " open=" << each.open << " leaving=" << each.leaving;
  CHECK_LT(each.taken, each.facts.Capacity())
      << "event=invariant_breach invariant=executor_slots vm=" << vm
      << " slots=" << each.facts.slots << " connections=" << each.facts.connections;
  Leave(each);
  ++each.taken;
  Enter(each);
}

void executor_table::Release(const vm_id& vm) {
  const auto found = executors_.find(vm);
  if (found == executors_.end()) {
    return;
  }
  auto& each = found->second;
  CHECK_GT(each.taken, 0U) << "event=invariant_breach invariant=executor_slots vm=" << vm
                           << " what=freed_twice";
  Leave(each);
  --each.taken;
  Enter(each);
}

void executor_table::ReleaseAt(const vm_id& vm, time_point when) {
  if (!executors_.contains(vm)) {
    return;
  }
  due_.emplace(when, next_linger_);
  lingering_.emplace(next_linger_, vm);
  ++next_linger_;
}

void executor_table::Tick(time_point now) {
  while (!due_.empty() && due_.begin()->first <= now) {
    const auto found = lingering_.find(due_.begin()->second);
    due_.erase(due_.begin());
    if (found == lingering_.end()) {
      continue;
    }
    const auto vm = found->second;
    lingering_.erase(found);
    Release(vm);
  }
}

std::uint64_t executor_table::FreeSlots() const noexcept {
  std::uint64_t free = 0;
  for (const auto& [vm, each] : executors_) {
    free += each.TakesWork() ? each.Free() : 0;
  }
  return free;
}

std::uint64_t executor_table::UsableSlots(const vm_health& health, time_point now) const {
  std::uint64_t slots = 0;
  for (const auto& [vm, each] : executors_) {
    const bool usable = each.TakesWork() && health.ConditionOf(vm, now) != vm_condition::kSuspect;
    slots += usable ? each.facts.Capacity() : 0;
  }
  return slots;
}

std::uint32_t executor_table::TakenOn(const vm_id& vm) const {
  const auto found = executors_.find(vm);
  return found == executors_.end() ? 0 : found->second.taken;
}

bool executor_table::AnyOpen() const {
  return std::ranges::any_of(executors_, [](const auto& each) { return each.second.TakesWork(); });
}

bool executor_table::IsOpen(const vm_id& vm) const {
  const auto found = executors_.find(vm);
  return found != executors_.end() && found->second.TakesWork();
}

}  // namespace rosearch::internal
