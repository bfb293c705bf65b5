#include "rosearch/dispatch/executor_pool.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace rosearch {
namespace {

/// @return whether a failure tells of the target, so that another one may do better.
constexpr bool IsOfTarget(error_kind kind) {
  switch (kind) {
    case error_kind::kTargetUnreachable:
    case error_kind::kTargetRefused:
    case error_kind::kTargetLost:
    case error_kind::kTargetFailed:
    case error_kind::kTimeout:
      return true;
    default:
      return false;
  }
}

/// @return whether the target may still be busy with the attempt.
bool MayStillRun(error_kind kind) { return AnswerFor(kind).effect == outcome::kUnknown; }

error Retryable(error_kind kind, std::string detail, duration retry_after) {
  return {kind, std::move(detail), std::max(retry_after, duration{std::chrono::milliseconds{1}})};
}

}  // namespace

executor_pool::executor_pool(dispatch_settings settings)
    : settings_{settings},
      budget_{settings.retry_percent, settings.retry_reserve},
      rate_{settings.expected_service},
      health_{settings.health} {}

void executor_pool::SetExecutor(const executor_facts& facts, time_point now, dispatch_output& out,
                                bool open) {
  executors_.Set(facts);
  executors_.SetOpen(facts.vm, open);
  Pump(now, out);
}

void executor_pool::RemoveExecutor(const vm_id& vm, time_point now, dispatch_output& out) {
  executors_.Remove(vm);
  health_.Remove(vm);
  std::vector<std::pair<std::uint64_t, std::uint32_t>> lost;
  for (const auto& [ticket, each] : requests_) {
    if (each.with == vm) {
      lost.emplace_back(ticket, each.attempt);
    }
  }
  for (const auto& [ticket, attempt] : lost) {
    OnFailed(ticket, attempt, error_kind::kTargetLost, now, out);
  }
}

void executor_pool::SetOpen(const vm_id& vm, bool open, time_point now, dispatch_output& out) {
  executors_.SetOpen(vm, open);
  Pump(now, out);
}

void executor_pool::SetLeaving(const vm_id& vm) { executors_.SetLeaving(vm); }

void executor_pool::SetWeight(const customer_id& customer, std::uint32_t weight) {
  queue_.SetWeight(customer, weight);
}

duration executor_pool::ExpectedWait(const queued_request& request, time_point now) const {
  const auto ahead = queue_.Ahead(request.customer, request.priority);
  if (ahead == 0 && executors_.Choose(health_, {}, now)) {
    return {};
  }
  const auto slots = executors_.UsableSlots(health_, now);
  return rate_.Interval(slots, now) * static_cast<duration::rep>(ahead + 1);
}

std::optional<error> executor_pool::Refusal(const queued_request& request, time_point now) const {
  const auto wait = ExpectedWait(request, now);
  if (request.deadline <= now) {
    return Retryable(error_kind::kDeadlinePassed, "the deadline had passed on arrival", wait);
  }
  if (queue_.SizeOf(request.customer) >= settings_.queue_per_customer) {
    return Retryable(error_kind::kQuotaExceeded, "the queue of the customer is full", wait);
  }
  const auto left = request.deadline - now;
  if (executors_.UsableSlots(health_, now) == 0) {
    return Retryable(error_kind::kOverloaded, "no executor takes work",
                     settings_.health.first_pause);
  }
  if (wait >= left) {
    return Retryable(error_kind::kOverloaded, "can't start before its deadline", wait - left);
  }
  return std::nullopt;
}

void executor_pool::Submit(const queued_request& request, time_point now, dispatch_output& out) {
  CHECK(!requests_.contains(request.ticket))
      << "event=invariant_breach invariant=single_run ticket=" << request.ticket
      << " customer=" << request.customer;
  Expire(now, out);
  if (auto refusal = Refusal(request, now)) {
    out.failures.push_back({request.ticket, std::move(*refusal)});
    return;
  }
  entry added;
  added.request = request;
  Enqueue(requests_.emplace(request.ticket, std::move(added)).first->second);
  Pump(now, out);
}

void executor_pool::Enqueue(const entry& waiting) {
  const auto& request = waiting.request;
  const bool is_retry = waiting.attempt > 0;
  queue_.Push({request.ticket, request.customer, request.priority, request.deadline}, is_retry);
}

void executor_pool::Pump(time_point now, dispatch_output& out) {
  Expire(now, out);
  while (const auto ticket = queue_.Next()) {
    auto& next = requests_.at(*ticket);
    const auto vm = executors_.Choose(health_, next.tried, now);
    if (!vm) {
      break;
    }
    queue_.PopNext();
    Send(next, *vm, now, out);
  }
  rate_.SetSaturated(!executors_.Choose(health_, {}, now), now);
}

void executor_pool::Send(entry& next, const vm_id& vm, time_point now, dispatch_output& out) {
  const auto& request = next.request;
  CHECK(!next.with) << "event=invariant_breach invariant=single_run ticket=" << request.ticket
                    << " with=" << *next.with << " vm=" << vm;
  // A second send of a request that may have run would bill a customer twice.
  CHECK(request.idempotent || !next.may_have_run)
      << "event=invariant_breach invariant=at_most_once ticket=" << request.ticket
      << " attempt=" << next.attempt << " earlier=" << AnswerFor(*next.may_have_run).name;
  executors_.Take(vm);
  health_.OnStarted(vm, request.kind, now);
  if (++next.attempt == 1) {
    budget_.OnFirstTry();
  }
  next.with = vm;
  next.sent_at = now;
  out.sends.push_back({request.ticket, vm, next.attempt, request.deadline});
}

