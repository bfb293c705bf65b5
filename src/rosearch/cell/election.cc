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
  // From 0 in the first second to 1 after about a quarter of an hour, a tenth for each doubling.
  const auto seconds = std::max(1.0, std::chrono::duration<double>{now - began_}.count());
  const auto age = std::min(1.0, std::log2(seconds) / 10);
  const auto old = std::chrono::duration_cast<duration>(settings_.old_waits * age);
  const auto spread = std::chrono::duration_cast<duration>(settings_.spread * jitter_);
  const auto late = now < late_until_ ? settings_.late_waits : duration{};
  return old + spread + late + Patience();
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
  // Small processes ask nobody while larger ones do: thirty that ask thirty take each a third of
  // its share of the processor.
  const auto patience = Patience();
  const bool broken = broken_at_ != time_point{} && now - broken_at_ >= patience;
  return broken || now - quiet_since_ >= settings_.doubt_after + patience;
}

bool election::ShouldClaim(time_point now) const {
  if (!Doubts(now) || now < claim_again_at_) {
    return false;
  }
  const auto own = OwnDelay(now);
  if (leaving_ || known_.epoch == 0) {
    return now - quiet_since_ >= own;
  }
  const bool broken =
      broken_at_ != time_point{} && now - broken_at_ >= settings_.broken_after + own;
  return broken || now - quiet_since_ >= settings_.suspect_after + own;
}

}  // namespace rosearch::cell
