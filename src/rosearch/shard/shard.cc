#include "rosearch/shard/shard.h"

#include <glog/logging.h>

#include <algorithm>
#include <boost/json/object.hpp>
#include <chrono>
#include <utility>

#include "rosearch/capacity/amounts.h"

namespace rosearch {
namespace {

/// A caller that is refused while a shard changes hands may ask again after this.
constexpr duration kComeBack = std::chrono::milliseconds{500};

std::uint32_t LeftMs(time_point until, time_point now) {
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until - now).count();
  return static_cast<std::uint32_t>(std::max<std::int64_t>(left, 0));
}

}  // namespace

shard::shard(shard_number number, region_id region, party self, const shard_settings& settings,
             std::uint64_t seed)
    : number_{number},
      region_{std::move(region)},
      settings_{settings},
      self_{std::move(self)},
      rights_{number, self_, settings.rights},
      journal_{number},
      pool_{number, settings.pool},
      jobs_{number, region_, settings.jobs, journal_, seed},
      requests_{settings.requests, journal_} {}

// ---- the right to act

void shard::OnAssignment(const assignment& next, const step_time& at, shard_output& out) {
  rights_output rights;
  rights_.OnAssignment(next, at.now, rights);
  TakeRights(rights, at, out);
}

void shard::OnLogEnd(time_point asked_at, const step_time& at, shard_output& out) {
  rights_output rights;
  rights_.OnLogEnd(asked_at, at.now, rights);
  TakeRights(rights, at, out);
}

void shard::OnListProof(time_point asked_at, const step_time& at, shard_output& out) {
  rights_output rights;
  rights_.OnListProof(asked_at, at.now, rights);
  TakeRights(rights, at, out);
}

void shard::OnPartyGone(const party& who, time_point since, time_point asked_at,
                        const step_time& at, shard_output& out) {
  rights_output rights;
  rights_.OnPartyGone(who, since, asked_at, at.now, rights);
  TakeRights(rights, at, out);
}

void shard::OnPartySeen(const party& who) { rights_.OnPartySeen(who); }

void shard::SetCandidates(std::vector<party> candidates) {
  rights_.SetCandidates(std::move(candidates));
}

void shard::BeginFirstClaim(const step_time& at, shard_output& out) {
  rights_output rights;
  rights_.BeginFirstClaim(std::nullopt, at.now, rights);
  TakeRights(rights, at, out);
}

void shard::BeginClaim(const step_time& at, shard_output& out) {
  const auto newest = rights_.newest();
  if (!newest) {
    BeginFirstClaim(at, out);
    return;
  }
  rights_output rights;
  rights_.BeginClaim(*newest, std::nullopt, at.now, rights);
  TakeRights(rights, at, out);
}

void shard::BeginClaimWith(const party& witness, const step_time& at, shard_output& out) {
  const auto newest = rights_.newest();
  if (!newest) {
    return;
  }
  rights_output rights;
  rights_.BeginClaim(*newest, witness, at.now, rights);
  TakeRights(rights, at, out);
}

void shard::OnPair(const party& from, const wire::pair_message& message, const step_time& at,
                   shard_output& out) {
  rights_output rights;
  rights_.OnMessage(from, message, at.now, rights);
  TakeRights(rights, at, out);
}

void shard::HandOver(const step_time& at, shard_output& out) {
  rights_output rights;
  rights_.HandOver(at.now, rights);
  TakeRights(rights, at, out);
}

void shard::GiveUp(const step_time& at, shard_output& out) {
  rights_output rights;
  rights_.GiveUp(at.now, rights);
  TakeRights(rights, at, out);
}

void shard::Resign(const step_time& at, shard_output& out) {
  rights_output rights;
  rights_.Resign(at.now, rights);
  TakeRights(rights, at, out);
}

