#ifndef ROSEARCH_CELL_INTERNAL_LEADER_STORE_H_
#define ROSEARCH_CELL_INTERNAL_LEADER_STORE_H_

// Stores the scheduler's decisions. Included by leader.h.

#include "rosearch/cell/leader.h"

namespace rosearch::cell {

template <typename Ports>
void leader<Ports>::RecordStoreAnswer(bool reached) {
  const auto now = SteadyNow();
  if (!reached) {
    store_failed_at_ = now;
  }
  if (reached == store_reached_) {
    return;
  }
  store_reached_ = reached;
  log_.Write(event_line{reached ? "store_regained" : "store_lost", event_weight::kStateChange}.Add(
      "away_ms", reached ? now - store_state_changed_at_ : duration{}));
  store_state_changed_at_ = now;
}

template <typename Ports>
duration leader<Ports>::StoreTimeout() const {
  constexpr int kSlowAppendFactor = 3;
  return std::clamp(kSlowAppendFactor * smoothed_append_time_, settings_.min_store_timeout,
                    settings_.max_store_timeout);
}

template <typename Ports>
bool leader<Ports>::AppendOverdue() const {
  return !batches_.empty() &&
         (batches_.front().failures > 0 || SteadyNow() - batches_.front().sent_at > StoreTimeout());
}

template <typename Ports>
auto leader<Ports>::StoreCondition() const -> store_condition {
  if (!AppendOverdue()) {
    return store_condition::kUsable;
  }
  // An answer to a later append or to a probe shows that the store responds, and that the oldest
  // append was lost or is delayed on its way.
  const auto& oldest = batches_.front();
  const bool answered_since = store_answered_.at > oldest.sent_at;
  const auto now = SteadyNow();
  const auto silent = intake_.Age(answered_since ? store_answered_ : oldest.sent_mark, now);
  const bool away =
      (oldest.failures > 0 && store_answered_.at <= store_failed_at_) || silent > StoreTimeout();
  return away ? store_condition::kAway : store_condition::kLeaderLate;
}

template <typename Ports>
void leader<Ports>::StoreRecords() {
  const auto now = SteadyNow();
  if (!scheduler_.HasRecords() || !MayAct()) {
    return;
  }
  if (!batches_.empty()) {
    const auto& newest = batches_.back();
    // The store accepts any sequence number as the first of an epoch: a batch that arrived before
    // the first one would cause that one to be refused permanently.
    const bool may_overlap = first_stored_ && scheduler_.HasUrgentRecords() &&
                             batches_.size() < settings_.max_batches_in_flight &&
                             batches_.front().failures == 0;
    if (!may_overlap) {
      return;  // checked again when an answer arrives
    }
    const auto spacing = std::max<duration>(
        settings_.min_batch_interval,
        smoothed_append_time_ / static_cast<int>(settings_.max_batches_in_flight));
    if (now - newest.sent_at < spacing) {
      After(writer_timer_, spacing - (now - newest.sent_at),
            [](leader& self) { self.StoreRecords(); });
      return;
    }
  }
  if (collecting_since_ == time_point{}) {
    collecting_since_ = now;
  }
  const auto due = collecting_since_ + settings_.max_collect_delay;
  if (!scheduler_.HasUrgentRecords() && !resigning_ && now < due) {
    After(writer_timer_, due - now, [](leader& self) { self.StoreRecords(); });
    return;
  }
  collecting_since_ = time_point{};
  auto taken = scheduler_.TakeBatch();
  if (taken.records.empty()) {
    scheduler_.OnStored(taken.number, Now());
    PostPump();
    return;
  }
  batch_in_flight batch{taken.number, next_sequence_++, {}, now, intake_.Mark(now)};
  for (const auto& record : taken.records) {
    batch.records.push_back(JoinKeyed(record));
  }
  batches_.push_back(std::move(batch));
  SendBatch(batches_.back());
}

template <typename Ports>
void leader<Ports>::LogBatch(std::string_view outcome, const batch_in_flight& batch) {
  log_.Write(event_line{"append_unanswered", event_weight::kFailure}
                 .Add("epoch", epoch_)
                 .Add("outcome", outcome)
                 .Add("batch", batch.number)
                 .Add("sequence", batch.sequence)
                 .Add("copies", batch.copies)
                 .Add("unanswered", batch.unanswered)
                 .Add("age_ms", SteadyNow() - batch.sent_at));
}

template <typename Ports>
void leader<Ports>::SendBatch(batch_in_flight& batch) {
  ++batch.copies;
  ++batch.unanswered;
  const auto asked_at = SteadyNow();
  ports_.Append(stream::kState, batch.records, writer_proof{"scheduler", epoch_, batch.sequence},
                std::nullopt,
                Bind([asked_at, number = batch.number](leader& self, const append_answer& answer) {
                  if (answer.outcome == append_outcome::kStored) {
                    self.OnNoNewerClaim(asked_at);
                  }
                  self.OnBatchAnswer(number, answer);
                }));
}

template <typename Ports>
void leader<Ports>::ResendBatches() {
  resent_at_ = SteadyNow();
  // In sequence: the store accepts a batch only after its predecessor.
  for (auto& batch : batches_) {
    if (!batch.stored) {
      SendBatch(batch);
      LogBatch("repeated", batch);
    }
  }
}

template <typename Ports>
duration leader<Ports>::RefusedPause(std::uint32_t failures) const {
  constexpr std::uint32_t kMaxDoublings = 8;
  const auto doubled = settings_.store_retry_interval * (1 << std::min(failures, kMaxDoublings));
  return std::min<duration>(doubled / 2, settings_.max_refused_pause);
}

template <typename Ports>
void leader<Ports>::ProbeStore() {
  const auto now = SteadyNow();
  if (!AppendOverdue() || now - probed_at_ < settings_.store_probe_interval) {
    return;
  }
  probed_at_ = now;
  AppendNothing([](leader& self, time_point asked_at, bool stored) {
    if (stored) {
      self.RecordAppendAnswered();
    }
    const bool refused = !self.batches_.empty() && self.batches_.front().failures > 0;
    const auto pause = refused ? self.settings_.max_refused_pause / 2 : duration{};
    if (stored && self.resent_at_ < asked_at && SteadyNow() - self.resent_at_ >= pause) {
      self.ResendBatches();
    }
  });
}

template <typename Ports>
void leader<Ports>::CompleteStoredBatches() {
  while (!batches_.empty() && batches_.front().stored) {
    const auto took = SteadyNow() - batches_.front().sent_at;
    metrics_.Observe("rosearch_append_seconds", took);
    if (batches_.front().failures == 0) {
      smoothed_append_time_ += (took - smoothed_append_time_) / 4;
    }
    const auto number = batches_.front().number;
    batches_.pop_front();
    first_stored_ = true;
    scheduler_.OnStored(number, Now());
  }
  if (!batches_.empty() && std::exchange(batches_.front().out_of_order, false)) {
    SendBatch(batches_.front());
  }
  RecordStoreAnswer(true);
  intake_.OnStoreBack();
  PostPump();
}

template <typename Ports>
void leader<Ports>::OnBatchAnswer(std::uint64_t number, const append_answer& answer) {
  const auto batch = std::ranges::find(batches_, number, &batch_in_flight::number);
  if (batch == batches_.end() || batch->stored) {
    return;
  }
  if (answer.outcome == append_outcome::kNotStored) {
    --batch->unanswered;
  }
  if (answer.outcome == append_outcome::kStored ||
      answer.outcome == append_outcome::kOutOfSequence) {
    RecordAppendAnswered();
  }
  const bool already_stored =
      answer.outcome == append_outcome::kOutOfSequence && answer.next_sequence > batch->sequence;
  if (already_stored) {
    log_.Write(event_line{"append_found_stored", event_weight::kStateChange}
                   .Add("epoch", epoch_)
                   .Add("batch", number)
                   .Add("sequence", batch->sequence)
                   .Add("expected", answer.next_sequence));
  }
  if (answer.outcome == append_outcome::kStored || already_stored) {
    // When a batch is stored, all earlier batches are stored too.
    for (auto each = batches_.begin(); each != std::next(batch); ++each) {
      each->stored = true;
    }
    CompleteStoredBatches();
    return;
  }
  if (answer.outcome == append_outcome::kFenced) {
    End("fenced");
    return;
  }
  if (answer.outcome == append_outcome::kOutOfSequence && batch != batches_.begin()) {
    batch->out_of_order = true;
    return;
  }
  RecordStoreAnswer(false);
  intake_.OnStoreAway(batches_.front().sent_at, SteadyNow());
  metrics_.Count("rosearch_appends_failed_total");
  if (batch->unanswered == 0 && batches_.size() == 1) {
    // Every copy was refused: callers are told at once that their jobs were not accepted.
    LogBatch("given_up", *batch);
    batches_.clear();
    --next_sequence_;
    scheduler_.OnNotStored(number);
    AnswerSettledCallers();
    After(writer_timer_, settings_.store_retry_interval, [](leader& self) { self.StoreRecords(); });
    return;
  }
  // This batch or a later one may be stored, now or later. An append is idempotent for the same
  // bytes and sequence number, so all batches are retried until the store reports their outcome.
  ++batches_.front().failures;
  scheduler_.RefuseUnsentJobs();
  AnswerSettledCallers();
  After(writer_timer_, RefusedPause(batches_.front().failures),
        [](leader& self) { self.ResendBatches(); });
}

}  // namespace rosearch::cell

#endif  // ROSEARCH_CELL_INTERNAL_LEADER_STORE_H_
