#include "rosearch/shard/shard.h"

#include <glog/logging.h>

#include <algorithm>
#include <boost/json/object.hpp>
#include <chrono>
#include <utility>

#include "rosearch/capacity/amounts.h"

namespace rosearch {
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

// The right to act, and the records.

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

// Records that follow a witness's resignation don't reach it, so its copy would not be whole.
bool shard::CanTransfer(time_point now) const {
  const bool has_witness = rights_.witness() && rights_.WitnessActive();
  return log_up_ && has_witness && !rights_.IsReleasingWitness(now);
}

bool shard::BeginTransfer(const party& next_witness, const step_time& at, shard_output& out) {
  if (!CanTransfer(at.now)) {
    return false;
  }
  rights_output rights;
  const bool begun = rights_.BeginTransferTo(*rights_.witness(), next_witness, at.now, rights);
  TakeRights(rights, at, out);
  return begun;
}

void shard::Resign(const step_time& at, shard_output& out) {
  rights_output rights;
  rights_.Resign(at.now, rights);
  TakeRights(rights, at, out);
}

void shard::Leave(bool alone, const step_time& at, shard_output& out) {
  const auto role = rights_.role();
  if (role == rights_role::kWitness) {
    Resign(at, out);
    return;
  }
  if (role == rights_role::kNone) {
    return;
  }
  BeginDrain();
  const bool paired = WitnessHasAll() && rights_.WitnessActive();
  // What only this process has would be lost with it, and a caller may have been told of it.
  const bool is_kept = IsKeptElsewhere() || !Serving(at.now);
  if (requests_.size() == 0 && (paired || (alone && is_kept))) {
    HandOver(at, out);
  }
}

bool shard::HasLeft() const {
  return requests_.size() == 0 && rights_.ActDeadline() == time_point::min() && !OwesCopy();
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
  for (const auto& ruling : rights.rulings) {
    LOG(INFO) << "event=right_ruled shard=" << number_ << " epoch=" << ruling.epoch
              << " ruling=" << wire::ruling_Name(ruling.ruling)
              << " as_arbiter=" << ruling.as_arbiter;
  }
  for (const auto& event : rights.events) {
    LOG(INFO) << "event=right_changed shard=" << number_ << " epoch=" << event.epoch
              << " change=" << RightChangeName(event.change)
              << " copied_epoch=" << event.copied_epoch;
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
  if (replica_.WholeAt(event.epoch) ||
      (event.copied_epoch != 0 && replica_.WholeAt(event.copied_epoch))) {
    const bool is_kept = HasPartner(replica_.version());
    journal_.Start({event.epoch, rights_.ActsAsWitness()}, replica_.state(), replica_.sequence());
    if (is_kept) {
      journal_.OnStartKept();
    }
    Serve(true, at, out);
    return;
  }
  log_view_ = shard_log_view{};
  reading_since_ = at.now;
  stream_read_ = false;
  search_.Start(++reading_, at.now);
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
  journal_.StopStandby();
  standby_.Reset();
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
  stream_read_ = true;
  ServeWhenFound(at, out);
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

std::uint64_t shard::Term() const noexcept { return TermNumber(journal_.term()); }

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
  if (message.standby()) {
    OnStandbyReplicate(from, message, out);
    return;
  }
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
  *answer.mutable_acked() = replica_.OnReplicate(message);
  NotePartner(from, message);
  out.peers.push_back({from, std::move(answer)});
}

void shard::OnReplicateAck(const party& from, const wire::replicate_ack& ack, const step_time& at,
                           shard_output& out) {
  if (ack.standby()) {
    OnStandbyAck(from, ack, at);
    Settle(at, out);
    return;
  }
  if (rights_.witness() != from) {
    return;
  }
  journal_.OnWitnessAck(ack, at.now);
  if (journal_.WitnessHasAll()) {
    SetPartner(from, journal_.version());
  }
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
  ReplicateToStandby(at, out);
  if (!paired) {
    return;
  }
  for (auto& records : journal_.TakeForWitness(at.now)) {
    wire::peer_message message;
    *message.mutable_records() = std::move(records);
    out.peers.push_back({*witness, std::move(message)});
  }
  rights_.SetWitnessReady(journal_.WitnessHasTold());
}

void shard::DeliverDurable(const step_time& at, shard_output& out) {
  const auto holder = DurableBy();
  if (std::exchange(kept_by_, holder) != holder) {
    LOG(INFO) << "event=records_kept_by shard=" << number_ << " epoch=" << rights_.act_epoch()
              << " by=" << DurableByName(holder) << " told=" << journal_.delivered()
              << " secured=" << journal_.secured() << " newest=" << journal_.sequence();
  }
  for (const auto& record : journal_.TakeDurable(holder)) {
    pool_output pool;
    pool_.OnDurable(record, at.now, pool);
    Pump(pool, at, out);
    jobs_.OnDurable(record, JobContext(at), out);
    requests_.OnDurable(record);
  }
  jobs_.SendSecuredAnswers(out);
}

durable_by shard::DurableBy() const {
  if (rights_.WitnessActive()) {
    return durable_by::kWitness;
  }
  if (journal_.HasStandby()) {
    return durable_by::kStandby;
  }
  if (log_up_) {
    return durable_by::kLog;
  }
  return peers_.standbys.empty() ? durable_by::kNobody : durable_by::kStandby;
}

}  // namespace rosearch
