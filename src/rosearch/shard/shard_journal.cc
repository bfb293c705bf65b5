#include "rosearch/shard/shard_journal.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace rosearch {
namespace {

/// After this long without an acknowledgement the witness is sent the same records again.
constexpr duration kResendAfter = std::chrono::milliseconds{300};

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

void shard_journal::Start(shard_term term, shard_state state, std::uint64_t sequence) {
  term_ = term;
  state_ = std::move(state);
  sequence_ = sequence;
  tail_.clear();
  StopReplication();
  log_needs_snapshot_ = true;
  log_given_ = log_durable_ = delivered_ = sequence;
}

void shard_journal::ContinueAt(epoch_number epoch) {
  term_ = epoch;
  StopReplication();
  log_needs_snapshot_ = true;
}

void shard_journal::Propose(wire::shard_record record) {
  state_.Apply(record);
  tail_.push_back(std::move(record));
  ++sequence_;
}

void shard_journal::StartReplication(time_point now) {
  replicating_ = true;
  in_step_ = false;
  send_snapshot_ = true;
  witness_acked_ = 0;
  resend_at_ = now;
}

void shard_journal::StopReplication() {
  replicating_ = false;
  in_step_ = false;
  send_snapshot_ = false;
  resend_at_ = kNever;
}

std::vector<wire::replicate> shard_journal::TakeForWitness(time_point now) {
  std::vector<wire::replicate> messages;
  if (!replicating_) {
    return messages;
  }
  const bool behind = !in_step_ || witness_acked_ < witness_sent_;
  if (now >= resend_at_ && behind) {
    // The records or their acknowledgement were lost: without this the shard would accept no more
    // work until its next epoch.
    witness_sent_ = witness_acked_;
    send_snapshot_ = !in_step_;
  }
  const auto add = [&](std::uint64_t first) -> wire::replicate& {
    auto& message = messages.emplace_back();
    message.set_shard(shard_);
    message.set_epoch(term_.epoch);
    message.set_first_sequence(first);
    return message;
  };
  if (send_snapshot_) {
    *add(sequence_).add_records() = MakeSnapshot();
    send_snapshot_ = false;
    snapshot_sequence_ = sequence_;
    witness_sent_ = sequence_;
    resend_at_ = now + kResendAfter;
  }
  while (witness_sent_ < sequence_) {
    const auto first = witness_sent_ + 1;
    const auto last = std::min(sequence_, witness_sent_ + kLargestBatch);
    auto& message = add(first);
    for (auto at = first; at <= last; ++at) {
      *message.add_records() = tail_[at - FirstKept()];
    }
    witness_sent_ = last;
    resend_at_ = now + kResendAfter;
  }
  return messages;
}

void shard_journal::OnWitnessAck(const wire::replicate_ack& ack, time_point now) {
  if (!replicating_ || ack.epoch() != term_.epoch) {
    return;
  }
  if (ack.send_snapshot()) {
    in_step_ = false;
    send_snapshot_ = true;
    return;
  }
  if (ack.last_sequence() > sequence_) {
    return;
  }
  in_step_ = in_step_ || ack.last_sequence() >= snapshot_sequence_;
  witness_acked_ = std::max(witness_acked_, ack.last_sequence());
  resend_at_ = witness_acked_ < witness_sent_ ? now + kResendAfter : kNever;
  DropUnneeded();
}

std::optional<wire::shard_batch> shard_journal::TakeForLog() {
  if (!log_needs_snapshot_ && log_given_ == sequence_) {
    return std::nullopt;
  }
  wire::shard_batch batch;
  batch.set_shard(shard_);
  SetTerm(term_, batch);
  if (log_needs_snapshot_) {
    batch.set_first_sequence(sequence_);
    *batch.add_records() = MakeSnapshot();
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
  log_durable_ = std::max(log_durable_, std::min(sequence, sequence_));
}

std::uint64_t shard_journal::DurableBy(durable_by holder) const {
  switch (holder) {
    case durable_by::kWitness:
      return in_step_ ? witness_acked_ : delivered_;
    case durable_by::kLog:
      return log_durable_;
    case durable_by::kNobody: {
      auto last = delivered_;
      while (last < sequence_ && !AcceptsWork(tail_[last + 1 - FirstKept()])) {
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
  DropUnneeded();
  return records;
}

wire::shard_record shard_journal::MakeSnapshot() const {
  wire::shard_record record;
  auto& snapshot = *record.mutable_snapshot();
  snapshot = state_.Snapshot();
  snapshot.set_shard(shard_);
  snapshot.set_epoch(term_.epoch);
  snapshot.set_sequence(sequence_);
  return record;
}

void shard_journal::DropUnneeded() {
  if (tail_.size() > kLongestTail && !log_needs_snapshot_) {
    log_needs_snapshot_ = true;
  }
  auto needed = delivered_;
  if (!log_needs_snapshot_) {
    needed = std::min(needed, log_given_);
  }
  if (replicating_) {
    needed = std::min(needed, in_step_ ? witness_acked_ : snapshot_sequence_);
  }
  while (!tail_.empty() && FirstKept() <= needed) {
    tail_.pop_front();
  }
}

}  // namespace rosearch