void shard::TakeRights(rights_output& rights, const step_time& at, shard_output& out) {
  for (auto& envelope : rights.messages) {
    wire::peer_message message;
    *message.mutable_pair() = std::move(envelope.message);
    out.peers.push_back({envelope.to, std::move(message)});
  }
  for (const auto& claim : rights.appends) {
    out.claims.push_back(claim);
  }
  for (const auto& event : rights.events) {
    LOG(INFO) << "event=right_changed shard=" << number_ << " epoch=" << event.epoch
              << " change=" << RightChangeName(event.change);
    if (event.change == right_change::kLost) {
      Pause(at);
    } else {
      OnAcquired(event, at, out);
    }
  }
  Settle(at, out);
}

void shard::OnAcquired(const right_event& event, const step_time& at, shard_output& out) {
  if (phase_ == phase::kPaused && event.change == right_change::kActivated) {
    phase_ = phase::kServing;
    return;
  }
  if (phase_ == phase::kServing) {
    // The same holder at a later epoch, without a moment in which another could have acted.
    journal_.ContinueAt(event.epoch);
    replicating_ = false;
    return;
  }
  if (phase_ == phase::kPaused) {
    OnLost(at, out);
  }
  if (event.change == right_change::kResumed && event.epoch == journal_.epoch()) {
    Serve(true, at, out);
    return;
  }
  if (copy_.WholeAt(event.epoch)) {
    journal_.Start(event.epoch, copy_.state(), copy_.sequence());
    Serve(true, at, out);
    return;
  }
  log_view_ = shard_log_view{};
  reading_since_ = at.now;
  ++reading_;
  phase_ = phase::kReading;
}

void shard::Pause(const step_time& at) {
  if (phase_ == phase::kServing) {
    phase_ = phase::kPaused;
    paused_until_ = at.now + settings_.rights.right_length;
  } else {
    phase_ = phase::kIdle;
  }
}

void shard::OnLost(const step_time& at, shard_output& out) {
  phase_ = phase::kIdle;
  replicating_ = false;
  journal_.StopReplication();
  pool_.OnLost(at.now);
  executors_.Drop(at.now);
  requests_.Drop(out);
  jobs_.Drop(out);
}

void shard::OnStreamBatch(const std::string& author, const wire::shard_batch& batch) {
  if (phase_ == phase::kReading && batch.shard() == number_) {
    log_view_.OnBatch(author, batch);
  }
}

void shard::OnStreamEnd(time_point asked_at, const step_time& at, shard_output& out) {
  if (phase_ != phase::kReading || asked_at < reading_since_) {
    return;
  }
  // What this process holds itself goes before the log where it is newer: it was the witness, or
  // the owner, of the last epoch that wrote.
  const auto epoch = rights_.act_epoch();
  const bool first_ever = log_view_.epoch() == 0 && epoch == 1;
  shard_state state = log_view_.state();
  auto sequence = log_view_.sequence();
  const auto older = std::pair{log_view_.epoch(), log_view_.sequence()};
  if (std::pair{copy_.epoch(), copy_.sequence()} > older && copy_.WholeAt(copy_.epoch())) {
    state = copy_.state();
    sequence = copy_.sequence();
  }
  LOG(INFO) << "event=stream_read shard=" << number_ << " epoch=" << epoch
            << " log_epoch=" << log_view_.epoch() << " log_sequence=" << log_view_.sequence()
            << " log_author=" << log_view_.author() << " copy_epoch=" << copy_.epoch()
            << " copy_sequence=" << copy_.sequence() << " own_epoch=" << journal_.epoch()
            << " own_sequence=" << journal_.sequence();
  const bool wrote_last = log_view_.author() == ToText(self_) || log_view_.author().empty();
  if (wrote_last && std::pair{journal_.epoch(), journal_.sequence()} > older) {
    state = journal_.state();
    sequence = journal_.sequence();
  }
  journal_.Start(epoch, std::move(state), sequence);
  Serve(first_ever, at, out);
}

