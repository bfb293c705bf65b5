#include "rosearch/shard/shard_log_view.h"

#include "rosearch/shard/shard_replica.h"

namespace rosearch {

void shard_log_view::OnBatch(const std::string& author, const wire::shard_batch& batch) {
  const auto term = TermOf(batch);
  if (term < term_ || replaced_.contains(author)) {
    return;
  }
  const bool begins_anew = term > term_ || author != author_;
  if (begins_anew && !BeginsWithSnapshot(batch)) {
    return;
  }
  if (term.epoch > term_.epoch) {
    replaced_.clear();
  } else if (author != author_) {
    replaced_.insert(author_);
  }
  term_ = term;
  author_ = author;
  TakeIn(batch);
}

void shard_log_view::TakeIn(const wire::shard_batch& batch) {
  auto sequence = batch.first_sequence();
  for (const auto& record : batch.records()) {
    if (record.has_snapshot()) {
      state_.Load(record.snapshot());
      sequence_ = sequence;
    } else if (sequence == sequence_ + 1) {
      state_.Apply(record);
      sequence_ = sequence;
    }
    ++sequence;
  }
}

}  // namespace rosearch
