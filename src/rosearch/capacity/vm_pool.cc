#include "rosearch/capacity/vm_pool.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "rosearch/capacity/amounts.h"
#include "rosearch/placement/never_fits.h"
#include "rosearch/placement/policy.h"
#include "rosearch/placement/preemption.h"

namespace rosearch {
namespace {

using internal::FromWire;

constexpr std::uint32_t kAskAgainMs = 1000;

placement_request RequestOf(const wire::place_task& place) {
  placement_request request{.needs = FromWire(place.want().needs()),
                            .priority = place.want().priority(),
                            .urgent = place.urgent(),
                            .avoid = {},
                            .spread_group = place.want().spread_over()};
  for (const auto& vm : place.avoid_vms()) request.avoid.emplace_back(vm);
  return request;
}

/// @return the job that a task belongs to: tasks are named JOB/NUMBER.
std::string JobOf(const std::string& task) { return task.substr(0, task.rfind('/')); }

}  // namespace

vm_pool::vm_pool(shard_number shard, pool_settings settings)
    : shard_{shard}, settings_{settings}, health_{settings.health} {}

void vm_pool::OnAcquired(epoch_number epoch, const std::vector<wire::placement_made>& placements,
                         bool complete, time_point now, pool_output& out) {
  CHECK(!acting_ || epoch > epoch_) << "acquired again shard=" << shard_ << " epoch=" << epoch;
  OnLost(now);
  acting_ = true;
  epoch_ = epoch;
  complete_ = complete;
  acquired_at_ = now;
  proved_at_ = now + LeaseSpan(settings_);
  complete_at_ = complete ? now : proved_at_ + settings_.proof_span;
  for (const auto& [vm, listed] : listed_) UpdateListed(listed, now, out);
  for (const auto& made : placements) {
    const auto key = KeyOf(made.ref());
    placement_record record;
    record.made = made;
    record.phase = placement_phase::kStarting;
    record.home_known = made.home_shard() != kUnknownHome;
    record.journaled = true;
    record.start_sent = now;  // the predecessor may have sent it until now
    if (!placements_.try_emplace(key, std::move(record)).second) continue;
    auto& vm = AddVm(vm_id{made.vm()}, now);
    vm.tasks.insert(key);
    ledger_.ForceCommit(vm_id{made.vm()}, CommitmentOf(made), true);
  }
  LOG(INFO) << "event=capacity_acquired shard=" << shard_ << " epoch=" << epoch
            << " placements=" << placements_.size() << " complete=" << complete;
  Settle(now, out);
}

void vm_pool::OnLost(time_point /*now*/) {
  acting_ = false;
  ledger_ = ledger{};
  health_ = vm_health{settings_.health};
  vms_.clear();
  placements_.clear();
  holds_.clear();
  ended_.clear();
  urgent_.clear();
  stop_wishes_.clear();
  touched_.clear();
}

void vm_pool::OnMessage(const wire::capacity_message& message, time_point now, pool_output& out) {
  if (!acting_ || message.to_shard() != shard_) return;
  const auto home = message.from_shard();
  auto& seen = home_epochs_[home];
  // An owner of the home shard that was overtaken may still be sending. Taken up, its stop or its
  // placement would undo what its successor decided.
  if (message.from_epoch() < seen) return;
  seen = message.from_epoch();
  if (message.has_place()) Place(message.place(), home, now, out);
  if (message.has_commit()) Commit(KeyOf(message.commit().ref()), home, now, out);
  if (message.has_stop()) Stop(KeyOf(message.stop().ref()), home, now, out);
  if (message.has_ack()) Acknowledge(message.ack(), now, out);
  Settle(now, out);
}

void vm_pool::AdoptHome(placement_record& record, shard_number home,
                        const wire::placement_made* want, pool_output& out) {
  if (record.home_known) return;
  record.home_known = true;
  if (want != nullptr) {
    auto made = *want;
    made.set_vm(record.made.vm());
    *made.mutable_needs() = record.made.needs();  // as committed
    record.made = std::move(made);
  }
  record.made.set_home_shard(home);
  *out.records.emplace_back().mutable_placed() = record.made;
}

bool vm_pool::AnswerKnown(const attempt_key& key, shard_number home,
                          const wire::placement_made* want, time_point now, pool_output& out) {
  if (auto* const ended = ended_.Find(key)) {
    if (!ended->home_known) {
      ended->home_known = true;
      ended->event.set_home_shard(home);
      ended->drop_at = kNever;
    }
    ended->send_at = now + settings_.event_retry;
    Send(ended->event, out);
    return true;
  }
  const auto found = placements_.find(key);
  if (found != placements_.end()) {
    auto& record = found->second;
    AdoptHome(record, home, want, out);
    if (record.phase == placement_phase::kRunning) {
      Send(EventOf(key, home, record.made.vm(), {.kind = wire::PLACE_STARTED}), out);
    }
    return true;
  }
  return false;
}

bool vm_pool::AnswerUnproved(const attempt_key& key, shard_number home, time_point now,
                             pool_output& out) {
  if (complete_) return false;
  // With records missing, an attempt that nobody here knows may run on a worker that has not
  // answered yet. An answer before every lease has lapsed would let it run in two places; a
  // refusal would tell the caller "not run" of work that ran. The home shard asks again.
  if (now < proved_at_) return true;
  Refuse(key, home,
         {.kind = wire::PLACE_LOST,
          .failure = error_kind::kInterrupted,
          .detail = "its records were lost in a takeover"},
         now, out);
  return true;
}

void vm_pool::Place(const wire::place_task& place, shard_number home, time_point now,
                    pool_output& out) {
  const auto key = KeyOf(place.want().ref());
  if (AnswerKnown(key, home, &place.want(), now, out)) return;
  if (const auto* const held = holds_.Find(key)) {
    Send(EventOf(key, home, held->made.vm(), {.kind = wire::PLACE_HELD}), out);
    return;
  }
  if (urgent_.Contains(key) || stop_wishes_.contains(key)) return;
  if (place.repeated() && AnswerUnproved(key, home, now, out)) return;
  PlaceNew(place, home, now, out);
}

void vm_pool::PlaceNew(const wire::place_task& place, shard_number home, time_point now,
                       pool_output& out) {
  const auto key = KeyOf(place.want().ref());
  const auto refuse = [&](error_kind kind, std::string detail) {
    Refuse(key, home, {.kind = wire::PLACE_REFUSED, .failure = kind, .detail = std::move(detail)},
           now, out);
  };
  const auto policy = policy_registry::Find(place.policy());
  if (policy.has_error()) return refuse(policy.error().kind, policy.error().detail);

  auto made = place.want();
  made.set_home_shard(home);
  const auto request = RequestOf(place);
  const auto vm = policy.value()->Choose(ledger_, request);
  if (!vm) {
    if (place.urgent() && !place.hold()) return Preempt(std::move(made), request, now, out);
    if (ledger_.vm_count() > 0 && NeverFits(ledger_, request.needs)) {
      return refuse(error_kind::kNeverFits, "larger than every VM of the shard");
    }
    return refuse(error_kind::kOverloaded, "no room");
  }
  made.set_vm(vm->value());
  auto wanted = CommitmentOf(made);
  if (place.hold()) wanted.preemptible = false;
  CHECK(ledger_.TryCommit(*vm, wanted))
      << "a policy chose a VM without room: vm=" << *vm << " task=" << key
      << " policy=" << place.policy() << " shard=" << shard_;
  if (!place.hold()) return Journal(key, std::move(made), now, out);
  health_.OnStarted(*vm, JobOf(key.task), now);
  touched_.insert(*vm);
  Send(EventOf(key, home, vm->value(), {.kind = wire::PLACE_HELD}), out);
  holds_.Add(key, {std::move(made), now + std::chrono::milliseconds{place.hold_ms()}});
}

void vm_pool::Preempt(wire::placement_made made, const placement_request& request, time_point now,
                      pool_output& out) {
  const auto key = KeyOf(made.ref());
  const auto plan = PlanPreemption(ledger_, request);
  if (!plan) {
    const auto kind =
        NeverFits(ledger_, request.needs) ? error_kind::kNeverFits : error_kind::kOverloaded;
    return Refuse(key, made.home_shard(),
                  {.kind = wire::PLACE_REFUSED, .failure = kind, .detail = "nothing to preempt"},
                  now, out);
  }
  made.set_vm(plan->vm.value());
  urgent_.Add({key, std::move(made), now + settings_.urgent_limit});
  touched_.insert(plan->vm);
  for (const auto& victim : plan->victims) {
    StopPlacement({victim.task, victim.attempt}, stop_cause::kPreempted, now, out);
  }
}

void vm_pool::Commit(const attempt_key& key, shard_number home, time_point now, pool_output& out) {
  if (auto held = holds_.Take(key)) {
    health_.OnAbandoned(vm_id{held->made.vm()}, JobOf(key.task));
    return Journal(key, std::move(held->made), now, out);
  }
  if (AnswerKnown(key, home, nullptr, now, out) || AnswerUnproved(key, home, now, out)) return;
  Refuse(key, home,
         {.kind = wire::PLACE_REFUSED, .failure = error_kind::kOverloaded, .detail = "not held"},
         now, out);
}

void vm_pool::Stop(const attempt_key& key, shard_number home, time_point now, pool_output& out) {
  const verdict cancelled{
      .kind = wire::PLACE_REFUSED, .failure = error_kind::kCancelled, .detail = "stopped"};
  if (placements_.contains(key)) {
    // Not answered with "started": a home shard that doesn't know the attempt answers that with
    // another stop. Where one entry serves both shards, the two would go on for ever in one step.
    AdoptHome(placements_.at(key), home, nullptr, out);
    return StopPlacement(key, stop_cause::kCancelled, now, out);
  }
  if (AnswerKnown(key, home, nullptr, now, out)) return;
  if (holds_.Find(key) != nullptr) return DropHold(key, cancelled, now, out);
  if (const auto wait = urgent_.TakeFirst([&key](const auto& w) { return w.key == key; })) {
    touched_.insert(vm_id{wait->made.vm()});
    return Refuse(key, home, cancelled, now, out);
  }
  if (!complete_) stop_wishes_[key] = home;
  if (AnswerUnproved(key, home, now, out)) return;
  Refuse(key, home, cancelled, now, out);
}

void vm_pool::Acknowledge(const wire::place_ack& ack, time_point now, pool_output& out) {
  const auto key = KeyOf(ack.ref());
  auto* const ended = ended_.Find(key);
  if (ended == nullptr || ended->acknowledged) return;
  // An acknowledgement of PLACE_STARTED that was under way when the task ended: taken for one of
  // the end, the home shard would never hear of it and the job would never end.
  if (ack.kind() != ended->event.kind()) return;
  ended->acknowledged = true;
  ended->drop_at = now + settings_.remember;
  if (!ended->journaled) return Forget(key, *ended);
  // Written only now: a successor that knew of no placement would take the home shard's repeated
  // message for a new one and run the attempt again.
  JournalFreed(key, ended->event.how(), out);
}

void vm_pool::Forget(const attempt_key& key, const ended_attempt& ended) {
  const auto vm = vms_.find(vm_id{ended.event.vm()});
  if (vm != vms_.end()) vm->second.session.AddForget(key, ended.forget_after);
}

void vm_pool::JournalFreed(const attempt_key& key, const wire::ending& how, pool_output& out) {
  auto& freed = *out.records.emplace_back().mutable_freed();
  *freed.mutable_ref() = RefOf(key);
  *freed.mutable_how() = how;
}

void vm_pool::Refuse(const attempt_key& key, shard_number home, const verdict& how, time_point now,
                     pool_output& out) {
  stop_wishes_.erase(key);
  ended_attempt ended;
  ended.event = EventOf(key, home, {}, how);
  ended.forget_after = now;
  ended.send_at = now + settings_.event_retry;
  Send(ended.event, out);
  ended_.Add(key, std::move(ended));
}

commitment vm_pool::CommitmentOf(const wire::placement_made& made) {
  // Work that may never start a second time is never preempted: it could not be resumed.
  return {.task = made.ref().task(),
          .attempt = made.ref().attempt(),
          .needs = FromWire(made.needs()),
          .priority = made.priority(),
          .preemptible = made.preemptible() && !made.at_most_once(),
          .spread_group = made.spread_over()};
}

void vm_pool::Journal(const attempt_key& key, wire::placement_made made, time_point now,
                      pool_output& out) {
  const vm_id vm{made.vm()};
  CHECK(ledger_.VmOf(key.task, key.attempt) == vm)
      << "journaled without a commitment: task=" << key << " vm=" << vm << " shard=" << shard_;
  *out.records.emplace_back().mutable_placed() = made;
  placement_record record;
  record.made = std::move(made);
  record.journaled = true;
  record.rated = true;
  health_.OnStarted(vm, JobOf(key.task), now);
  CHECK(placements_.try_emplace(key, std::move(record)).second)
      << "placed twice: task=" << key << " vm=" << vm << " shard=" << shard_;
  vms_.at(vm).tasks.insert(key);
  touched_.insert(vm);
}

void vm_pool::OnDurable(const wire::shard_record& record, time_point now, pool_output& out) {
  if (!acting_) return;
  if (record.has_freed()) {
    const auto key = KeyOf(record.freed().ref());
    if (const auto* const ended = ended_.Find(key)) Forget(key, *ended);
    return;
  }
  if (!record.has_placed()) return;
  const auto key = KeyOf(record.placed().ref());
  const auto found = placements_.find(key);
  if (found == placements_.end() || found->second.phase != placement_phase::kJournaling) return;
  found->second.phase = placement_phase::kStarting;
  const vm_id vm{found->second.made.vm()};
  touched_.insert(vm);
  if (found->second.stopping != stop_cause::kNone || !vms_.at(vm).TakesStarts()) {
    FinishNotSent(key, now, out);
  } else {
    found->second.start_queued = true;
  }
  Settle(now, out);
}

void vm_pool::StopPlacement(const attempt_key& key, stop_cause cause, time_point now,
                            pool_output& out) {
  auto& record = placements_.at(key);
  touched_.insert(vm_id{record.made.vm()});
  if (record.stopping == stop_cause::kCancelled) return;
  if (record.stopping != stop_cause::kNone && cause != stop_cause::kCancelled) {
    // Drained earlier, now preempted: urgent work can't wait for a checkpoint without end.
    if (cause == stop_cause::kPreempted) {
      record.stop_at = std::min(record.stop_at, now + settings_.checkpoint_limit);
    }
    return;
  }
  record.stopping = cause;
  if (cause == stop_cause::kCancelled) record.stop_at = now;
  if (cause == stop_cause::kPreempted) record.stop_at = now + settings_.checkpoint_limit;
  if (record.phase == placement_phase::kStarting && !record.start_sent) {
    FinishNotSent(key, now, out);
  }
}

void vm_pool::FinishNotSent(const attempt_key& key, time_point now, pool_output& out) {
  const auto& record = placements_.at(key);
  const bool cancelled = record.stopping == stop_cause::kCancelled;
  Finish(key,
         {.kind = wire::PLACE_ENDED,
          .failure = cancelled ? error_kind::kCancelled : error_kind::kTargetUnreachable,
          .detail = cancelled ? "stopped before it started" : "its VM took no start"},
         now, out);
}

void vm_pool::Finish(const attempt_key& key, const verdict& how, time_point now, pool_output& out) {
  const auto found = placements_.find(key);
  CHECK(found != placements_.end()) << "ended twice: task=" << key << " shard=" << shard_;
  const auto record = std::move(found->second);
  placements_.erase(found);
  const vm_id vm{record.made.vm()};
  const bool not_run = how.failure && AnswerFor(*how.failure).effect == outcome::kNotRun;
  CHECK(!not_run || !record.start_sent || how.refused_by_worker)
      << "told not run after its start was sent: task=" << key << " vm=" << vm
      << " error=" << AnswerFor(*how.failure).name << " shard=" << shard_ << " epoch=" << epoch_;
  ledger_.Free(key.task, key.attempt);
  vms_.at(vm).tasks.erase(key);
  touched_.insert(vm);
  Rate(record, how, now);

  ended_attempt ended;
  ended.event = EventOf(key, record.made.home_shard(), vm.value(), how);
  ended.journaled = record.journaled;
  ended.home_known = record.home_known;
  ended.forget_after = record.start_sent ? *record.start_sent + settings_.transit : now;
  ended.send_at = now + settings_.event_retry;
  if (ended.home_known) {
    Send(ended.event, out);
  } else {
    ended.drop_at = now + settings_.remember;
    ended.journaled = false;
    if (record.journaled) JournalFreed(key, ended.event.how(), out);
    vms_.at(vm).session.AddForget(key, ended.drop_at);
  }
  ended_.Add(key, std::move(ended));
}

void vm_pool::Rate(const placement_record& record, const verdict& how, time_point now) {
  if (!record.rated) return;
  const vm_id vm{record.made.vm()};
  const auto job = JobOf(record.made.ref().task());
  if (!how.failure) return health_.OnSucceeded(vm, job, now);
  const bool failed =
      *how.failure == error_kind::kTargetFailed || *how.failure == error_kind::kTargetRefused;
  if (failed) return health_.OnFailed(vm, job, now);
  health_.OnAbandoned(vm, job);
}

void vm_pool::DropHold(const attempt_key& key, const verdict& how, time_point now,
                       pool_output& out) {
  const auto held = holds_.Take(key);
  CHECK(held) << "no such hold: task=" << key << " shard=" << shard_;
  const vm_id vm{held->made.vm()};
  ledger_.Free(key.task, key.attempt);
  health_.OnAbandoned(vm, JobOf(key.task));
  touched_.insert(vm);
  Refuse(key, held->made.home_shard(), how, now, out);
}

void vm_pool::Send(wire::place_event event, pool_output& out) const {
  auto& message = out.messages.emplace_back();
  message.set_from_shard(shard_);
  message.set_to_shard(event.home_shard());
  message.set_from_epoch(epoch_);
  *message.mutable_event() = std::move(event);
}

wire::place_event vm_pool::EventOf(const attempt_key& key, shard_number home, const std::string& vm,
                                   const verdict& how) const {
  wire::place_event event;
  *event.mutable_ref() = RefOf(key);
  event.set_kind(how.kind);
  event.set_vm(vm);
  event.set_home_shard(home);
  auto& ending = *event.mutable_how();
  ending.set_vm(vm);
  ending.set_body(how.body);
  if (!how.failure) return event;
  const auto& answer = AnswerFor(*how.failure);
  ending.set_http_status(answer.http_status);
  ending.mutable_error()->set_kind(std::string{answer.name});
  ending.mutable_error()->set_detail(how.detail);
  if (answer.retryable) ending.mutable_error()->set_retry_after_ms(kAskAgainMs);
  return event;
}

}  // namespace rosearch