void shard::Serve(bool complete, const step_time& at, shard_output& out) {
  phase_ = phase::kServing;
  std::vector<wire::placement_made> placements;
  for (const auto& [key, placement] : journal_.state().placements()) {
    placements.push_back(placement);
  }
  LOG(INFO) << "event=shard_served shard=" << number_ << " epoch=" << rights_.act_epoch()
            << " jobs=" << journal_.state().jobs().size() << " placements=" << placements.size()
            << " complete=" << complete;
  if (!complete) {
    wire::shard_record record;
    record.mutable_recovery()->set_incomplete(true);
    record.mutable_recovery()->set_fence_ms(requests_.FenceAt(at.unix_ms));
    journal_.Propose(std::move(record));
  }
  // An owner before this one may have missed records too, and not have settled what they told.
  const bool settled = complete && !journal_.state().recovery().incomplete();
  pool_output pool;
  pool_.OnAcquired(Term(), placements, settled, at.now, pool);
  Pump(pool, at, out);
  requests_.Start();
  jobs_.Rebuild(at.now);
}

std::uint64_t shard::Term() const noexcept {
  return TermNumber(rights_.act_epoch(), rights_.role() == rights_role::kActingWitness);
}

// ---- records

std::optional<wire::shard_batch> shard::TakeForLog() {
  if (!Holds()) {
    return std::nullopt;
  }
  return journal_.TakeForLog();
}

void shard::OnLogDurable(std::uint64_t sequence, const step_time& at, shard_output& out) {
  journal_.OnLogDurable(sequence);
  Settle(at, out);
}

void shard::OnReplicate(const party& from, const wire::replicate& message, const step_time& /*at*/,
                        shard_output& out) {
  // Only the owner of the newest epoch replicates; an older one is told nothing and gives up.
  const auto owner = rights_.owner();
  if (!owner || *owner != from || message.epoch() != rights_.epoch()) {
    return;
  }
  if (rights_.role() == rights_role::kActingWitness) {
    // The owner was paused and doesn't know yet that its shard was taken over: what it writes now
    // is void.
    return;
  }
  wire::peer_message answer;
  *answer.mutable_acked() = copy_.OnReplicate(message);
  out.peers.push_back({from, std::move(answer)});
}

void shard::OnReplicateAck(const party& from, const wire::replicate_ack& ack, const step_time& at,
                           shard_output& out) {
  if (rights_.witness() != from) {
    return;
  }
  journal_.OnWitnessAck(ack, at.now);
  Settle(at, out);
}

/// Does what follows from a step until nothing more does.
void shard::Settle(const step_time& at, shard_output& out) {
  if (!Holds()) {
    return;
  }
  Replicate(at, out);
  if (!rights_.MayAct(at.now)) {
    return;
  }
  DeliverDurable(at, out);
  Dispatch(at, out);
  LoopBack(at, out);
  Replicate(at, out);
}

void shard::Replicate(const step_time& at, shard_output& out) {
  const auto witness = rights_.witness();
  const bool paired = rights_.role() == rights_role::kOwner && witness.has_value() &&
                      rights_.epoch() == rights_.act_epoch();
  if (paired && (!replicating_ || replicating_epoch_ != rights_.epoch())) {
    replicating_ = true;
    replicating_epoch_ = rights_.epoch();
    journal_.StartReplication(at.now);
  } else if (!paired && replicating_) {
    replicating_ = false;
    journal_.StopReplication();
  }
  if (!paired) {
    return;
  }
  for (auto& records : journal_.TakeForWitness(at.now)) {
    wire::peer_message message;
    *message.mutable_records() = std::move(records);
    out.peers.push_back({*witness, std::move(message)});
  }
  rights_.SetWitnessReady(journal_.WitnessInStep());
}

