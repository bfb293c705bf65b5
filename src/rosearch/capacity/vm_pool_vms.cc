// The VMs of a pool: the list, drains, openness, lapses, and what follows from a change of them.
#include <glog/logging.h>

#include <utility>

#include "rosearch/capacity/amounts.h"
#include "rosearch/capacity/vm_pool.h"

namespace rosearch {

using internal::FromWire;

vm_pool::worker_vm& vm_pool::AddVm(const vm_id& vm, time_point now) {
  const auto found = vms_.find(vm);
  if (found != vms_.end()) return found->second;
  // A start that an earlier owner wrote may arrive late; where its record may be missing, only a
  // report from after that shows all that runs. A VM that was listed later was the earlier owner's
  // too, as far as this one can tell.
  const auto verify_after = complete_ ? now : std::max(now, acquired_at_ + settings_.transit);
  worker_vm added{.listed = {},
                  .present = false,
                  .drained = drains_.contains(vm),
                  .session = {verify_after, complete_},
                  .tasks = {},
                  .strays = {}};
  added.session.set_renewed_at(acquired_at_);
  ledger_.SetVm({.vm = vm, .region = {}, .failure_domain = {}, .rack = {}, .holds = {}});
  ledger_.SetOpen(vm, false);
  touched_.insert(vm);
  return vms_.emplace(vm, std::move(added)).first->second;
}

void vm_pool::UpdateListed(const wire::vm_record& listed, time_point now, pool_output& out) {
  const vm_id name{listed.vm()};
  auto& vm = AddVm(name, now);
  touched_.insert(name);
  const bool known = !vm.listed.vm().empty();
  if (known && vm.listed.instance() != listed.instance()) {
    // A command written to the old instance may reach the new one at the same address.
    vm.session.Replace(now + settings_.transit);
    vm.strays.clear();
    health_.Remove(name);
    for (const auto& key : vm.tasks) placements_.at(key).rated = false;
    FailUnsent(vm, now, out);
  } else if (known && !vm.present) {
    vm.session.Unverify(now);
  }
  vm.listed = listed;
  vm.present = true;
  ledger_.SetVm({.vm = name,
                 .region = region_id{listed.region()},
                 .failure_domain = failure_domain_id{listed.failure_domain()},
                 .rack = rack_id{listed.rack()},
                 .holds = FromWire(listed.holds())});
}

void vm_pool::OnVmList(const std::vector<wire::vm_record>& workers, time_point now,
                       pool_output& out) {
  listed_.clear();
  for (const auto& listed : workers) {
    if (listed.kind() == wire::VM_WORKER) listed_.insert_or_assign(vm_id{listed.vm()}, listed);
  }
  if (!acting_) return;
  for (const auto& [name, listed] : listed_) UpdateListed(listed, now, out);
  for (auto& [name, vm] : vms_) {
    if (listed_.contains(name) || !vm.present) continue;
    vm.present = false;
    FailUnsent(vm, now, out);
    touched_.insert(name);
  }
  Settle(now, out);
}

void vm_pool::OnDrain(const vm_id& vm, bool leaving, time_point now, pool_output& out) {
  if (leaving) {
    drains_.insert(vm);
  } else {
    drains_.erase(vm);
  }
  const auto found = vms_.find(vm);
  if (!acting_ || found == vms_.end()) return;
  found->second.drained = leaving;
  touched_.insert(vm);
  Settle(now, out);
}

void vm_pool::FailUnsent(worker_vm& vm, time_point now, pool_output& out) {
  const auto tasks = vm.tasks;
  for (const auto& key : tasks) {
    if (placements_.at(key).start_queued) FinishNotSent(key, now, out);
  }
}

void vm_pool::Drain(const vm_id& vm, time_point now, pool_output& out) {
  for (const auto& key : holds_.On(vm)) {
    DropHold(key,
             {.kind = wire::PLACE_REFUSED,
              .failure = error_kind::kOverloaded,
              .detail = "its VM is leaving"},
             now, out);
  }
  FailUnsent(vms_.at(vm), now, out);
  const auto tasks = vms_.at(vm).tasks;
  for (const auto& key : tasks) {
    const auto& record = placements_.at(key);
    const std::chrono::milliseconds declared{record.made.run_ms()};
    const bool ends_soon = declared.count() > 0 && declared <= settings_.long_running;
    const bool movable = record.home_known && !record.made.at_most_once();
    if (ends_soon || !movable || record.stopping != stop_cause::kNone) continue;
    StopPlacement(key, stop_cause::kDrained, now, out);
  }
}

void vm_pool::ServeUrgent(const vm_id& vm, time_point now, pool_output& out) {
  const auto& state = vms_.at(vm);
  while (state.TakesStarts()) {
    const auto room = ledger_.Room(vm);
    auto wait = urgent_.TakeFirst([&](const urgent_wait& w) {
      return w.made.vm() == vm.value() && FromWire(w.made.needs()).FitsIn(room);
    });
    if (!wait) return;
    ledger_.ForceCommit(vm, CommitmentOf(wait->made), false);
    Journal(wait->key, std::move(wait->made), now, out);
  }
  while (const auto wait =
             urgent_.TakeFirst([&](const urgent_wait& w) { return w.made.vm() == vm.value(); })) {
    Refuse(wait->key, wait->made.home_shard(),
           {.kind = wire::PLACE_REFUSED,
            .failure = error_kind::kOverloaded,
            .detail = "the VM on which room was made takes no work"},
           now, out);
  }
}

void vm_pool::UpdateOpen(const vm_id& vm, time_point now) {
  const auto& state = vms_.at(vm);
  // While preempted tasks end one after the other, other work must not take the room that they
  // leave: the urgent task would wait for ever.
  ledger_.SetOpen(vm, state.TakesStarts() && state.strays.empty() && health_.MayTake(vm, now) &&
                          !urgent_.WaitsFor(vm));
}

void vm_pool::LapseLeases(const vm_id& vm, time_point now, pool_output& out) {
  const auto& state = vms_.at(vm);
  if (state.session.in_flight()) return;
  const auto tasks = state.tasks;
  for (const auto& key : tasks) {
    const auto& record = placements_.at(key);
    if (!record.start_sent) continue;
    const auto renewed_at = std::max(*record.start_sent, state.session.renewed_at());
    if (now < renewed_at + LeaseSpan(settings_)) continue;
    LOG(WARNING) << "event=lease_lapsed shard=" << shard_ << " vm=" << vm << " task=" << key;
    Finish(key,
           {.kind = wire::PLACE_LOST,
            .failure = error_kind::kTargetLost,
            .detail = "its VM was out of reach until its lease lapsed"},
           now, out);
  }
}

bool vm_pool::SettleVm(const vm_id& vm, time_point now, pool_output& out) {
  auto& state = vms_.at(vm);
  if (!state.present || state.Leaving()) Drain(vm, now, out);
  LapseLeases(vm, now, out);
  ServeUrgent(vm, now, out);
  UpdateOpen(vm, now);
  if (state.present || !state.tasks.empty() || state.session.in_flight()) {
    Pump(vm, now, out);
    return true;
  }
  return false;
}

void vm_pool::Settle(time_point now, pool_output& out) {
  while (!touched_.empty()) {
    const auto vm = touched_.extract(touched_.begin()).value();
    if (!vms_.contains(vm) || SettleVm(vm, now, out)) continue;
    ledger_.RemoveVm(vm);
    health_.Remove(vm);
    vms_.erase(vm);
    touched_.erase(vm);
  }
}

void vm_pool::Tick(time_point now, pool_output& out) {
  if (!acting_) return;
  for (const auto& key : holds_.Lapsed(now)) {
    DropHold(key,
             {.kind = wire::PLACE_REFUSED,
              .failure = error_kind::kOverloaded,
              .detail = "its hold lapsed"},
             now, out);
  }
  while (const auto wait =
             urgent_.TakeFirst([now](const urgent_wait& w) { return w.give_up_at <= now; })) {
    touched_.insert(vm_id{wait->made.vm()});
    Refuse(wait->key, wait->made.home_shard(),
           {.kind = wire::PLACE_REFUSED,
            .failure = error_kind::kOverloaded,
            .detail = "the preempted work did not stop in time"},
           now, out);
  }
  for (auto& event : ended_.Due(now, settings_.event_retry)) Send(std::move(event), out);
  complete_ = complete_ || now >= complete_at_;
  for (const auto& vm : health_.Tick(now)) touched_.insert(vm);
  for (const auto& [vm, state] : vms_) {
    const bool steady = state.present && state.session.verified() && !state.Leaving();
    if (!steady || state.session.IsDue(now)) touched_.insert(vm);
  }
  Settle(now, out);
}

}  // namespace rosearch
