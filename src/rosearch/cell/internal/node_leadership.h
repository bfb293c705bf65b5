#ifndef ROSEARCH_CELL_INTERNAL_NODE_LEADERSHIP_H_
#define ROSEARCH_CELL_INTERNAL_NODE_LEADERSHIP_H_

// The periodic tick, detection of a lost leader, peers and handover. Included by node.h.

#include "rosearch/cell/node.h"

namespace rosearch::cell {

template <typename Ports>
void node<Ports>::Tick() {
  const auto now = SteadyNow();
  if (next_tick_at_ != time_point{}) {
    election_.OnTimerDelay(now - next_tick_at_, now);
  }
  if (!IsLeading() && now - pinged_at_ >= OwnPingInterval()) {
    pinged_at_ = now;
    Ping();
  }
  if (IsLeading()) {
    if (leader_->Serving()) {
      former_leaders_.OnFenced(leader_->epoch(), now);
      last_leader_answer_at_ = now;
      limits_ = leader_->configuration().limits;
      limits_known_ = leader_->configuration().version > 0;
    }
    election_.OnLeaderAnswer(leader_->epoch(), now);
    if (!stopping_) {
      AnnounceLeadership();
      PublishPingReply();
      RenewClaim();
      OfferLeadership();
      ProbePredecessors();
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
                 .Add("heard_ms_ago", HeardAgo(SteadyNow())));
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
  ProbeAddress(election_.KnownLeader().address, [this, epoch] {
    if (IsLeading() || stopping_ || epoch != election_.KnownLeader().epoch) {
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
void node<Ports>::ProbeAddress(const std::string& address, std::function<void()> on_refused) {
  const auto endpoint = ParseAddress(address);
  if (!endpoint) {
    return;
  }
  auto socket = std::make_shared<boost::asio::ip::tcp::socket>(io_);
  auto timer = std::make_shared<boost::asio::steady_timer>(io_, kProbeTimeout);
  timer->async_wait([socket, timer](const boost::system::error_code&) {
    boost::system::error_code ignored;
    socket->close(ignored);
  });
  socket->async_connect(*endpoint, [socket, timer, on_refused = std::move(on_refused)](
                                       const boost::system::error_code& failed) {
    timer->cancel();
    if (failed == boost::asio::error::connection_refused) {
      on_refused();
    }
  });
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
template <typename Predicate>
std::vector<std::string> node<Ports>::MembersWhere(Predicate predicate) const {
  std::vector<std::string> found;
  for (const auto& [address, each] : members_) {
    if (predicate(address, each)) {
      found.push_back(address);
    }
  }
  return found;
}

template <typename Ports>
std::vector<std::string> node<Ports>::LargeMembers() const {
  return MembersWhere([](const std::string&, const member& each) {
    return each.has_pinged && !IsSmall(each.facts);
  });
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
  auto large = IsLeading() ? LargeMembers() : std::vector<std::string>{};
  if (large.size() == members_.size()) {
    large.clear();
  }
  outside_.SetPeers(std::move(addresses), std::move(large));
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
  if (!IsSmall() || !leader_->Serving() || RelayCount(leader_->Workers()) == 0 ||
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
                 .Add("link_mbps", settings_.link_mbps)
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
    if (now - each.seen_at > PingInterval(each) * 2) {
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
void node<Ports>::WatchPredecessors(time_point now) {
  constexpr duration kMaxListAge = std::chrono::seconds{5};
  auto predecessors = former_leaders_.Before(leader_->epoch(), now);
  std::erase(predecessors, peers_.address());
  const bool is_current = !members_.empty() && now - last_leader_answer_at_ < kMaxListAge;
  predecessors_ = predecessor_watch{
      predecessors, MembersWhere([](const std::string&, const member&) { return true; }),
      is_current};
  predecessors_probed_at_ = now;
  for (const auto& address : predecessors_.Missing()) {
    leader_->ExpectPeer(address);
  }
  if (predecessors_.HaveStopped()) {
    leader_->OnPredecessorsStopped();
  }
}

template <typename Ports>
void node<Ports>::RecordFollower(const std::string& address) {
  predecessors_.OnFollows(address);
  if (predecessors_.HaveStopped()) {
    leader_->OnPredecessorsStopped();
  }
}

// A predecessor that was killed follows nobody. Until it is known to be gone, what it may have
// started on workers that don't answer is waited for longer.
template <typename Ports>
void node<Ports>::ProbePredecessors() {
  const auto now = SteadyNow();
  if (predecessors_.HaveStopped() || now - predecessors_probed_at_ < kPredecessorProbeInterval) {
    return;
  }
  predecessors_probed_at_ = now;
  for (const auto& address : predecessors_.Missing()) {
    ProbeAddress(address, [this, address, epoch = leader_->epoch()] {
      if (IsLeading() && leader_->epoch() == epoch) {
        RecordFollower(address);
      }
    });
  }
}

template <typename Ports>
void node<Ports>::StartLeading(std::uint64_t epoch, time_point claimed_at) {
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
  settling_.Begin(SteadyNow());
  PublishPingReply();
  leader_->Begin(claimed_at);
  WatchPredecessors(SteadyNow());
}

}  // namespace rosearch::cell

#endif  // ROSEARCH_CELL_INTERNAL_NODE_LEADERSHIP_H_