void shard::DeliverDurable(const step_time& at, shard_output& out) {
  const auto holder = rights_.WitnessActive() ? durable_by::kWitness
                      : log_up_               ? durable_by::kLog
                                              : durable_by::kNobody;
  for (const auto& record : journal_.TakeDurable(holder)) {
    pool_output pool;
    pool_.OnDurable(record, at.now, pool);
    Pump(pool, at, out);
    jobs_.OnDurable(record, JobContext(at), out);
    requests_.OnDurable(record);
  }
}

// ---- capacity

void shard::OnVmList(const std::vector<wire::vm_record>& vms, const step_time& at,
                     shard_output& out) {
  std::vector<wire::vm_record> workers;
  std::vector<wire::vm_record> executors;
  for (const auto& vm : vms) {
    if (vm.kind() == wire::VM_WORKER) {
      workers.push_back(vm);
    } else if (vm.kind() == wire::VM_EXECUTOR) {
      executors.push_back(vm);
    }
  }
  pool_output pool;
  pool_.OnVmList(workers, at.now, pool);
  Pump(pool, at, out);
  executors_.SetExecutors(executors, at.now);
  Settle(at, out);
}

void shard::OnDrain(const vm_id& vm, bool leaving, const step_time& at, shard_output& out) {
  pool_output pool;
  pool_.OnDrain(vm, leaving, at.now, pool);
  Pump(pool, at, out);
  executors_.SetDrained(vm, leaving, at.now);
  Settle(at, out);
}

void shard::OnWorkerReport(const vm_id& vm, const wire::worker_report& report, time_point sent_at,
                           const step_time& at, shard_output& out) {
  pool_output pool;
  pool_.OnReport(vm, report, sent_at, at.now, pool);
  Pump(pool, at, out);
  Settle(at, out);
}

void shard::OnWorkerFailed(const vm_id& vm, const error& failure, time_point sent_at,
                           const step_time& at, shard_output& out) {
  pool_output pool;
  pool_.OnExchangeFailed(vm, failure, sent_at, at.now, pool);
  Pump(pool, at, out);
  Settle(at, out);
}

void shard::Pump(pool_output& pool, const step_time& at, shard_output& out) {
  for (auto& record : pool.records) {
    journal_.Propose(std::move(record));
  }
  for (auto& message : pool.messages) {
    out.capacity.push_back(std::move(message));
  }
  const auto valid_until = rights_.ActDeadline();
  for (auto& exchange : pool.exchanges) {
    out.workers.push_back(
        {exchange.vm, std::move(exchange.address), std::move(exchange.command), valid_until});
  }
  pool = {};
  (void)at;
}

void shard::OnCapacity(const wire::capacity_message& message, const step_time& at,
                       shard_output& out) {
  if (!Serving(at.now) || message.to_shard() != number_) {
    return;
  }
  auto& newest = newest_terms_[message.from_shard()];
  newest = std::max(newest, cell_.TermOf(message.from_shard()));
  if (message.from_epoch() < newest) {
    // From an owner that has been replaced since: its word on an attempt may be out of date.
    return;
  }
  newest = message.from_epoch();
  TakeCapacity(message, at, out);
  Settle(at, out);
}

void shard::TakeCapacity(const wire::capacity_message& message, const step_time& at,
                         shard_output& out) {
  if (message.has_event()) {
    jobs_.OnEvent(message.from_shard(), message.event(), JobContext(at), out);
    return;
  }
  pool_output pool;
  pool_.OnMessage(message, at.now, pool);
  Pump(pool, at, out);
}

/// Messages of this shard to itself need no transport; every message gets the sender's term.
void shard::LoopBack(const step_time& at, shard_output& out) {
  std::vector<wire::capacity_message> outward;
  while (!out.capacity.empty()) {
    auto batch = std::exchange(out.capacity, {});
    for (auto& message : batch) {
      message.set_from_shard(number_);
      message.set_from_epoch(Term());
      if (message.to_shard() == number_) {
        TakeCapacity(message, at, out);
        DeliverDurable(at, out);
      } else {
        outward.push_back(std::move(message));
      }
    }
  }
  out.capacity = std::move(outward);
}

