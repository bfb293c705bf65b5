#ifndef ROSEARCH_CELL_INTERNAL_NODE_CLAIMS_H_
#define ROSEARCH_CELL_INTERNAL_NODE_CLAIMS_H_

// The claim log: following it, asking peers before a claim, claims and their renewals. Included by
// node.h.

#include "rosearch/cell/node.h"

namespace rosearch::cell {

template <typename Ports>
void node<Ports>::AdoptLeadership(const leadership& claimed) {
  const auto former = election_.KnownLeader().address;
  former_leaders_.OnClaim(claimed.epoch, claimed.address);
  if (!election_.OnLeadership(claimed, SteadyNow())) {
    return;
  }
  leader_stamp_ = 0;
  claims_stamp_ = 0;
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
  const auto asked_at = SteadyNow();
  ports_.ReadNewest(stream::kClaims, {}, [this, asked_at](result<newest_page> page) {
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
      OnClaimRecord(record.value, next_claim_offset_ - 1, asked_at);
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
      [this, asked_at, epoch = election_.KnownLeader().epoch,
       stamp = leader_stamp_](result<log_page> page) {
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
            OnClaimRecord(record->value, offset, asked_at);
          }
          ++offset;
        }
        next_claim_offset_ = page.value().next;
        claims_read_at_ = SteadyNow();
        // A page without records says that none was added while the store waited for one.
        const bool waited =
            page.value().records.empty() && claims_read_at_ - asked_at >= kClaimsPollTimeout;
        const auto still_true_after = waited ? kClaimsPollTimeout : duration{};
        if (leader_ && leader_->epoch() == election_.KnownLeader().epoch) {
          leader_->OnNoNewerClaim(asked_at + still_true_after);
        } else if (epoch == election_.KnownLeader().epoch) {
          claims_stamp_ = stamp;
          claims_waited_ = still_true_after;
        }
        FollowClaims();
      });
}

template <typename Ports>
void node<Ports>::OnClaimRecord(const std::string& bytes, std::uint64_t offset,
                                time_point asked_at) {
  wire::leader_claim record;
  const bool parsed = record.ParseFromString(bytes);
  if (parsed && !record.renewal().leader().address().empty()) {
    OnClaimRenewal(record);
  } else if (parsed && !record.member().address().empty()) {
    OnClaim(record, offset, asked_at);
  } else {
    former_leaders_.OnClaim(offset + 1, former_leaders::kUnknown);
    log_.Write(event_line{"claim_unreadable", event_weight::kFailure}.Add("offset", offset));
  }
}

template <typename Ports>
void node<Ports>::OnClaimRenewal(const wire::leader_claim& record) {
  const auto& renewal = record.renewal();
  const leadership renewed{renewal.epoch(), renewal.leader().address(), renewal.leader().name(),
                           record.incarnation()};
  RecordFormerLeaders(record, renewed.epoch);
  AdoptLeadership(renewed);
  election_.OnClaimRenewed(renewed.epoch, SteadyNow());
  CheckFormerRun(renewed);
}

template <typename Ports>
void node<Ports>::RecordFormerLeaders(const wire::leader_claim& record, std::uint64_t epoch) {
  if (epoch <= 1) {
    return;
  }
  if (!record.has_former()) {
    former_leaders_.OnClaim(epoch - 1, former_leaders::kUnknown);
  }
  for (const auto& address : record.former().addresses()) {
    former_leaders_.OnClaim(epoch - 1, address);
  }
}

template <typename Ports>
void node<Ports>::NameFormerLeaders(wire::leader_claim& record, std::uint64_t epoch) const {
  auto& former = *record.mutable_former();
  for (const auto& address : former_leaders_.Before(epoch, SteadyNow())) {
    former.add_addresses(address);
  }
}

template <typename Ports>
void node<Ports>::CheckFormerRun(const leadership& claimed) {
  if (claimed.address == peers_.address() && claimed.incarnation != incarnation_) {
    election_.OnLeaderLeaving(claimed.epoch);
  }
}

