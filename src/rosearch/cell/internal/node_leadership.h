#ifndef ROSEARCH_CELL_INTERNAL_NODE_LEADERSHIP_H_
#define ROSEARCH_CELL_INTERNAL_NODE_LEADERSHIP_H_

// Leader discovery, claims of leadership and handover. Included by node.h.

#include "rosearch/cell/node.h"

namespace rosearch::cell {

template <typename Ports>
void node<Ports>::Tick() {
  const auto now = SteadyNow();
  if (next_tick_at_ != time_point{}) {
    election_.OnTimerDelay(now - next_tick_at_, now);
  }
  if (!IsLeading() && now - pinged_at_ >= PingInterval(settings_.processor_milli)) {
    pinged_at_ = now;
    Ping();
  }
  if (IsLeading()) {
    if (leader_->Serving()) {
      last_leader_answer_at_ = now;
      limits_ = leader_->configuration().limits;
      limits_known_ = leader_->configuration().version > 0;
    }
    election_.OnLeaderAnswer(leader_->epoch(), now);
    if (!stopping_) {
      AnnounceLeadership();
      PublishPingReply();
      OfferLeadership();
    }
  } else if (!stopping_ && election_.ShouldAskPeers(now)) {
    ClaimIfNoLeader();
  }
  UpdatePeers();
  ScheduleTick(!IsLeading() && election_.ShouldAskPeers(now) ? kSuspectTickInterval
                                                             : kTickInterval);
}

template <typename Ports>
void node<Ports>::ScheduleTick(duration delay) {
  next_tick_at_ = SteadyNow() + delay;
  tick_timer_.expires_after(delay);
  tick_timer_.async_wait([this](const boost::system::error_code& failed) {
    if (!failed) {
      Tick();
    }
  });
}

template <typename Ports>
void node<Ports>::OnConnectionBroken(const std::string& peer) {
  if (IsLeading() || stopping_ || peer != election_.KnownLeader().address) {
    return;
  }
  log_.Write(event_line{"leader_connection_broken", event_weight::kStateChange}
                 .Add("epoch", election_.KnownLeader().epoch)
                 .Add("leader", peer)
                 .Add("heard_ms_ago", SteadyNow() - election_.LastAnswerAt()));
  election_.OnConnectionBroken(SteadyNow());
  pinged_at_ = time_point{};
  ProbeLeader();
  Tick();
}

/// Connects to the leader's address to check whether anything listens there. If the leader's
/// process was killed or its machine has just restarted, the connection is refused. Unlike missing
/// answers, this proves that the leader is gone, so the takeover starts without waiting for a
/// timeout.
template <typename Ports>
void node<Ports>::ProbeLeader() {
  const auto epoch = election_.KnownLeader().epoch;
  const auto endpoint = ParseAddress(election_.KnownLeader().address);
  if (!endpoint) {
    return;
  }
  auto socket = std::make_shared<boost::asio::ip::tcp::socket>(io_);
  auto timer = std::make_shared<boost::asio::steady_timer>(io_, kProbeTimeout);
  timer->async_wait([socket, timer](const boost::system::error_code&) {
    boost::system::error_code ignored;
    socket->close(ignored);
  });
  socket->async_connect(
      *endpoint, [this, epoch, socket, timer](const boost::system::error_code& failed) {
        timer->cancel();
        const bool refused = failed == boost::asio::error::connection_refused;
        if (!refused || IsLeading() || stopping_ || epoch != election_.KnownLeader().epoch) {
          return;
        }
        log_.Write(event_line{"leader_gone", event_weight::kStateChange}
                       .Add("epoch", epoch)
                       .Add("leader", election_.KnownLeader().address)
                       .Add("cause", "connection_refused"));
        election_.OnLeaderLeaving(epoch);
        Tick();
      });
}

template <typename Ports>
void node<Ports>::ClaimIfNoLeader() {
  const auto now = SteadyNow();
  if (!election_.Leaving()) {
    QueryPeers();
  }
  // Claims that are pending while the store is unavailable are applied in any order once it is
  // back. Small processes therefore don't claim then: one could win a cell that needs more than its
  // processor.
  const bool small = settings_.processor_milli < kLargeProcess;
  if (small && now - claims_read_at_ >= kMaxClaimsReadAge) {
    return;
  }
  // A peer that reaches the leader was reported to the election when its answer arrived, so here it
  // only matters that the query has completed.
  const bool peers_agree =
      election_.Leaving() || now - completed_peer_query_at_ < kMaxPeerAnswerAge;
  if (election_.ShouldClaim(now) && peers_agree) {
    ClaimLeadership();
  }
}

template <typename Ports>
std::vector<std::string> node<Ports>::Relays() const {
  const auto wanted = IsLeading() ? RelayCount(leader_->Workers()) : 0;
  if (wanted == 0 || !settings_.leading.scheduler.Uses(sched::mechanism::kRelays)) {
    return {};
  }
  return HighestRanked(LargeMembers(), {}, wanted);
}

template <typename Ports>
std::vector<std::string> node<Ports>::LargeMembers() const {
  std::vector<std::string> large;
  for (const auto& [address, each] : members_) {
    if (each.has_pinged && each.facts.processor_milli() >= kLargeProcess) {
      large.push_back(address);
    }
  }
  return large;
}

// Handles the loss of most processes at once, including the leader. The new leader would otherwise
// choose dead processes as relays and, when none of them answers, open a connection of its own to
// each of thousands of workers.
template <typename Ports>
duration node<Ports>::WatchDelay() const {
  const auto& scheduler = settings_.leading.scheduler;
  const bool relays_wanted =
      scheduler.Uses(sched::mechanism::kRelays) && RelayCount(leader_->Workers()) > 0;
  if (!relays_wanted) {
    return {};
  }
  return outside_.HasRelays() ? kRelayedWatchDelay : kUnrelayedWatchDelay;
}

template <typename Ports>
void node<Ports>::UpdatePeers() {
  const auto now = SteadyNow();
  const auto before = members_.size();
  if (IsLeading()) {
    std::erase_if(members_,
                  [&](const auto& each) { return now - each.second.seen_at >= kMemberTimeout; });
  }
  if (members_.size() != before) {
    ++members_version_;
  }
  std::vector<std::string> addresses;
  std::vector<std::string> helpers{std::string{}};
  for (const auto& [address, each] : members_) {
    addresses.push_back(address);
    if (each.has_pinged) {
      helpers.push_back(address);
    }
  }
  const auto& scheduler = settings_.leading.scheduler;
  if (!scheduler.Uses(sched::mechanism::kAlternateRoute)) {
    addresses.clear();
  }
  if (!scheduler.Uses(sched::mechanism::kAdviceByAll)) {
    helpers.resize(1);
  }
  outside_.SetPeers(addresses);
  outside_.SetRelays(Relays());
  if (IsLeading()) {
    leader_->SetHelpers(helpers);
  }
}

template <typename Ports>
void node<Ports>::NotifyPeersOfResignation(std::uint64_t epoch) {
  for (const auto& [address, each] : members_) {
    SendResignation(address, epoch);
  }
}

template <typename Ports>
void node<Ports>::SendResignation(const std::string& address, std::uint64_t epoch) {
  wire::peer_frame frame;
  frame.set_epoch(epoch);
  frame.mutable_notice()->set_resigning(true);
  peers_.SendMessage(address, std::move(frame));
}

// Handles a restart of all processes in which the small ones are back first. Without the offer, one
// of them would lead thousands of workers with a tenth of a processor, and callers would wait for
// seconds.
template <typename Ports>
void node<Ports>::OfferLeadership() {
  const auto now = SteadyNow();
  const bool small = settings_.processor_milli < kLargeProcess;
  if (!small || !leader_->Serving() || RelayCount(leader_->Workers()) == 0 ||
      now - offered_at_ < kOfferInterval) {
    return;
  }
  const auto larger = LargeMembers();
  if (larger.empty()) {
    return;
  }
  offered_at_ = now;
  log_.Write(event_line{"leadership_offered", event_weight::kStateChange}
                 .Add("epoch", leader_->epoch())
                 .Add("to", larger.size())
                 .Add("processor_milli", settings_.processor_milli)
                 .Add("workers", leader_->Workers()));
  // Only larger peers are notified; this process keeps leading until one of them has claimed.
  for (const auto& address : larger) {
    SendResignation(address, leader_->epoch());
  }
}

template <typename Ports>
void node<Ports>::AnnounceLeadership() {
  // Peers that still follow another leader, or none, learn of this leader without reading the
  // store.
  const auto now = SteadyNow();
  for (const auto& [address, each] : members_) {
    if (now - each.seen_at > PingInterval(each.facts.processor_milli()) * 2) {
      wire::peer_frame frame;
      frame.set_epoch(leader_->epoch());
      frame.mutable_notice()->set_address(peers_.address());
      peers_.SendMessage(address, std::move(frame));
    }
  }
}

template <typename Ports>
void node<Ports>::Receive(const wire::peer_frame& frame) {
  if (frame.has_ping()) {
    AnswerPing(frame);
  } else if (frame.has_relay()) {
    outside_.ServeRelayCall(frame);
  } else if (frame.has_call()) {
    AnswerCall(frame);
  } else if (frame.has_query()) {
    wire::peer_frame answer;
    answer.set_epoch(election_.KnownLeader().epoch);
    const auto now = SteadyNow();
    const bool reaches_leader = election_.HasActiveLeader(now) || IsLeading();
    const auto ago = IsLeading() ? duration{} : now - election_.LastAnswerAt();
    auto& view = *answer.mutable_view();
    view.set_heard(reaches_leader && !stopping_);
    view.set_leader(election_.KnownLeader().address);
    view.set_heard_ms_ago(reaches_leader ? Millis(ago) : 0);
    peers_.Answer(frame, std::move(answer));
  } else if (frame.has_notice()) {
    if (frame.notice().resigning()) {
      election_.OnLeaderLeaving(frame.epoch());
      if (!IsLeading() && !stopping_ && election_.Leaving()) {
        ClaimIfNoLeader();
      }
    } else {
      AdoptLeadership({frame.epoch(), frame.notice().address(), {}, 0});
    }
  }
}

template <typename Ports>
void node<Ports>::AdoptLeadership(const leadership& claimed) {
  const auto former = election_.KnownLeader().address;
  if (!election_.OnLeadership(claimed, SteadyNow())) {
    return;
  }
  log_.Write(event_line{"leader_known", event_weight::kStateChange}
                 .Add("epoch", claimed.epoch)
                 .Add("leader", claimed.address)
                 .Add("name", claimed.name));
  if (leader_ && leader_->epoch() < claimed.epoch) {
    leader_->End("newer_claim");
    leader_.reset();
    WithdrawPingReply();
  }
  pinged_at_ = time_point{};
  members_version_ = 0;
  if (claimed.address != peers_.address()) {
    peers_.WatchConnection(claimed.address);
  }
  if (!former.empty() && former != claimed.address) {
    peers_.EndRequests(former);
  }
}

template <typename Ports>
void node<Ports>::FindNewestClaim() {
  ports_.ReadNewest(stream::kClaims, {}, [this](result<newest_page> page) {
    if (page.has_error()) {
      claims_timer_.expires_after(kClaimsRetryInterval);
      claims_timer_.async_wait([this](const boost::system::error_code& failed) {
        if (!failed) {
          FindNewestClaim();
        }
      });
      return;
    }
    next_claim_offset_ = page.value().end;
    for (const auto& record : page.value().records) {
      OnClaim(record.value, next_claim_offset_ - 1);
    }
    claims_read_at_ = SteadyNow();
    election_.OnClaimsRead(claims_read_at_);
    if (election_.KnownLeader().epoch > 0 && !IsLeading()) {
      ProbeLeader();
    }
    FollowClaims();
  });
}

template <typename Ports>
void node<Ports>::FollowClaims() {
  const auto asked_at = SteadyNow();
  ports_.Read(
      stream::kClaims, next_claim_offset_, kClaimsPollTimeout,
      [this, asked_at](result<log_page> page) {
        if (page.has_error() || page.value().trimmed) {
          claims_timer_.expires_after(kClaimsRetryInterval);
          const bool trimmed = page.has_value();
          claims_timer_.async_wait([this, trimmed](const boost::system::error_code& failed) {
            if (!failed) {
              trimmed ? FindNewestClaim() : FollowClaims();
            }
          });
          return;
        }
        auto offset = page.value().next - page.value().records.size();
        for (const auto& bytes : page.value().records) {
          if (const auto record = SplitKeyed(bytes)) {
            OnClaim(record->value, offset);
          }
          ++offset;
        }
        next_claim_offset_ = page.value().next;
        claims_read_at_ = SteadyNow();
        if (leader_ && leader_->epoch() == election_.KnownLeader().epoch) {
          leader_->OnNoNewerClaim(asked_at);
        }
        FollowClaims();
      });
}

template <typename Ports>
void node<Ports>::OnClaim(const std::string& bytes, std::uint64_t offset) {
  wire::leader_claim claim;
  if (!claim.ParseFromString(bytes) || claim.member().address().empty()) {
    log_.Write(event_line{"claim_unreadable", event_weight::kFailure}.Add("offset", offset));
    return;
  }
  const leadership claimed{offset + 1, claim.member().address(), claim.member().name(),
                           claim.incarnation()};
  const bool own = claim.incarnation() == incarnation_ && claimed.address == peers_.address();
  const bool is_newer = claimed.epoch > election_.KnownLeader().epoch;
  AdoptLeadership(claimed);
  if (own && is_newer && !stopping_) {
    StartLeading(claimed.epoch);
  } else if (claimed.address == peers_.address() && claim.incarnation() != incarnation_) {
    // An earlier incarnation of this process led, so there is no leader now.
    election_.OnLeaderLeaving(claimed.epoch);
  }
}

// Handles hundreds of processes that suspect the same leader at once. If each of them asked all
// others, the small processes would be overloaded and answer late, and each new leader would in
// turn be declared dead.
template <typename Ports>
std::vector<std::string> node<Ports>::PeersToQuery() const {
  std::vector<std::string> others;
  for (const auto& [address, each] : members_) {
    if (address != election_.KnownLeader().address) {
      others.push_back(address);
    }
  }
  return HighestRanked(std::move(others), peers_.address(), kMaxQueriedPeers);
}

template <typename Ports>
void node<Ports>::QueryPeers() {
  const auto now = SteadyNow();
  if (peer_query_in_flight_ || now - peers_queried_at_ < kQueryTimeout) {
    return;
  }
  peers_queried_at_ = now;
  const auto asked = PeersToQuery();
  if (asked.empty()) {
    completed_peer_query_at_ = now;
    return;
  }
  if (suspected_epoch_ != election_.KnownLeader().epoch) {
    suspected_epoch_ = election_.KnownLeader().epoch;
    log_.Write(event_line{"leader_doubted", event_weight::kStateChange}
                   .Add("epoch", suspected_epoch_)
                   .Add("heard_ms_ago", now - election_.LastAnswerAt())
                   .Add("asked", asked.size())
                   .Add("peers", members_.size()));
  }
  peer_query_in_flight_ = true;
  auto pending = std::make_shared<std::size_t>(asked.size());
  for (const auto& address : asked) {
    wire::peer_frame frame;
    frame.set_epoch(election_.KnownLeader().epoch);
    frame.mutable_query();
    peers_.SendRequest(address, std::move(frame), now + kQueryTimeout,
                       [this, pending, now](const wire::peer_frame* answer) {
                         const bool reaches_leader =
                             answer != nullptr && answer->view().heard() &&
                             answer->epoch() >= election_.KnownLeader().epoch;
                         if (reaches_leader) {
                           const std::chrono::milliseconds ago{answer->view().heard_ms_ago()};
                           election_.OnPeerReport(SteadyNow() - ago);
                         }
                         if (--*pending == 0) {
                           peer_query_in_flight_ = false;
                           completed_peer_query_at_ = now;
                         }
                       });
  }
}

template <typename Ports>
void node<Ports>::ClaimLeadership() {
  if (claim_in_flight_) {
    return;
  }
  claim_in_flight_ = true;
  election_.OnClaimSent(SteadyNow());
  wire::leader_claim claim;
  *claim.mutable_member() = Self();
  claim.set_incarnation(incarnation_);
  const auto bytes = claim.SerializeAsString();
  log_.Write(event_line{"leadership_claimed", event_weight::kStateChange}
                 .Add("at", next_claim_offset_)
                 .Add("known_epoch", election_.KnownLeader().epoch)
                 .Add("peers", members_.size()));
  ports_.Append(stream::kClaims, {JoinKeyed({"leader", bytes})}, std::nullopt, next_claim_offset_,
                [this, bytes](const append_answer& answer) {
                  claim_in_flight_ = false;
                  // After a lost answer, `FollowClaims` finds out whose claim won.
                  if (answer.outcome == append_outcome::kStored) {
                    OnClaim(bytes, answer.offset);
                  }
                });
}

template <typename Ports>
void node<Ports>::StartLeading(std::uint64_t epoch) {
  if (leader_) {
    return;
  }
  leader_hooks hooks;
  hooks.watch_pause = [this] {
    UpdatePeers();
    return WatchDelay();
  };
  hooks.on_end = [this, epoch] {
    if (!leader_ || leader_->epoch() != epoch) {
      return;
    }
    leader_.reset();
    WithdrawPingReply();
    NotifyPeersOfResignation(epoch);
    election_.OnLeaderLeaving(epoch);
  };
  leader_ = std::make_shared<leader<Ports>>(io_, ports_, settings_.leading, epoch, log_, metrics_,
                                            std::move(hooks));
  for (auto& [address, each] : members_) {
    each.seen_at = SteadyNow();
    each.has_pinged = false;
  }
  ++members_version_;
  PublishPingReply();
  leader_->Begin();
}

}  // namespace rosearch::cell

#endif  // ROSEARCH_CELL_INTERNAL_NODE_LEADERSHIP_H_
