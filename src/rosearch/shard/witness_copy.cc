#include "rosearch/shard/witness_copy.h"

namespace rosearch {

wire::replicate_ack witness_copy::OnReplicate(const wire::replicate& message) {
  if (message.epoch() > epoch_) {
    epoch_ = message.epoch();
    whole_ = false;
  }
  wire::replicate_ack ack;
  ack.set_shard(message.shard());
  ack.set_epoch(message.epoch());
  if (message.epoch() < epoch_) {
    ack.set_last_sequence(0);
    return ack;
  }
  auto sequence = message.first_sequence();
  for (const auto& record : message.records()) {
    if (record.has_snapshot()) {
      // An older snapshot that arrives late must not set the copy back: the owner already counts on
      // what was acknowledged.
      if (!whole_ || sequence >= sequence_) {
        state_.Load(record.snapshot());
        sequence_ = sequence;
        whole_ = true;
      }
    } else if (whole_ && sequence == sequence_ + 1) {
      state_.Apply(record);
      sequence_ = sequence;
    }
    ++sequence;
  }
  const bool gap = !whole_ || sequence - 1 > sequence_;
  ack.set_last_sequence(whole_ ? sequence_ : 0);
  ack.set_send_snapshot(gap && !whole_);
  return ack;
}

}  // namespace rosearch
