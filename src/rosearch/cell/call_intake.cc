#include "rosearch/cell/call_intake.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>

namespace rosearch::cell {
namespace {

using seconds_f = std::chrono::duration<double>;

/// @return a number in [0, 1) that depends on the job's id alone, the same at each leader.
double Jitter(std::string_view job) {
  constexpr int kBits = std::numeric_limits<double>::digits;
  const std::uint64_t hash = std::hash<std::string_view>{}(job);
  return std::ldexp(static_cast<double>(hash >> (64 - kBits)), -kBits);
}

}  // namespace

call_turn call_intake::OnCall(const std::string& job, bool submits, time_point now) {
  if (CountWaiting() == 0 && HasTime(now)) {
    slice_began_at_ = handled_in_slice_ == 0 ? now : slice_began_at_;
    return call_turn::kNow;
  }
  // A repeat must not be refused while an earlier copy waits, and a cancel must not overtake the
  // submission of its job.
  const bool follows = waiting_jobs_.contains(job);
  if (!submits && !follows) {
    ++waiting_next_;
    return call_turn::kNext;
  }
  if (!follows && ExpectedWait(now) > kMaxExpectedWait) {
    return call_turn::kRefuse;
  }
  waiting_since_.push_back(now);
  ++waiting_jobs_[job];
  return call_turn::kInOrder;
}

void call_intake::BeginSlice(time_point now) {
  if (had_waiting_ && handled_in_slice_ > 0) {
    const auto measured = (now - slice_began_at_) / static_cast<int>(handled_in_slice_);
    time_per_call_ += (measured - time_per_call_) / (time_per_call_ == duration{} ? 1 : kSmoothing);
  }
  slice_began_at_ = now;
  handled_in_slice_ = 0;
  had_waiting_ = CountWaiting() > 0;
}

bool call_intake::OnTaken(const std::string& job, call_turn turn, time_point now) {
  if (turn != call_turn::kInOrder) {
    --waiting_next_;
    return false;
  }
  const auto waited = now - waiting_since_.front();
  waiting_since_.pop_front();
  const auto calls = waiting_jobs_.find(job);
  if (--calls->second == 0) {
    waiting_jobs_.erase(calls);
  }
  return waited > kMaxWait;
}

duration call_intake::ExpectedWait(time_point now) const {
  const auto by_rate = time_per_call_ * static_cast<int>(CountWaiting());
  const auto oldest = waiting_since_.empty() ? duration{} : now - waiting_since_.front();
  return std::max(by_rate, oldest);
}

void call_intake::OnTick(time_point due, time_point now, time_point next_due) {
  own_delay_ += std::max(duration{}, now - due);
  next_tick_due_ = next_due;
}

loop_mark call_intake::Mark(time_point now) const {
  return {now, own_delay_ + (now > next_tick_due_ ? now - next_tick_due_ : duration{})};
}

duration call_intake::Age(const loop_mark& mark, time_point now) const {
  return (now - mark.at) - (Mark(now).own_delay - mark.own_delay);
}

void call_intake::OnStoreAway(time_point since, time_point now) {
  if (!store_away_since_ || now - store_away_seen_at_ > kOutageGap) {
    store_away_since_ = since;
  }
  store_away_seen_at_ = now;
}

void call_intake::OnAccepted(std::string_view queue, duration objective, time_point now) {
  auto& usual = usual_objectives_.try_emplace(std::string{queue}, objective).first->second;
  usual += (objective - usual) / kSmoothing;
  accept_interval_ +=
      (std::min(now - accepted_at_, kMaxAcceptInterval) - accept_interval_) / kSmoothing;
  accepted_at_ = now;
}

std::optional<duration> call_intake::UsualObjective(std::string_view queue) const {
  const auto usual = usual_objectives_.find(std::string{queue});
  return usual == usual_objectives_.end() ? std::nullopt : std::optional{usual->second};
}

time_point call_intake::FirstRefusal(const std::string& job, time_point now) {
  while (!refusals_.empty() &&
         (refusals_.front().first + kRefusalRetention <= now || refusals_.size() > kMaxRefusals)) {
    first_refusals_.erase(refusals_.front().second);
    refusals_.pop_front();
  }
  const auto [first, is_new] = first_refusals_.try_emplace(job, now);
  if (is_new) {
    refusals_.emplace_back(now, job);
  }
  return first->second;
}

std::uint32_t call_intake::WholeSeconds(duration wait, duration time_left) {
  const auto limit = std::floor(seconds_f{time_left}.count());
  const auto wanted = std::floor(seconds_f{wait}.count());
  return static_cast<std::uint32_t>(std::max(1.0, std::min(wanted, limit)));
}

std::uint32_t call_intake::RetryAfter(const std::string& job, duration wait, duration objective,
                                      time_point now) {
  const auto useful_until = FirstRefusal(job, now) + kUsefulObjectives * objective;
  // Rounded up or down by the job's id: as many callers return in each second as are to.
  const auto jitter = std::chrono::duration_cast<duration>(seconds_f{Jitter(job)});
  return WholeSeconds(wait + jitter, useful_until - now);
}

std::uint32_t call_intake::RetryAfterBusy(const std::string& job, duration objective,
                                          time_point now) {
  const auto backlog = accept_interval_ * static_cast<int>(waiting_since_.size());
  const auto returns_at = std::max(next_return_, now + kMinRetryAfter + backlog);
  if (returns_at < now + kUsefulObjectives * objective) {
    next_return_ = returns_at + accept_interval_;
  }
  return RetryAfter(job, returns_at - now, objective, now);
}

std::uint32_t call_intake::RetryAfterOutage(const std::string& job, duration objective,
                                            time_point came, time_point now) {
  const auto since = store_away_since_.value_or(now);
  duration expected = kMinRetryAfter;
  while (expected <= now - since) {
    expected *= 2;
  }
  const auto first = FirstRefusal(job, came);
  const auto spaced = kReturnSpacing * std::max(duration{}, first - since);
  // Mostly rounded down: callers who came in order are to return in order.
  const auto jitter = kOrderedJitter * seconds_f{Jitter(job)};
  const auto returns_in =
      since - now + std::chrono::duration_cast<duration>(expected + spaced + jitter);
  // A caller that returned just before the expected end would waste one of its few retries.
  const duration until_end = std::chrono::ceil<std::chrono::seconds>(since + expected - now);
  return WholeSeconds(std::max(until_end, returns_in), first + kUsefulObjectives * objective - now);
}

}  // namespace rosearch::cell
