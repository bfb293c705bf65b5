#include "rosearch/cell/election.h"

#include <algorithm>
#include <cmath>

namespace rosearch::cell {

bool election::OnLeadership(const leadership& claimed, time_point now) {
  if (claimed.epoch <= known_.epoch) {
    return false;
  }
  known_ = claimed;
  leaving_ = false;
  last_answer_at_ = time_point{};
  connection_lost_at_ = time_point{};
  silent_since_ = now;
  return true;
}

void election::OnLeaderAnswer(std::uint64_t epoch, time_point now) {
  if (epoch == known_.epoch) {
    last_answer_at_ = now;
    silent_since_ = now;
    connection_lost_at_ = time_point{};
  }
}

void election::OnConnectionBroken(time_point now) {
  if (known_.epoch > 0 && connection_lost_at_ == time_point{}) {
    connection_lost_at_ = now;
  }
}

void election::OnPeerReport(time_point at) {
  silent_since_ = std::max(silent_since_, at);
  if (at > connection_lost_at_) {
    connection_lost_at_ = time_point{};
  }
}

void election::OnLeaderLeaving(std::uint64_t epoch) {
  if (epoch == known_.epoch) {
    leaving_ = true;
  }
}

duration election::ClaimDelay(time_point now) const {
  // Rises from 0 in the first second to 1 after about 17 minutes, by 0.1 per doubling.
  const auto seconds = std::max(1.0, std::chrono::duration<double>{now - began_}.count());
  const auto age_factor = std::min(1.0, std::log2(seconds) / 10);
  const auto age_delay = std::chrono::duration_cast<duration>(settings_.max_age_delay * age_factor);
  const auto jitter_delay = std::chrono::duration_cast<duration>(settings_.max_jitter * jitter_);
  const auto late_delay = now < late_until_ ? settings_.late_process_delay : duration{};
  return age_delay + jitter_delay + late_delay + ReserveDelay();
}

bool election::HasActiveLeader(time_point now) const { return !leaving_ && LeaderReachable(now); }

bool election::LeaderReachable(time_point now) const {
  return last_answer_at_ != time_point{} && connection_lost_at_ == time_point{} &&
         now - last_answer_at_ < settings_.suspect_timeout + ReserveDelay();
}

bool election::ShouldAskPeers(time_point now) const {
  if (!claims_read_ || silent_since_ == time_point{}) {
    return false;
  }
  if (leaving_ || known_.epoch == 0) {
    return true;
  }
  // Reserve candidates ask later than the others: 30 processes that each ask 30 peers would use a
  // third of each small process's processor share.
  const auto reserve_delay = ReserveDelay();
  const bool broken =
      connection_lost_at_ != time_point{} && now - connection_lost_at_ >= reserve_delay;
  return broken || now - silent_since_ >= settings_.ask_peers_timeout + reserve_delay;
}

bool election::ShouldClaim(time_point now) const {
  if (!ShouldAskPeers(now) || now < claim_retry_at_) {
    return false;
  }
  const auto claim_delay = ClaimDelay(now);
  if (leaving_ || known_.epoch == 0) {
    return now - silent_since_ >= claim_delay;
  }
  return IsConnectionTimeoutOver(now) ||
         now - silent_since_ >= settings_.suspect_timeout + claim_delay;
}

bool election::IsConnectionTimeoutOver(time_point now) const {
  return connection_lost_at_ != time_point{} &&
         now - connection_lost_at_ >= settings_.connection_loss_timeout + ClaimDelay(now);
}

std::string_view election::ClaimCause(time_point now) const {
  if (known_.epoch == 0) {
    return "no_leader_known";
  }
  if (leaving_) {
    return "leader_leaving";
  }
  return IsConnectionTimeoutOver(now) ? "connection_lost" : "leader_silent";
}

}  // namespace rosearch::cell
