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
  heard_at_ = time_point{};
  broken_at_ = time_point{};
  quiet_since_ = now;
  return true;
}

void election::OnHeard(std::uint64_t epoch, time_point now) {
  if (epoch == known_.epoch) {
    heard_at_ = now;
    quiet_since_ = now;
    broken_at_ = time_point{};
  }
}

void election::OnConnectionBroken(time_point now) {
  if (known_.epoch > 0 && broken_at_ == time_point{}) {
    broken_at_ = now;
  }
}

void election::OnPeerHeard(time_point at) {
  quiet_since_ = std::max(quiet_since_, at);
  if (at > broken_at_) {
    broken_at_ = time_point{};
  }
}

void election::OnLeaderLeaving(std::uint64_t epoch) {
  if (epoch == known_.epoch) {
    leaving_ = true;
  }
}

duration election::OwnDelay(time_point now) const {
  // Rises from 0 in the first second to 1 after about 17 minutes, by 0.1 per doubling.
  const auto seconds = std::max(1.0, std::chrono::duration<double>{now - began_}.count());
  const auto age_factor = std::min(1.0, std::log2(seconds) / 10);
  const auto age_delay = std::chrono::duration_cast<duration>(settings_.old_waits * age_factor);
  const auto jitter_delay = std::chrono::duration_cast<duration>(settings_.spread * jitter_);
  const auto late_delay = now < late_until_ ? settings_.late_waits : duration{};
  return age_delay + jitter_delay + late_delay + Patience();
}

bool election::Hears(time_point now) const { return !leaving_ && Reaches(now); }

bool election::Reaches(time_point now) const {
  return heard_at_ != time_point{} && broken_at_ == time_point{} &&
         now - heard_at_ < settings_.suspect_after + Patience();
}

bool election::Doubts(time_point now) const {
  if (!read_ || quiet_since_ == time_point{}) {
    return false;
  }
  if (leaving_ || known_.epoch == 0) {
    return true;
  }
  // Small processes ask later than large ones: 30 processes that each ask 30 peers would use a
  // third of each small process's processor share.
  const auto small_process_delay = Patience();
  const bool broken = broken_at_ != time_point{} && now - broken_at_ >= small_process_delay;
  return broken || now - quiet_since_ >= settings_.doubt_after + small_process_delay;
}

bool election::ShouldClaim(time_point now) const {
  if (!Doubts(now) || now < claim_again_at_) {
    return false;
  }
  const auto claim_delay = OwnDelay(now);
  if (leaving_ || known_.epoch == 0) {
    return now - quiet_since_ >= claim_delay;
  }
  const bool broken =
      broken_at_ != time_point{} && now - broken_at_ >= settings_.broken_after + claim_delay;
  return broken || now - quiet_since_ >= settings_.suspect_after + claim_delay;
}

}  // namespace rosearch::cell
