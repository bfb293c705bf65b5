// The exchanges of a pool with its workers: commands, reports and what they prove.
#include <glog/logging.h>

#include <algorithm>
#include <set>
#include <utility>

#include "rosearch/capacity/amounts.h"
#include "rosearch/capacity/look_plan.h"
#include "rosearch/capacity/vm_pool.h"

namespace rosearch {

session_wants vm_pool::WantsOf(const worker_vm& vm, time_point now) const {
  session_wants wants;
  internal::look_plan plan{vm.session.looked_at()};
  wants.stops = vm.strays;
  wants.awaits = !vm.strays.empty();
  for (const auto& key : vm.tasks) {
    const auto& record = placements_.at(key);
    if (record.start_queued) wants.starts.push_back(StartOf(key, record, vm));
    if (!record.start_sent) continue;
    wants.has_tasks = true;
    const bool stops = record.stopping != stop_cause::kNone;
    if (stops) (now >= record.stop_at ? wants.stops : wants.checkpoints).insert(key);
    if (stops && now < record.stop_at) wants.stop_at = std::min(wants.stop_at, record.stop_at);
    wants.awaits = wants.awaits || stops || record.phase == placement_phase::kStarting;
    plan.AddRunning(*record.start_sent, std::chrono::milliseconds{record.made.run_ms()});
  }
  wants.look_at = plan.Due(settings_);
  return wants;
}

wire::task_start vm_pool::StartOf(const attempt_key& key, const placement_record& record,
                                  const worker_vm& vm) const {
  const vm_id name{record.made.vm()};
  CHECK(vm.TakesStarts() && record.journaled && !record.start_sent &&
        record.phase == placement_phase::kStarting && record.stopping == stop_cause::kNone)
      << "a start that must not be sent: task=" << key << " vm=" << name
      << " leaving=" << vm.Leaving() << " verified=" << vm.session.verified()
      << " present=" << vm.present << " journaled=" << record.journaled << " shard=" << shard_;
  CHECK(ledger_.VmOf(key.task, key.attempt) == name)
      << "a start without a commitment: task=" << key << " vm=" << name << " shard=" << shard_;
  wire::task_start start;
  *start.mutable_ref() = record.made.ref();
  *start.mutable_needs() = record.made.needs();
  start.set_lease_ms(static_cast<std::uint32_t>(settings_.lease / std::chrono::milliseconds{1}));
  start.set_run_ms(record.made.run_ms());
  start.set_payload(record.made.payload());
  return start;
}

void vm_pool::Pump(const vm_id& vm, time_point now, pool_output& out) {
  auto& state = vms_.at(vm);
  if (!state.present || state.session.in_flight()) return;
  auto command = state.session.Next(WantsOf(state, now), now, settings_);
  if (!command) return;
  for (const auto& start : command->starts()) {
    auto& record = placements_.at(KeyOf(start.ref()));
    record.start_queued = false;
    record.start_sent = now;
  }
  const bool carries_starts = command->starts_size() > 0;
  out.exchanges.push_back({vm, state.listed.address(), std::move(*command), carries_starts});
}

void vm_pool::LandStarts(const worker_flight& flight, bool arrived, time_point sent_at,
                         time_point now, pool_output& out) {
  for (const auto& key : flight.starts) {
    const auto found = placements_.find(key);
    if (found == placements_.end()) continue;
    auto& record = found->second;
    if (arrived) {
      record.start_sent = sent_at;
      continue;
    }
    record.start_sent.reset();
    FinishNotSent(key, now, out);
  }
}

void vm_pool::OnExchangeFailed(const vm_id& vm, const error& failure, time_point sent_at,
                               time_point now, pool_output& out) {
  const auto found = vms_.find(vm);
  if (!acting_ || found == vms_.end()) return;
  auto& state = found->second;
  const bool arrived = failure.kind != error_kind::kTargetUnreachable;
  const auto flight = state.session.Land(arrived, sent_at);
  if (!flight) return;
  LandStarts(*flight, arrived, sent_at, now, out);
  state.session.Fail(*flight, sent_at, now, settings_);
  FailUnsent(state, now, out);
  touched_.insert(vm);
  Settle(now, out);
}

void vm_pool::OnReport(const vm_id& vm, const wire::worker_report& report, time_point sent_at,
                       time_point now, pool_output& out) {
  const auto found = vms_.find(vm);
  if (!acting_ || found == vms_.end()) return;
  auto& state = found->second;
  const auto flight = state.session.Land(true, sent_at);
  if (!flight) return;
  LandStarts(*flight, true, sent_at, now, out);
  touched_.insert(vm);
  if (state.session.Accept(*flight, report, sent_at)) {
    for (const auto& task : report.tasks()) Apply(vm, task, sent_at, now, out);
    if (report.whole()) ApplyAbsent(state, report, sent_at, now, out);
  } else {
    FailUnsent(state, now, out);
  }
  for (const auto& key : state.tasks) {
    const auto& record = placements_.at(key);
    if (record.phase == placement_phase::kStarting && record.start_sent) {
      state.session.AskWholeAt(*record.start_sent + settings_.transit);
    }
  }
  Settle(now, out);
}

void vm_pool::Apply(const vm_id& vm, const wire::task_report& report, time_point sent_at,
                    time_point now, pool_output& out) {
  const auto key = KeyOf(report.ref());
  auto& state = vms_.at(vm);
  const auto found = placements_.find(key);
  if (found == placements_.end() || found->second.made.vm() != vm.value()) {
    return ApplyUnknown(vm, report, sent_at, now, out);
  }
  auto& record = found->second;
  if (!record.start_sent) {
    LOG(ERROR) << "event=unsent_task_reported shard=" << shard_ << " vm=" << vm << " task=" << key;
    record.start_sent = sent_at;
    record.start_queued = false;
    record.phase = placement_phase::kStarting;
  }
  record.peak_memory_mb = std::max(record.peak_memory_mb, report.used_memory_mb());
  record.peak_processors_milli =
      std::max(record.peak_processors_milli, report.used_processors_milli());
  const auto stopping = record.stopping;
  verdict how;
  switch (report.phase()) {
    case wire::TASK_RUNNING:
      return ApplyRunning(key, record, out);
    case wire::TASK_DONE:
      how.body = report.result();
      break;
    case wire::TASK_FAILED:
      how.failure = error_kind::kTargetFailed;
      how.detail = report.result();
      break;
    case wire::TASK_REFUSED:
      how.failure = error_kind::kTargetRefused;
      how.detail = "the worker refused it";
      how.refused_by_worker = true;
      break;
    case wire::TASK_LAPSED:
      how = {.kind = wire::PLACE_LOST,
             .failure = error_kind::kTargetLost,
             .detail = "its lease lapsed"};
      break;
    case wire::TASK_STOPPED:
    case wire::TASK_CHECKPOINTED:
    default:
      how.failure = error_kind::kInterrupted;
      how.detail = stopping == stop_cause::kPreempted ? "preempted"
                   : stopping == stop_cause::kDrained ? "drained"
                                                      : "stopped";
      break;
  }
  state.strays.erase(key);
  Finish(key, how, now, out);
}

void vm_pool::ApplyRunning(const attempt_key& key, placement_record& record, pool_output& out) {
  if (record.phase == placement_phase::kRunning) return;
  record.phase = placement_phase::kRunning;
  if (!record.home_known) return;
  Send(EventOf(key, record.made.home_shard(), record.made.vm(), {.kind = wire::PLACE_STARTED}),
       out);
}

void vm_pool::ApplyUnknown(const vm_id& vm, const wire::task_report& report, time_point sent_at,
                           time_point now, pool_output& out) {
  const auto key = KeyOf(report.ref());
  auto& state = vms_.at(vm);
  const bool runs = report.phase() == wire::TASK_RUNNING;
  if (ended_.Find(key) != nullptr || placements_.contains(key)) {
    if (!runs) {
      state.strays.erase(key);
    } else if (state.strays.insert(key).second) {
      LOG(ERROR) << "event=stray_task shard=" << shard_ << " vm=" << vm << " task=" << key;
    }
    return;
  }
  if (!runs && complete_) {
    // Its home shard has acknowledged its end, but the worker wasn't told to forget it.
    return state.session.AddForget(key, now + settings_.transit);
  }
  placement_record record;
  record.phase = placement_phase::kRunning;
  record.home_known = false;
  record.journaled = runs;
  record.made.set_home_shard(kUnknownHome);
  record.start_sent = sent_at;
  *record.made.mutable_ref() = report.ref();
  record.made.set_vm(vm.value());
  *record.made.mutable_needs() = report.needs();
  if (const auto wish = stop_wishes_.find(key); wish != stop_wishes_.end()) {
    record.home_known = true;
    record.made.set_home_shard(wish->second);
    record.stopping = stop_cause::kCancelled;
    record.stop_at = now;
    stop_wishes_.erase(wish);
  }
  LOG(WARNING) << "event=task_adopted shard=" << shard_ << " vm=" << vm << " task=" << key
               << " runs=" << runs << " complete=" << complete_;
  if (runs) *out.records.emplace_back().mutable_placed() = record.made;
  ledger_.ForceCommit(vm, CommitmentOf(record.made), true);
  state.tasks.insert(key);
  placements_.emplace(key, std::move(record));
  if (!runs) Apply(vm, report, sent_at, now, out);
}

void vm_pool::ApplyAbsent(worker_vm& vm, const wire::worker_report& report, time_point sent_at,
                          time_point now, pool_output& out) {
  std::set<attempt_key> listed;
  for (const auto& task : report.tasks()) listed.insert(KeyOf(task.ref()));
  std::erase_if(vm.strays, [&listed](const auto& key) { return !listed.contains(key); });
  const auto tasks = vm.tasks;
  for (const auto& key : tasks) {
    const auto& record = placements_.at(key);
    if (listed.contains(key) || !record.start_sent) continue;
    if (sent_at < *record.start_sent + settings_.transit) {
      vm.session.AskWholeAt(*record.start_sent + settings_.transit);
      continue;
    }
    // Never "not run": the worker may be a new instance that the list doesn't show yet, and the old
    // one may have run it.
    Finish(key,
           {.kind = wire::PLACE_LOST,
            .failure = error_kind::kTargetLost,
            .detail = "its worker no longer knows it"},
           now, out);
  }
}

}  // namespace rosearch