template <typename Ports>
void node<Ports>::OnClaim(const wire::leader_claim& claim, std::uint64_t offset,
                          time_point asked_at) {
  const leadership claimed{offset + 1, claim.member().address(), claim.member().name(),
                           claim.incarnation()};
  const bool own = claim.incarnation() == incarnation_ && claimed.address == peers_.address();
  const bool is_newer = claimed.epoch > election_.KnownLeader().epoch;
  RecordFormerLeaders(claim, claimed.epoch);
  AdoptLeadership(claimed);
  if (own && is_newer && !stopping_) {
    StartLeading(claimed.epoch, asked_at);
  }
  CheckFormerRun(claimed);
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
  if (IsSmall() && now - claims_read_at_ >= kMaxClaimsReadAge) {
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

// Handles hundreds of processes that suspect the same leader at once. If each of them asked all
// others, the small processes would be overloaded and answer late, and each new leader would in
// turn be declared dead.
template <typename Ports>
std::vector<std::string> node<Ports>::PeersToQuery() const {
  auto others = MembersWhere([this](const std::string& address, const member&) {
    return address != election_.KnownLeader().address;
  });
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
  peers_asked_ = asked.size();
  peers_answered_ = 0;
  if (asked.empty()) {
    completed_peer_query_at_ = now;
    return;
  }
  if (suspected_epoch_ != election_.KnownLeader().epoch) {
    suspected_epoch_ = election_.KnownLeader().epoch;
    log_.Write(event_line{"leader_doubted", event_weight::kStateChange}
                   .Add("epoch", suspected_epoch_)
                   .Add("heard_ms_ago", HeardAgo(now))
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
                         peers_answered_ += answer != nullptr ? 1 : 0;
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
  const auto now = SteadyNow();
  election_.OnClaimSent(now);
  wire::leader_claim claim;
  *claim.mutable_member() = Self();
  claim.set_incarnation(incarnation_);
  NameFormerLeaders(claim, next_claim_offset_ + 1);
  log_.Write(event_line{"leadership_claimed", event_weight::kStateChange}
                 .Add("at", next_claim_offset_)
                 .Add("known_epoch", election_.KnownLeader().epoch)
                 .Add("cause", election_.ClaimCause(now))
                 .Add("heard_ms_ago", HeardAgo(now))
                 .Add("silent_ms", election_.SilentFor(now))
                 .Add("peers", members_.size())
                 .Add("asked", peers_asked_)
                 .Add("answered", peers_answered_));
  // After a lost answer, `FollowClaims` finds out whose claim won.
  AppendToClaims(claim.SerializeAsString(),
                 [this, claim, now](std::uint64_t offset) { OnClaim(claim, offset, now); });
}

template <typename Ports>
void node<Ports>::RenewClaim() {
  const auto now = SteadyNow();
  if (claim_in_flight_ || !settling_.IsSettling(leader_->Restoring(), now) ||
      now - claim_renewed_at_ < kClaimRenewalInterval) {
    return;
  }
  claim_renewed_at_ = now;
  wire::leader_claim record;
  record.set_incarnation(incarnation_);
  record.mutable_renewal()->set_epoch(leader_->epoch());
  *record.mutable_renewal()->mutable_leader() = Self();
  NameFormerLeaders(record, leader_->epoch());
  log_.Write(event_line{"claim_renewed", event_weight::kStateChange}
                 .Add("epoch", leader_->epoch())
                 .Add("at", next_claim_offset_)
                 .Add("peers", members_.size()));
  AppendToClaims(record.SerializeAsString(), [](std::uint64_t) {});
}

template <typename Ports>
void node<Ports>::AppendToClaims(const std::string& record,
                                 std::function<void(std::uint64_t)> on_stored) {
  claim_in_flight_ = true;
  ports_.Append(stream::kClaims, {JoinKeyed({"leader", record})}, std::nullopt, next_claim_offset_,
                [this, on_stored = std::move(on_stored)](const append_answer& answer) {
                  claim_in_flight_ = false;
                  if (answer.outcome == append_outcome::kStored) {
                    on_stored(answer.offset);
                  }
                });
}

}  // namespace rosearch::cell

#endif  // ROSEARCH_CELL_INTERNAL_NODE_CLAIMS_H_