// ---- callers

bool shard::CanAccept(time_point now) const {
  return Serving(now) && (rights_.WitnessActive() || log_up_);
}

/// An entry that has just started takes a job before it has read the VM list. Accepted here too, a
/// job that fits no worker would wait for ever.
bool shard::NeverFits(const wire::job_spec& spec) const {
  const auto needs = internal::FromWire(spec.needs());
  const bool is_known = state().FindJob({spec.customer(), spec.job()}) != nullptr;
  return !is_known && !worker_sizes_.empty() &&
         std::ranges::none_of(worker_sizes_,
                              [&](const resources& size) { return needs.FitsIn(size); });
}

void shard::Refuse(const call_origin& from, const error& why, shard_output& out) const {
  wire::call_answer answer;
  *answer.mutable_error() = ToWire(why);
  out.answers.push_back({from, std::move(answer)});
}

bool shard::Knows(const wire::job_spec& spec) const {
  return journal_.state().FindJob({spec.customer(), spec.job()}) != nullptr;
}

void shard::OnCall(const call_origin& from, const wire::call& call, const step_time& at,
                   shard_output& out) {
  if (!Serving(at.now) || draining_) {
    Refuse(from, {error_kind::kNoOwner, "this entry doesn't serve the shard", kComeBack}, out);
    return;
  }
  const auto deadline = at.now + std::chrono::milliseconds{call.left_ms()};
  const bool durable = CanAccept(at.now);
  switch (call.body_case()) {
    case wire::call::kRequest:
      requests_.OnRequest(from, call.request(), deadline, at.unix_ms, durable, out);
      break;
    case wire::call::kSubmit:
      if (!Knows(call.submit().job().spec()) && NeverFits(call.submit().job().spec())) {
        Refuse(from, {error_kind::kNeverFits, "larger than every worker that is listed", {}}, out);
        return;
      }
      jobs_.OnSubmit(from, call.submit().job(), durable, JobContext(at), out);
      break;
    case wire::call::kStatus:
      jobs_.OnStatus(from, {call.status().customer(), call.status().job()}, out);
      break;
    case wire::call::kCancel:
      if (!durable) {
        Refuse(from, NoSecondCopy(), out);
        return;
      }
      jobs_.OnCancel(from, {call.cancel().customer(), call.cancel().job()}, JobContext(at), out);
      break;
    case wire::call::BODY_NOT_SET:
      Refuse(from, {error_kind::kInvalidRequest, "an empty call", std::nullopt}, out);
      return;
  }
  Settle(at, out);
}

void shard::Dispatch(const step_time& at, shard_output& out) {
  for (const auto ticket : requests_.TakeReady()) {
    executors_.Submit(ticket, *requests_.Find(ticket), at.now);
  }
  auto actions = executors_.Take();
  for (const auto& send : actions.sends) {
    const auto* const open = requests_.Find(send.ticket);
    if (open == nullptr) {
      continue;
    }
    requests_.OnSent(send.ticket);
    out.executors.push_back({send.ticket, send.attempt, send.vm, send.address, open->call,
                             std::min(send.valid_until, rights_.ActDeadline()), open->deadline});
  }
  for (const auto& send : actions.delegations) {
    const auto* const open = requests_.Find(send.ticket);
    if (open != nullptr) {
      requests_.OnSent(send.ticket);
      out.delegated.push_back({send.ticket, send.attempt, open->call, open->deadline});
    }
  }
  for (const auto& failure : actions.failures) {
    wire::call_answer answer;
    *answer.mutable_error() = ToWire(failure.why);
    requests_.Finish(failure.ticket, answer, out);
  }
}

void shard::OnExecutorAnswer(std::uint64_t ticket, std::uint32_t attempt,
                             const result<wire::call_answer>& answer, const step_time& at,
                             shard_output& out) {
  if (answer.has_value()) {
    const auto status = answer.value().http_status();
    if (executors_.OnAnswered(ticket, attempt, status, at.now)) {
      requests_.Finish(ticket, answer.value(), out);
    }
  } else {
    executors_.OnFailed(ticket, attempt, answer.error(), at.now);
  }
  Settle(at, out);
}