executor_pool::entry* executor_pool::FindAttempt(std::uint64_t ticket, std::uint32_t attempt) {
  const auto found = requests_.find(ticket);
  const bool is_current =
      found != requests_.end() && found->second.with && found->second.attempt == attempt;
  return is_current ? &found->second : nullptr;
}

bool executor_pool::OnAnswered(std::uint64_t ticket, std::uint32_t attempt, time_point now,
                               dispatch_output& out, bool faulty) {
  auto* const found = FindAttempt(ticket, attempt);
  if (found == nullptr) {
    return false;
  }
  rate_.OnCompleted(now - found->sent_at, now);
  if (faulty) {
    health_.OnFailed(*found->with, found->request.kind, now);
  } else {
    health_.OnSucceeded(*found->with, found->request.kind, now);
  }
  executors_.OnAnswered(*found->with);
  executors_.Release(*found->with);
  requests_.erase(ticket);
  Pump(now, out);
  return true;
}

void executor_pool::CountHealth(const entry& failed, error_kind kind, time_point now) {
  const auto& vm = *failed.with;
  // A refusal is a healthy executor's word, for example that it is leaving.
  if (IsOfTarget(kind) && kind != error_kind::kTargetRefused) {
    health_.OnFailed(vm, failed.request.kind, now);
  } else {
    health_.OnAbandoned(vm, failed.request.kind);
  }
}

void executor_pool::LeaveSlot(entry& left, error_kind kind, time_point now) {
  if (MayStillRun(kind)) {
    // The executor may go on for a while; giving its slot away would exceed what it can run.
    executors_.ReleaseAt(*left.with, now + settings_.linger);
  } else {
    executors_.Release(*left.with);
  }
  if (kind == error_kind::kTargetRefused) {
    executors_.OnRefused(*left.with, rate_.Service(), now);
  }
  left.tried.push_back(*left.with);
  left.with.reset();
}

bool executor_pool::MayRetry(const entry& failed, error_kind kind, time_point now) {
  const auto& request = failed.request;
  const bool safe = request.idempotent || AnswerFor(kind).effect == outcome::kNotRun;
  return safe && IsOfTarget(kind) && !failed.cancelled && failed.attempt <= request.retries &&
         now < request.deadline && budget_.TryTake();
}

void executor_pool::OnFailed(std::uint64_t ticket, std::uint32_t attempt, error_kind kind,
                             time_point now, dispatch_output& out) {
  auto* const found = FindAttempt(ticket, attempt);
  if (found == nullptr) {
    return;
  }
  CountHealth(*found, kind, now);
  LeaveSlot(*found, kind, now);
  if (AnswerFor(kind).effect != outcome::kNotRun) {
    found->may_have_run = kind;
  }
  if (MayRetry(*found, kind, now)) {
    Enqueue(*found);
  } else {
    const auto& answer = AnswerFor(kind);
    error why{kind, "attempt " + std::to_string(attempt) + " failed", std::nullopt};
    if (answer.retryable) {
      why.retry_after = ExpectedWait(found->request, now) + std::chrono::milliseconds{1};
    }
    Finish(ticket, std::move(why), out);
  }
  Pump(now, out);
}

void executor_pool::Finish(std::uint64_t ticket, error why, dispatch_output& out) {
  const auto found = requests_.find(ticket);
  const auto earlier = found->second.may_have_run;
  // An earlier attempt may have run: to say "not run" because of what came after would make the
  // caller order a second time.
  if (earlier && AnswerFor(why.kind).effect == outcome::kNotRun) {
    why = {*earlier, "an earlier attempt may have run; then: " + why.detail, std::nullopt};
  }
  out.failures.push_back({ticket, std::move(why)});
  requests_.erase(found);
}

cancel_effect executor_pool::Cancel(std::uint64_t ticket, dispatch_output& out) {
  const auto found = requests_.find(ticket);
  if (found == requests_.end()) {
    return cancel_effect::kNotKnown;
  }
  if (found->second.with) {
    found->second.cancelled = true;
    return cancel_effect::kInFlight;
  }
  queue_.Erase(ticket);
  Finish(ticket, {error_kind::kCancelled, "cancelled while it waited", std::nullopt}, out);
  return cancel_effect::kFinished;
}

std::vector<std::uint64_t> executor_pool::WithdrawUnsent() {
  std::vector<std::uint64_t> unsent;
  for (const auto& [ticket, each] : requests_) {
    if (each.attempt == 0) {
      unsent.push_back(ticket);
    }
  }
  for (const auto ticket : unsent) {
    queue_.Erase(ticket);
    requests_.erase(ticket);
  }
  return unsent;
}

void executor_pool::DropRequests(time_point now) {
  for (const auto& [ticket, each] : requests_) {
    if (each.with) {
      health_.OnAbandoned(*each.with, each.request.kind);
      executors_.ReleaseAt(*each.with, now + settings_.linger);
    } else {
      queue_.Erase(ticket);
    }
  }
  requests_.clear();
}

void executor_pool::Expire(time_point now, dispatch_output& out) {
  while (const auto ticket = queue_.Expired(now)) {
    queue_.Erase(*ticket);
    const auto wait = ExpectedWait(requests_.at(*ticket).request, now);
    Finish(*ticket,
           Retryable(error_kind::kDeadlinePassed, "the deadline passed while it waited", wait),
           out);
  }
}

void executor_pool::Tick(time_point now, dispatch_output& out) {
  executors_.Tick(now);
  health_.Tick(now);
  Pump(now, out);
}

}  // namespace rosearch
