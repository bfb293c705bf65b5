#include "rosearch/shard/shard_journal.h"

#include <algorithm>
#include <utility>

#include "rosearch/shard/shard_replica.h"
#include "rosearch/shard/task_key.h"

namespace rosearch {
namespace {

/// More records than this are not kept for a log that is down: it gets a snapshot when it is back.
/// Without the bound an hour's outage would fill the memory of a small VM.
constexpr std::size_t kLongestTail = 20'000;

/// Records of one message or one batch.
constexpr std::uint64_t kLargestBatch = 2'000;

/// A caller is told that such a record will not be lost.
bool AcceptsWork(const wire::shard_record& record) {
  return record.has_accepted() || record.has_admitted() || record.has_cancelled();
}

}  // namespace

std::string_view DurableByName(durable_by holder) noexcept {
  constexpr std::string_view kNames[]{"witness", "log", "standby", "nobody"};
  return kNames[static_cast<int>(holder)];
}

void shard_journal::Start(shard_term term, shard_state state, std::uint64_t sequence) {
  term_ = term;
  state_ = std::move(state);
  started_at_ = sequence_ = sequence;
  tail_.clear();
  StopReplication();
  standby_.Stop();
  log_needs_snapshot_ = true;
  log_confirmed_ = log_batch_counts_ = false;
  log_given_ = log_durable_ = delivered_ = sequence;
  secured_ = 0;
}

void shard_journal::ContinueAt(epoch_number epoch) {
  term_ = epoch;
  started_at_ = sequence_;
  StopReplication();
  // A standby takes in nothing of a later term before its snapshot.
  standby_.Stop();
  log_needs_snapshot_ = true;
}

void shard_journal::Propose(wire::shard_record record) {
  state_.Apply(record);
  tail_.push_back(std::move(record));
  ++sequence_;
}

void shard_journal::StartReplication(time_point now) { witness_.Start(now); }

void shard_journal::StopReplication() { witness_.Stop(); }

void shard_journal::StopStandby() {
  standby_.Stop();
  DropUnneeded();
}

std::vector<wire::replicate> shard_journal::TakeForWitness(time_point now) {
  return TakeFor(witness_, now);
}

std::vector<wire::replicate> shard_journal::TakeForStandby(time_point now) {
  auto messages = TakeFor(standby_, now);
  for (auto& message : messages) {
    message.set_standby(true);
  }
  return messages;
}

std::vector<wire::replicate> shard_journal::TakeFor(replica_feed& feed, time_point now) const {
  std::vector<wire::replicate> messages;
  const auto due = feed.Next(sequence_, now);
  const auto add = [&](std::uint64_t first) -> wire::replicate& {
    auto& message = messages.emplace_back();
    message.set_shard(shard_);
    SetTerm(term_, message);
    message.set_first_sequence(first);
    return message;
  };
  if (due.snapshot) {
    *add(sequence_).add_records() = SnapshotRecord(shard_, version(), state_);
  }
  for (auto first = due.first; first <= due.last;) {
    const auto last = std::min(due.last, first + kLargestBatch - 1);
    auto& message = add(first);
    for (auto at = first; at <= last; ++at) {
      *message.add_records() = tail_[at - FirstKept()];
    }
    first = last + 1;
  }
  return messages;
}

void shard_journal::OnWitnessAck(const wire::replicate_ack& ack, time_point now) {
  OnAck(witness_, ack, now);
}

void shard_journal::OnStandbyAck(const wire::replicate_ack& ack, time_point now) {
  OnAck(standby_, ack, now);
}

void shard_journal::OnAck(replica_feed& feed, const wire::replicate_ack& ack, time_point now) {
  if (TermOf(ack) != term_) {
    return;
  }
  feed.OnAck(ack, sequence_, now);
  DropUnneeded();
}

std::optional<wire::shard_batch> shard_journal::TakeForLog() {
  if (!log_needs_snapshot_ && log_given_ == sequence_) {
    return std::nullopt;
  }
  log_batch_counts_ = true;
  wire::shard_batch batch;
  batch.set_shard(shard_);
  SetTerm(term_, batch);
  if (log_needs_snapshot_) {
    batch.set_first_sequence(sequence_);
    *batch.add_records() = SnapshotRecord(shard_, version(), state_);
    log_needs_snapshot_ = false;
    log_given_ = sequence_;
    return batch;
  }
  const auto first = log_given_ + 1;
  const auto last = std::min(sequence_, log_given_ + kLargestBatch);
  batch.set_first_sequence(first);
  for (auto at = first; at <= last; ++at) {
    *batch.add_records() = tail_[at - FirstKept()];
  }
  log_given_ = last;
  return batch;
}

void shard_journal::OnLogDurable(std::uint64_t sequence) {
  // An append of a term before this one says nothing of this term's records.
  if (!log_batch_counts_) {
    return;
  }
  log_durable_ = std::max(log_durable_, std::min(sequence, sequence_));
  log_confirmed_ = true;
}

bool shard_journal::NeedsSecondCopy(const wire::shard_record& record) const {
  if (AcceptsWork(record)) {
    return true;
  }
  if (!record.has_placing()) {
    return false;
  }
  // A successor that doesn't know of this attempt would start the task a second time.
  const auto key = ParseTaskKey(record.placing().ref().task());
  const auto* const job = key ? state_.FindJob(key->job) : nullptr;
  return job != nullptr && job->accepted.spec().at_most_once();
}

std::uint64_t shard_journal::DurableBy(durable_by holder) const {
  switch (holder) {
    case durable_by::kWitness:
      return witness_.in_step() ? witness_.acked() : delivered_;
    case durable_by::kLog:
      return log_durable_;
    case durable_by::kStandby:
      return standby_.in_step() ? std::max(log_durable_, standby_.acked()) : log_durable_;
    case durable_by::kNobody: {
      auto last = delivered_;
      while (last < sequence_ && !NeedsSecondCopy(tail_[last + 1 - FirstKept()])) {
        ++last;
      }
      return last;
    }
  }
  return delivered_;
}

std::vector<wire::shard_record> shard_journal::TakeDurable(durable_by holder) {
  const auto durable = DurableBy(holder);
  std::vector<wire::shard_record> records;
  for (; delivered_ < durable; ++delivered_) {
    records.push_back(tail_[delivered_ + 1 - FirstKept()]);
  }
  const bool counts = holder == durable_by::kWitness ? witness_.in_step()
                      : holder == durable_by::kLog   ? log_confirmed_
                                                     : log_confirmed_ || standby_.in_step();
  if (holder != durable_by::kNobody && counts) {
    secured_ = std::max(secured_, durable);
  }
  DropUnneeded();
  return records;
}

void shard_journal::DropUnneeded() {
  if (tail_.size() > kLongestTail && !log_needs_snapshot_) {
    log_needs_snapshot_ = true;
  }
  auto needed = delivered_;
  if (!log_needs_snapshot_) {
    needed = std::min(needed, log_given_);
  }
  for (const auto* const feed : {&witness_, &standby_}) {
    if (feed->running()) {
      needed = std::min(needed, feed->Done());
    }
  }
  while (!tail_.empty() && FirstKept() <= needed) {
    tail_.pop_front();
  }
}

}  // namespace rosearch
