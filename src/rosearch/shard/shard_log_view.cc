#include "rosearch/shard/shard_log_view.h"

namespace rosearch {
namespace {

bool BeginsWithSnapshot(const wire::shard_batch& batch) {
  return batch.records_size() > 0 && batch.records(0).has_snapshot();
}

}  // namespace

void shard_log_view::OnBatch(const std::string& author, const wire::shard_batch& batch) {
  if (batch.epoch() < epoch_ || replaced_.contains(author)) {
    return;
  }
  if (batch.epoch() > epoch_) {
    if (!BeginsWithSnapshot(batch)) {
      return;
    }
    epoch_ = batch.epoch();
    replaced_.clear();
    author_ = author;
  } else if (author != author_) {
    if (!BeginsWithSnapshot(batch)) {
      return;
    }
    replaced_.insert(author_);
    author_ = author;
  }
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
