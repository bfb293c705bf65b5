#include "rosearch/node/call_table.h"

#include <algorithm>

#include "rosearch/core/error.h"
#include "rosearch/shard/shard_output.h"

namespace rosearch {
namespace {

/// Until a call is sent again that nobody has answered.
constexpr duration kAskAgain = std::chrono::milliseconds{1000};

/// Until a call is sent again whose shard had no owner.
constexpr duration kNoOwnerAgain = std::chrono::milliseconds{100};

}  // namespace

std::uint64_t call_table::Add(wire::call call, time_point deadline, time_point now,
                              call_done done) {
  const auto number = next_++;
  call.set_number(number);
  auto& item = open_[number];
  item = {std::move(call), std::move(done), deadline, kNever, 0, {}};
  deadlines_.emplace(deadline, number);
  SetDue(number, item, now);
  return number;
}

std::vector<std::uint64_t> call_table::TakeDue(time_point now) {
  std::vector<std::uint64_t> numbers;
  while (!due_.empty() && due_.begin()->first <= now) {
    const auto number = due_.begin()->second;
    SetDue(number, open_.at(number), now + kAskAgain);
    numbers.push_back(number);
  }
  return numbers;
}

std::optional<wire::call> call_table::Prepare(std::uint64_t number, time_point now) const {
  const auto found = open_.find(number);
  if (found == open_.end()) {
    return std::nullopt;
  }
  auto call = found->second.call;
  const auto left =
      std::chrono::duration_cast<std::chrono::milliseconds>(found->second.deadline - now);
  call.set_left_ms(static_cast<std::uint32_t>(std::max<std::int64_t>(left.count(), 1)));
  return call;
}

void call_table::OnSent(std::uint64_t number, shard_number shard, const party& owner) {
  const auto found = open_.find(number);
  if (found != open_.end()) {
    found->second.call.set_shard(shard);
    found->second.sent_to = owner;
    ++found->second.unanswered;
  }
}

std::optional<party> call_table::Awaited(std::uint64_t number) const {
  const auto found = open_.find(number);
  if (found == open_.end() || found->second.unanswered == 0) {
    return std::nullopt;
  }
  return found->second.sent_to;
}

void call_table::Abandon(std::uint64_t number) {
  wire::call_answer answer;
  answer.set_number(number);
  *answer.mutable_error() =
      ToWire(error{error_kind::kInterrupted, "the entry that ran it is gone"});
  Finish(number, std::move(answer));
}

void call_table::TryAgain(std::uint64_t number, time_point now) {
  const auto found = open_.find(number);
  if (found != open_.end()) {
    SetDue(number, found->second, now + kNoOwnerAgain);
  }
}

void call_table::OnAnswer(const wire::call_answer& answer, time_point now) {
  const auto found = open_.find(answer.number());
  if (found == open_.end()) {
    return;
  }
  auto& item = found->second;
  if (ErrorKindFromName(answer.error().kind()) == error_kind::kNoOwner &&
      !answer.error().kind().empty()) {
    item.unanswered -= item.unanswered > 0 ? 1 : 0;
    SetDue(answer.number(), item, now + kNoOwnerAgain);
    return;
  }
  const bool repeatable = !item.call.has_request() || item.call.request().idempotent();
  if (ErrorKindFromName(answer.error().kind()) == error_kind::kInterrupted &&
      !answer.error().kind().empty() && repeatable) {
    // It may have run and may run again. Counted as answered, it would be told as "not run" where
    // no owner is found before the deadline.
    SetDue(answer.number(), item, now + kNoOwnerAgain);
    return;
  }
  const bool says_not_run =
      !answer.error().kind().empty() &&
      AnswerFor(ErrorKindFromName(answer.error().kind())).effect == outcome::kNotRun;
  if (says_not_run && item.unanswered > 1) {
    // Another copy of the call is out: it may have run where its answer was lost, and this refusal
    // knows nothing of it. The caller would be told "not run" of an order that ran.
    --item.unanswered;
    return;
  }
  Finish(answer.number(), answer);
}

void call_table::Expire(time_point now) {
  while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
    const auto number = deadlines_.begin()->second;
    const auto& item = open_.at(number);
    // Without a look at the records nobody knows whether an id is a repeat of one that ran.
    const bool unknown_id = item.call.has_request() && !item.call.request().idempotent() &&
                            !item.call.request().delegated();
    const bool may_have_run = item.unanswered > 0 || unknown_id;
    wire::call_answer answer;
    answer.set_number(number);
    *answer.mutable_error() =
        may_have_run
            ? ToWire(error{error_kind::kTimeout, "no answer from the owner before the deadline"})
            : ToWire(error{error_kind::kNoOwner, "the shard had no owner before the deadline",
                           kAskAgain});
    Finish(number, std::move(answer));
  }
}

void call_table::SetDue(std::uint64_t number, open_call& item, time_point due) {
  due_.erase({item.due, number});
  item.due = due;
  due_.emplace(due, number);
}

void call_table::Finish(std::uint64_t number, wire::call_answer answer) {
  const auto found = open_.find(number);
  const auto done = std::move(found->second.done);
  due_.erase({found->second.due, number});
  deadlines_.erase({found->second.deadline, number});
  open_.erase(found);
  done(std::move(answer));
}

}  // namespace rosearch
