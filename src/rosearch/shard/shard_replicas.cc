#include <glog/logging.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

#include "rosearch/shard/shard.h"

namespace rosearch {
namespace {

/// The log has this long to take what it lacks before a holder without a witness asks a standby.
constexpr duration kLogCatchUp = std::chrono::milliseconds{500};

/// A state that is passed on is sent again after this without an acknowledgement.
constexpr duration kPassOnAgain = std::chrono::milliseconds{300};

}  // namespace

// Copies of a shard's state that give no right to act. Whatever a holder tells or acts on is with
// another entry or on the log; a claimant asks both.

void shard::SetPeers(shard_peers peers) {
  peers_ = std::move(peers);
  search_.SetSources(peers_.sources);
}

std::optional<shard::own_replica> shard::NewestOwn() const {
  std::optional<own_replica> newest;
  if (replica_.whole()) {
    newest = {replica_.version(), &replica_.state()};
  }
  if (journal_.epoch() != 0 && (!newest || journal_.version() > newest->version)) {
    newest = {journal_.version(), &journal_.state()};
  }
  return newest;
}

bool shard::IsStaying(const std::optional<party>& who) const {
  return who && std::ranges::find(peers_.standbys, *who) != peers_.standbys.end();
}

bool shard::HasPartner(const replica_version& version) const {
  return partner_version_ >= version && IsStaying(partner_);
}

void shard::SetPartner(const party& who, const replica_version& version) {
  partner_ = who;
  partner_version_ = version;
}

/// The sender of records has them itself, but may have less than this entry.
void shard::NotePartner(const party& from, const wire::replicate& message) {
  const auto count = static_cast<std::uint64_t>(message.records_size());
  const replica_version theirs{TermOf(message), message.first_sequence() + count - 1};
  const auto own = NewestOwn();
  if (own && theirs >= own->version) {
    SetPartner(from, theirs);
  }
}

// A holder without a witness.

bool shard::IsKeptElsewhere() const {
  return !journal_.LogLacksTold() || (journal_.WitnessHasTold() && IsStaying(rights_.witness())) ||
         (journal_.StandbyHasTold() && IsStaying(standby_.current()));
}

bool shard::IsAlone(time_point now) const {
  return Serving(now) && !(rights_.WitnessActive() && IsStaying(rights_.witness()));
}

bool shard::NeedsStandby(time_point now) const {
  if (!IsAlone(now)) {
    return false;
  }
  return !log_up_ || (journal_.LogLacksTold() && now - alone_since_ >= kLogCatchUp);
}

void shard::ReplicateToStandby(const step_time& at, shard_output& out) {
  alone_since_ = IsAlone(at.now) ? std::min(alone_since_, at.now) : kNever;
  if (!NeedsStandby(at.now)) {
    if (journal_.HasStandby()) {
      journal_.StopStandby();
      standby_.Reset();
    }
    return;
  }
  const bool is_new = standby_.Choose(peers_.standbys, !journal_.StandbyHasAll(), at.now);
  if (!standby_.current()) {
    journal_.StopStandby();
    return;
  }
  if (is_new || !journal_.HasStandby()) {
    LOG(INFO) << "event=standby_chosen shard=" << number_ << " epoch=" << rights_.act_epoch()
              << " standby=" << *standby_.current() << " told=" << journal_.delivered()
              << " secured=" << journal_.secured() << " log_up=" << log_up_;
    journal_.StartStandby(at.now);
  }
  SendToStandby(journal_.TakeForStandby(at.now), out);
}

void shard::SendToStandby(std::vector<wire::replicate> messages, shard_output& out) const {
  for (auto& records : messages) {
    wire::peer_message message;
    *message.mutable_records() = std::move(records);
    out.peers.push_back({*standby_.current(), std::move(message)});
  }
}

void shard::OnStandbyReplicate(const party& from, const wire::replicate& message,
                               shard_output& out) {
  wire::peer_message answer;
  auto& ack = *answer.mutable_acked();
  if (Holds() && journal_.term() > TermOf(message)) {
    ack.set_shard(number_);
    SetTerm(TermOf(message), ack);
    ack.set_standby(true);
    ack.set_superseded(true);
  } else {
    ack = replica_.OnReplicate(message);
    NotePartner(from, message);
  }
  out.peers.push_back({from, std::move(answer)});
}

void shard::OnStandbyAck(const party& from, const wire::replicate_ack& ack, const step_time& at) {
  if (standby_.current() != from) {
    return;
  }
  if (phase_ == phase::kServing) {
    journal_.OnStandbyAck(ack, at.now);
    if (journal_.StandbyHasAll()) {
      SetPartner(from, journal_.version());
    }
    return;
  }
  const auto own = NewestOwn();
  if (!own || HasPartner(own->version)) {
    return;
  }
  const replica_version theirs{TermOf(ack), ack.last_sequence()};
  if (ack.superseded() || (!ack.send_snapshot() && theirs >= own->version)) {
    LOG(INFO) << "event=replica_passed_on shard=" << number_ << " to=" << from
              << " epoch=" << own->version.term.epoch << " sequence=" << own->version.sequence
              << " superseded=" << ack.superseded();
    SetPartner(from, own->version);
  }
}

// A shard that nobody serves.

bool shard::OwesCopy() const {
  const bool holds = phase_ == phase::kServing || phase_ == phase::kReading;
  if (holds || peers_.served_elsewhere) {
    return false;
  }
  const auto own = NewestOwn();
  if (!own || own->version.term < replicated_term_ || HasPartner(own->version)) {
    return false;
  }
  const bool is_told = own->version == journal_.version() && journal_.LogLacksTold();
  return is_told || !peers_.standbys.empty();
}

void shard::PassOn(const step_time& at, shard_output& out) {
  if (phase_ == phase::kServing) {
    return;
  }
  // A holder that has just activated its witness is back in a moment.
  const bool is_activating = phase_ == phase::kPaused && IsStaying(rights_.witness());
  if (is_activating || !OwesCopy()) {
    standby_.Reset();
    return;
  }
  if (standby_.Choose(peers_.standbys, true, at.now)) {
    pass_on_at_ = at.now;
  }
  if (!standby_.current() || at.now < pass_on_at_) {
    return;
  }
  pass_on_at_ = at.now + kPassOnAgain;
  const auto own = *NewestOwn();
  wire::replicate message;
  message.set_shard(number_);
  SetTerm(own.version.term, message);
  message.set_standby(true);
  message.set_first_sequence(own.version.sequence);
  *message.add_records() = SnapshotRecord(number_, own.version, *own.state);
  SendToStandby({std::move(message)}, out);
}

// A claimant.

void shard::Search(const step_time& at, shard_output& out) {
  if (phase_ != phase::kReading) {
    return;
  }
  const auto own = NewestOwn();
  for (const auto& who : search_.TakeDue(at.now)) {
    wire::peer_message message;
    auto& request = *message.mutable_find_replica();
    request.set_shard(number_);
    request.set_search(search_.number());
    if (own) {
      SetVersion(own->version, request);
    }
    out.peers.push_back({who, std::move(message)});
  }
  ServeWhenFound(at, out);
}

void shard::OnReplicaRequest(const party& from, const wire::replica_request& request,
                             shard_output& out) const {
  wire::peer_message message;
  auto& answer = *message.mutable_replica();
  answer.set_shard(number_);
  answer.set_search(request.search());
  if (const auto own = NewestOwn()) {
    SetVersion(own->version, answer);
    if (own->version > VersionOf(request)) {
      *answer.mutable_state() = own->state->Snapshot();
    }
  }
  out.peers.push_back({from, std::move(message)});
}

void shard::OnReplicaAnswer(const party& from, const wire::replica_answer& answer,
                            const step_time& at, shard_output& out) {
  if (phase_ != phase::kReading) {
    return;
  }
  search_.OnAnswer(from, answer, at.now);
  ServeWhenFound(at, out);
}

void shard::ServeWhenFound(const step_time& at, shard_output& out) {
  const auto epoch = rights_.act_epoch();
  const bool is_first = epoch == 1;
  if (phase_ != phase::kReading || !stream_read_ || (!is_first && !search_.IsDone(at.now))) {
    return;
  }
  found_replica newest{log_view_.version(), log_view_.state()};
  bool is_kept = log_view_.epoch() != 0;
  std::string source = "log";
  if (const auto own = NewestOwn(); own && own->version > newest.version) {
    newest = {own->version, *own->state};
    is_kept = HasPartner(own->version);
    source = "own";
  }
  if (const auto& found = search_.best(); found && found->version > newest.version) {
    newest = *found;
    is_kept = true;
    source = ToText(search_.best_holder());
  }
  LOG(INFO) << "event=stream_read shard=" << number_ << " epoch=" << epoch
            << " log_epoch=" << log_view_.epoch() << " log_sequence=" << log_view_.sequence()
            << " log_author=" << log_view_.author() << " copy_epoch=" << replica_.epoch()
            << " copy_sequence=" << replica_.sequence() << " own_epoch=" << journal_.epoch()
            << " own_sequence=" << journal_.sequence() << " peers_answered=" << search_.Answered()
            << " peers_missing=" << search_.Missing() << " source=" << source
            << " source_epoch=" << newest.version.term.epoch
            << " source_taken_over=" << newest.version.term.taken_over
            << " source_sequence=" << newest.version.sequence;
  const bool is_empty = log_view_.epoch() == 0 && is_first;
  journal_.Start({epoch, rights_.ActsAsWitness()}, std::move(newest.state),
                 newest.version.sequence);
  if (is_kept || is_empty) {
    journal_.OnStartKept();
  }
  Serve(is_empty, at, out);
}

}  // namespace rosearch