void shard::OnDelegated(std::uint64_t ticket, const wire::call_answer& answer, const step_time& at,
                        shard_output& out) {
  requests_.Finish(ticket, answer, out);
  Settle(at, out);
}

// ---- what is known of others

void shard::OnSummary(const wire::shard_summary& summary, const region_id& region,
                      const step_time& at) {
  if (cell_.OnSummary(summary, region) && phase_ == phase::kServing) {
    jobs_.OnTermOf(summary.shard(), at.now);
  }
}

void shard::OnUsage(const entry_id& entry, const std::vector<wire::customer_usage>& usage) {
  cell_.OnUsage(entry, usage);
}

void shard::OnEntryGone(const entry_id& entry) { cell_.ForgetEntry(entry); }

void shard::SetQuotas(std::map<std::string, resources> quotas) {
  cell_.SetQuotas(std::move(quotas));
}

void shard::SetWeights(std::map<std::string, std::uint32_t> weights) {
  executors_.SetWeights(std::move(weights));
}

std::optional<wire::shard_summary> shard::Summary(time_point now) const {
  if (!Serving(now)) {
    return std::nullopt;
  }
  wire::shard_summary summary;
  summary.set_shard(number_);
  summary.set_epoch(rights_.act_epoch());
  summary.set_taken_over(rights_.role() == rights_role::kActingWitness);
  if (!draining_) {
    *summary.mutable_largest_room() = pool_.LargestRoom();
    *summary.mutable_total_room() = pool_.TotalRoom();
    summary.set_free_slots(executors_.FreeSlots());
    for (const auto& service : executors_.Services()) {
      summary.add_services(service);
    }
  }
  summary.set_queued(static_cast<std::uint32_t>(jobs_.Waiting() + requests_.size()));
  return summary;
}

void shard::Tick(const step_time& at, shard_output& out) {
  rights_output rights;
  rights_.Tick(at.now, rights);
  TakeRights(rights, at, out);
  if (phase_ == phase::kPaused && at.now >= paused_until_) {
    OnLost(at, out);
  }
  if (!Serving(at.now)) {
    return;
  }
  pool_output pool;
  pool_.Tick(at.now, pool);
  Pump(pool, at, out);
  if (journal_.state().recovery().incomplete() && pool_.complete()) {
    wire::shard_record record;
    *record.mutable_recovery() = journal_.state().recovery();
    record.mutable_recovery()->set_incomplete(false);
    journal_.Propose(std::move(record));
  }
  if (const auto summary = Summary(at.now)) {
    (void)cell_.OnSummary(*summary, region_);
  }
  jobs_.Tick(JobContext(at), out);
  requests_.Tick(at.unix_ms);
  executors_.Tick(at.now);
  Settle(at, out);
}

boost::json::value shard::Dump(time_point now) const {
  boost::json::object dump;
  dump["shard"] = number_;
  dump["region"] = region_.value();
  dump["serving"] = Serving(now);
  dump["right_left_ms"] = LeftMs(std::max(rights_.ActDeadline(), now), now);
  dump["rights"] = rights_.Dump();
  dump["sequence"] = journal_.sequence();
  dump["witness_in_step"] = journal_.WitnessInStep();
  dump["jobs"] = journal_.state().jobs().size();
  dump["tasks_waiting"] = jobs_.Waiting();
  dump["placements"] = journal_.state().placements().size();
  dump["requests_open"] = requests_.size();
  dump["requests_remembered"] = journal_.state().requests().size();
  dump["executors"] = executors_.Dump();
  if (Serving(now)) {
    dump["vms"] = pool_.Dump(now);
  }
  return dump;
}

}  // namespace rosearch
