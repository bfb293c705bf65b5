#include "rosearch/shard/request_table.h"

#include <algorithm>
#include <boost/crc.hpp>
#include <utility>

namespace rosearch {
namespace {

/// Tells whether two requests of one id are the same. A checksum of the body and its length: the
/// body itself is not kept.
std::uint64_t HashOf(const wire::request_call& call) {
  boost::crc_32_type crc;
  crc.process_bytes(call.path().data(), call.path().size());
  crc.process_byte(0);
  crc.process_bytes(call.body().data(), call.body().size());
  return (std::uint64_t{crc.checksum()} << 32U) | (call.body().size() & 0xffffffffU);
}

request_key KeyOf(const wire::request_call& call) { return {call.customer(), call.request()}; }

/// The largest body of an answer that is kept for repeats of the request.
constexpr std::size_t kLargestKept = 4096;

wire::ending EndingOfAnswer(const wire::call_answer& answer) {
  wire::ending how;
  if (!answer.error().kind().empty()) {
    *how.mutable_error() = answer.error();
  }
  how.set_http_status(answer.http_status());
  if (answer.body().size() <= kLargestKept) {
    how.set_body(answer.body());
  } else {
    *how.mutable_error() =
        ToWire(error{error_kind::kTooOld, "it ran; its answer was too large to keep"});
  }
  how.set_vm(answer.vm());
  return how;
}

}  // namespace

void request_table::Start() {
  open_.clear();
  by_key_.clear();
  ready_.clear();
}

void request_table::Drop(shard_output& out) {
  for (const auto& [ticket, item] : open_) {
    const auto kind = item.sent ? error_kind::kInterrupted : error_kind::kNoOwner;
    for (const auto& to : item.request.waiting) {
      out.answers.push_back({to, ErrorAnswer(error{kind, "ownership of the shard changed"})});
    }
  }
  open_.clear();
  by_key_.clear();
  ready_.clear();
}

std::optional<error> request_table::RefuseByAge(const wire::request_call& call,
                                                std::uint64_t unix_ms) const {
  const auto skew = static_cast<std::uint64_t>(settings_.clock_skew.count());
  const auto remember = static_cast<std::uint64_t>(settings_.remember.count());
  if (call.issued_ms() > unix_ms + skew) {
    return error{error_kind::kInvalidRequest, "issued in the future"};
  }
  if (call.issued_ms() + remember < unix_ms) {
    return error{error_kind::kTooOld, "issued too long ago to know whether it ran"};
  }
  return std::nullopt;
}

bool request_table::AnswerKnown(const call_origin& from, const wire::request_call& call,
                                std::uint64_t body_hash, shard_output& out) {
  const auto& requests = journal_.state().requests();
  const auto known = requests.find(KeyOf(call));
  if (known == requests.end()) {
    return false;
  }
  const auto& entry = known->second;
  if (entry.admitted.body_hash() != body_hash) {
    out.answers.push_back({from, ErrorAnswer(error{error_kind::kDuplicateMismatch,
                                                   "the id is known with another body"})});
    return true;
  }
  const auto under_way = by_key_.find(KeyOf(call));
  if (under_way != by_key_.end()) {
    auto& waiting = open_.at(under_way->second).request.waiting;
    if (std::ranges::find(waiting, from) == waiting.end()) {
      waiting.push_back(from);
    }
    return true;
  }
  wire::call_answer answer;
  if (!entry.ended) {
    // Admitted by an owner before this one: it may have been sent, and nobody can tell.
    *answer.mutable_error() = ToWire(error{error_kind::kInterrupted, "it may have run"});
  } else {
    *answer.mutable_error() = entry.how.error();
    answer.set_http_status(entry.how.http_status());
    answer.set_body(entry.how.body());
    answer.set_vm(entry.how.vm());
  }
  out.answers.push_back({from, std::move(answer)});
  return true;
}

void request_table::OnRequest(const call_origin& from, const wire::request_call& call,
                              time_point deadline, std::uint64_t unix_ms, bool durable,
                              shard_output& out) {
  const bool recorded = !call.idempotent() && !call.delegated();
  const auto body_hash = HashOf(call);
  if (recorded) {
    if (const auto refused = RefuseByAge(call, unix_ms)) {
      out.answers.push_back({from, ErrorAnswer(*refused)});
      return;
    }
    if (AnswerKnown(from, call, body_hash, out)) {
      return;
    }
    if (call.issued_ms() < journal_.state().recovery().fence_ms()) {
      // The records of the term before may be incomplete. An id from before the takeover that isn't
      // known may have been sent by the former owner: sending it now could run it twice.
      out.answers.push_back(
          {from, ErrorAnswer(error{error_kind::kTooOld, "issued before the takeover"})});
      return;
    }
    if (!durable) {
      out.answers.push_back({from, ErrorAnswer(NoSecondCopy())});
      return;
    }
  }
  const auto ticket = next_ticket_++;
  open_[ticket] = {{call, {from}, deadline}, false};
  if (!recorded) {
    ready_.push_back(ticket);
    return;
  }
  by_key_[KeyOf(call)] = ticket;
  wire::shard_record record;
  auto& admitted = *record.mutable_admitted();
  admitted.set_customer(call.customer());
  admitted.set_request(call.request());
  admitted.set_issued_ms(call.issued_ms());
  admitted.set_body_hash(body_hash);
  journal_.Propose(std::move(record));
}

void request_table::OnDurable(const wire::shard_record& record) {
  if (!record.has_admitted()) {
    return;
  }
  const auto found = by_key_.find({record.admitted().customer(), record.admitted().request()});
  if (found != by_key_.end()) {
    ready_.push_back(found->second);
  }
}

std::vector<std::uint64_t> request_table::TakeReady() { return std::exchange(ready_, {}); }

const open_request* request_table::Find(std::uint64_t ticket) const {
  const auto found = open_.find(ticket);
  return found == open_.end() ? nullptr : &found->second.request;
}

void request_table::OnSent(std::uint64_t ticket) {
  const auto found = open_.find(ticket);
  if (found != open_.end()) {
    found->second.sent = true;
  }
}

void request_table::Finish(std::uint64_t ticket, const wire::call_answer& answer,
                           shard_output& out) {
  const auto found = open_.find(ticket);
  if (found == open_.end()) {
    return;
  }
  const auto& call = found->second.request.call;
  const auto key = KeyOf(call);
  const auto by_key = by_key_.find(key);
  if (by_key != by_key_.end() && by_key->second == ticket) {
    wire::shard_record record;
    record.mutable_request_done()->set_customer(call.customer());
    record.mutable_request_done()->set_request(call.request());
    *record.mutable_request_done()->mutable_how() = EndingOfAnswer(answer);
    journal_.Propose(std::move(record));
    by_key_.erase(by_key);
  }
  for (const auto& to : found->second.request.waiting) {
    out.answers.push_back({to, answer});
  }
  open_.erase(found);
}

void request_table::Tick(std::uint64_t unix_ms) {
  const auto remember = static_cast<std::uint64_t>(settings_.remember.count());
  if (unix_ms > remember) {
    journal_.mutable_state().ForgetRequestsBefore(unix_ms - remember);
  }
}

}  // namespace rosearch
