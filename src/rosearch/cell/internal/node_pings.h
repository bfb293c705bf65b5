#ifndef ROSEARCH_CELL_INTERNAL_NODE_PINGS_H_
#define ROSEARCH_CELL_INTERNAL_NODE_PINGS_H_

// Pings to the leader and distribution of the member list. Included by node.h.

#include "rosearch/cell/node.h"

namespace rosearch::cell {

template <typename Ports>
wire::peer_frame node<Ports>::MakePing() const {
  wire::peer_frame frame;
  frame.set_epoch(election_.KnownLeader().epoch);
  *frame.mutable_ping()->mutable_member() = Self();
  frame.mutable_ping()->set_members_version(members_version_);
  frame.mutable_ping()->set_interval_ms(Millis(OwnPingInterval()));
  // A process that hasn't read the claims since its start may have followed a newer leader before.
  if (claims_read_at_ != time_point{}) {
    frame.mutable_ping()->set_heard_stamp(leader_stamp_);
    frame.mutable_ping()->set_claims_stamp(claims_stamp_);
    frame.mutable_ping()->set_claims_waited_ms(Millis(claims_waited_));
  }
  return frame;
}

template <typename Ports>
void node<Ports>::Ping() {
  const auto now = SteadyNow();
  if (election_.LeaderReachable(now)) {
    peers_.SendPollingRequest(
        election_.KnownLeader().address, MakePing(), now + kPingTimeout,
        [this, now](const wire::peer_frame* answer) { OnPingAnswered(now, answer); });
    return;
  }
  const auto epoch = election_.KnownLeader().epoch;
  if (std::exchange(first_ping_epoch_, epoch) != epoch) {
    first_pings_in_flight_ = 0;
  }
  if (first_pings_in_flight_ > 0) {
    return;
  }
  const auto targets =
      epoch > 0 ? std::vector<std::string>{election_.KnownLeader().address} : seeds_;
  first_pings_in_flight_ = targets.size();
  for (const auto& target : targets) {
    peers_.SendRequest(target, MakePing(), now + kPingTimeout,
                       [this, now, epoch](const wire::peer_frame* answer) {
                         if (epoch == first_ping_epoch_ && first_pings_in_flight_ > 0) {
                           --first_pings_in_flight_;
                         }
                         OnPingAnswered(now, answer);
                       });
  }
}

template <typename Ports>
void node<Ports>::OnPingAnswered(time_point asked_at, const wire::peer_frame* answer) {
  if (answer == nullptr) {
    return;
  }
  metrics_.Observe("rosearch_peer_round_trip_seconds", SteadyNow() - asked_at);
  OnPong(*answer);
}

template <typename Ports>
void node<Ports>::OnPong(const wire::peer_frame& frame) {
  const auto& pong = frame.pong();
  const auto now = SteadyNow();
  if (IsLeading() || frame.epoch() != election_.KnownLeader().epoch) {
    return;
  }
  if (!pong.leading() || pong.resigning()) {
    if (frame.from() == election_.KnownLeader().address) {
      election_.OnLeaderLeaving(frame.epoch());
    }
    return;
  }
  election_.OnLeaderAnswer(frame.epoch(), now);
  last_leader_answer_at_ = now;
  leader_stamp_ = std::max(leader_stamp_, pong.stamp());
  if (pong.serving()) {
    former_leaders_.OnFenced(frame.epoch(), now);
  }
  if (pong.members_size() > 0) {
    members_.clear();
    for (const auto& each : pong.members()) {
      if (each.address() != peers_.address()) {
        members_[each.address()] = {each, now};
      }
    }
    members_version_ = pong.members_version();
    UpdateCandidacy();
  }
  if (pong.config_version() > 0) {
    limits_known_ = true;
    limits_.max_header_bytes = pong.max_header_bytes();
    limits_.max_body_bytes = pong.max_body_bytes();
    limits_.header_timeout = std::chrono::milliseconds{pong.header_timeout_ms()};
    limits_.idle_timeout = std::chrono::milliseconds{pong.idle_timeout_ms()};
  }
}

template <typename Ports>
void node<Ports>::UpdateCandidacy() {
  const auto large =
      MembersWhere([](const std::string&, const member& each) { return !IsSmall(each.facts); });
  const bool preferred =
      !IsSmall() && IsHighestRanked(peers_.address(), large, "candidate", kMaxCandidates);
  election_.SetReserve(!preferred);
}

template <typename Ports>
wire::peer_frame node<Ports>::MakePong() const {
  wire::peer_frame frame;
  frame.set_epoch(election_.KnownLeader().epoch);
  auto& pong = *frame.mutable_pong();
  pong.set_stamp(StampOf(SteadyNow()));
  pong.set_serving(leader_->Serving());
  pong.set_leading(leader_->Serving() || !stopping_);
  pong.set_resigning(stopping_);
  const auto& configuration = leader_->configuration();
  pong.set_config_version(configuration.version);
  pong.set_max_header_bytes(configuration.limits.max_header_bytes);
  pong.set_max_body_bytes(configuration.limits.max_body_bytes);
  pong.set_header_timeout_ms(Millis(configuration.limits.header_timeout));
  pong.set_idle_timeout_ms(Millis(configuration.limits.idle_timeout));
  return frame;
}

template <typename Ports>
wire::peer_frame node<Ports>::MakePongWithMembers() const {
  auto frame = MakePong();
  auto& pong = *frame.mutable_pong();
  pong.set_members_version(members_version_);
  *pong.add_members() = Self();
  for (const auto& [address, each] : members_) {
    *pong.add_members() = each.facts;
  }
  return frame;
}

// An overloaded leader would answer pings late and be declared dead, and its successor would have
// even more work, as it first has to read all workers. The reply is therefore prepared here and
// sent by the transport's thread, so that it doesn't queue behind the event loop's work.
template <typename Ports>
void node<Ports>::PublishPingReply() {
  if (leader_->epoch() != election_.KnownLeader().epoch) {
    return;
  }
  const auto now = SteadyNow();
  const bool due = published_members_ == 0 || now - published_at_ >= kMemberListInterval;
  if (published_members_ != members_version_ && due) {
    published_members_ = members_version_;
    published_at_ = now;
    const auto members = MakePongWithMembers();
    peers_.SetPingMembers(&members);
  }
  peers_.SetPingReply(std::make_unique<wire::peer_frame>(MakePong()), now + kPingReplyValidity);
}

template <typename Ports>
void node<Ports>::RecordVote(const wire::peer_frame& frame) {
  const auto& ping = frame.ping();
  const bool follows = frame.epoch() == leader_->epoch();
  leader_->OnPeerPing(ping.member().address(), follows ? TimeOf(ping.heard_stamp()) : time_point{});
  if (!follows) {
    return;
  }
  if (ping.claims_stamp() > 0) {
    leader_->OnNoNewerClaim(TimeOf(ping.claims_stamp()) +
                            std::chrono::milliseconds{ping.claims_waited_ms()});
  }
  RecordFollower(ping.member().address());
}

template <typename Ports>
void node<Ports>::AnswerPing(const wire::peer_frame& frame) {
  const auto& ping = frame.ping();
  if (!IsLeading()) {
    wire::peer_frame answer;
    answer.set_epoch(election_.KnownLeader().epoch);
    answer.mutable_pong()->set_leading(false);
    peers_.Answer(frame, std::move(answer));
    return;
  }
  const auto [known, inserted] = members_.try_emplace(ping.member().address());
  if (!known->second.has_pinged) {
    settling_.OnJoin(SteadyNow());
  }
  known->second = {ping.member(), SteadyNow(), true, std::chrono::milliseconds{ping.interval_ms()}};
  members_version_ += inserted ? 1 : 0;
  RecordVote(frame);
  if (!peers_.CanReplyTo(frame)) {
    peers_.Answer(frame, MakePongWithMembers());
  }
}

}  // namespace rosearch::cell

#endif  // ROSEARCH_CELL_INTERNAL_NODE_PINGS_H_
