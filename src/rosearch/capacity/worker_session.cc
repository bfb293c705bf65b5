#include "rosearch/capacity/worker_session.h"

#include <algorithm>
#include <utility>

namespace rosearch {
namespace {

/// A renewal goes with an exchange that comes at most this part of the interval before it is due.
constexpr int kRenewalsEarly = 4;

}  // namespace

void worker_session::Unverify(time_point verify_after) {
  verified_ = false;
  verify_after_ = std::max(verify_after_, verify_after);
  AskWholeAt(verify_after);
}

void worker_session::AskWholeAt(time_point at) { whole_at_ = std::min(whole_at_, at); }

void worker_session::Replace(time_point verify_after) {
  if (flight_) flight_->stale = true;
  forgets_.clear();
  version_ = 0;
  Unverify(verify_after);
}

bool worker_session::Renews(time_point now, const pool_settings& settings) const noexcept {
  // A worker that can't be reached would never be known to have dropped its tasks if each failed
  // exchange might have renewed them; its tasks would then wait for ever to start elsewhere.
  const bool gave_up = failing_since_ && now - *failing_since_ >= settings.renew_limit;
  return may_renew_ && !gave_up && now >= renew_due_;
}

void worker_session::PlanNext(const session_wants& wants, const pool_settings& settings) noexcept {
  due_at_ = std::min({due_at_, wants.stop_at, std::max(wants.look_at, looks_.AllowedAt())});
  if (!wants.awaits) {
    awaits_since_ = kNever;
    return;
  }
  awaits_since_ = std::min(awaits_since_, looked_at_);
  const auto pause = std::clamp(looked_at_ - awaits_since_, settings.first_poll, settings.poll);
  due_at_ = std::min(due_at_, looked_at_ + pause);
}

std::optional<wire::worker_command> worker_session::Next(const session_wants& wants, time_point now,
                                                         const pool_settings& settings) {
  if (flight_ || now < retry_at_) return std::nullopt;
  PlanNext(wants, settings);
  const auto is_new = [this](const attempt_key& key) { return !told_.contains(key); };
  const bool whole = whole_at_ <= now;
  const bool urgent = whole || !wants.starts.empty() || std::ranges::any_of(wants.stops, is_new) ||
                      std::ranges::any_of(wants.checkpoints, is_new);
  const bool renewal_due = wants.has_tasks && Renews(now, settings);
  if (!urgent && !renewal_due && now < due_at_) return std::nullopt;
  if (!urgent && !renewal_due && !wants.awaits) looks_.Take(now, settings.look_every);
  // An exchange that is sent anyway saves the renewal that would follow soon.
  const bool renews =
      wants.has_tasks && Renews(now + settings.renew_interval / kRenewalsEarly, settings);

  worker_flight flight{.emitted_at = now, .since = whole ? 0 : version_, .renews = renews};
  wire::worker_command command;
  command.set_since(flight.since);
  for (const auto& key : wants.stops) *command.add_stops() = RefOf(key);
  for (const auto& key : wants.checkpoints) *command.add_checkpoints() = RefOf(key);
  for (const auto& [key, after] : forgets_) {
    if (after > now) continue;
    *command.add_forgets() = RefOf(key);
    flight.forgets.push_back(key);
  }
  if (renews) {
    command.set_renew_ms(static_cast<std::uint32_t>(settings.lease / std::chrono::milliseconds{1}));
    renew_due_ = now + settings.renew_interval;
  }
  for (const auto& start : wants.starts) {
    *command.add_starts() = start;
    flight.starts.push_back(KeyOf(start.ref()));
  }
  due_at_ = now + settings.renew_interval;
  looked_at_ = now;
  const auto sends_stops =
      std::ranges::any_of(wants.stops, is_new) || std::ranges::any_of(wants.checkpoints, is_new);
  if (sends_stops) awaits_since_ = now;
  told_ = wants.stops;
  told_.insert(wants.checkpoints.begin(), wants.checkpoints.end());
  if (whole) whole_at_ = kNever;
  flight_ = std::move(flight);
  return command;
}

std::optional<worker_flight> worker_session::Land(bool arrived, time_point sent_at) {
  // The answer to an exchange of an earlier term may come after this term's first command went out.
  // Taken for its answer, a report from before the takeover would prove what it can't.
  if (!flight_ || sent_at < flight_->emitted_at) return std::nullopt;
  if (flight_->renews && arrived) set_renewed_at(sent_at);
  return std::exchange(flight_, std::nullopt);
}

bool worker_session::Accept(const worker_flight& flight, const wire::worker_report& report,
                            time_point sent_at) {
  failing_since_.reset();
  const bool restarted = report.version() < flight.since;
  if (flight.stale || restarted || (flight.since == 0 && !report.whole())) {
    Unverify(std::max(sent_at, verify_after_));
    return false;
  }
  for (const auto& key : flight.forgets) forgets_.erase(key);
  version_ = report.version();
  if (!report.whole() || verified_) return true;
  if (sent_at < verify_after_) {
    AskWholeAt(verify_after_);
    return true;
  }
  verified_ = true;
  may_renew_ = true;
  return true;
}

void worker_session::Fail(const worker_flight& flight, time_point sent_at, time_point now,
                          const pool_settings& settings) {
  if (!failing_since_) failing_since_ = sent_at;
  if (flight.renews) renew_due_ = now;
  retry_at_ = now + settings.report_retry;
  // What arrived without an answer changed the worker in ways that only a whole report shows.
  Unverify(now);
}

}  // namespace rosearch
