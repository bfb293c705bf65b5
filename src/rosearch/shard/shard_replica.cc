#include "rosearch/shard/shard_replica.h"

namespace rosearch {
wire::replicate_ack shard_replica::OnReplicate(const wire::replicate& message) {
  const auto term = TermOf(message);
  wire::replicate_ack ack;
  ack.set_shard(message.shard());
  ack.set_standby(message.standby());
  SetTerm(term, ack);
  if (whole_ && term < version_.term) {
    ack.set_superseded(true);
    return ack;
  }
  if (!BeginsWithSnapshot(message) && (!whole_ || term > version_.term)) {
    // The copy of the earlier term is kept until this one is whole: it may be the only one.
    ack.set_send_snapshot(true);
    return ack;
  }
  TakeIn(message);
  ack.set_last_sequence(version_.sequence);
  return ack;
}

void shard_replica::TakeIn(const wire::replicate& message) {
  const auto term = TermOf(message);
  auto sequence = message.first_sequence();
  for (const auto& record : message.records()) {
    if (record.has_snapshot()) {
      // An older snapshot that arrives late must not set the copy back: the sender already counts
      // on what was acknowledged.
      if (!whole_ || replica_version{term, sequence} >= version_) {
        state_.Load(record.snapshot());
        version_ = {term, sequence};
        whole_ = true;
      }
    } else if (sequence == version_.sequence + 1) {
      state_.Apply(record);
      version_.sequence = sequence;
    }
    ++sequence;
  }
}

wire::shard_record SnapshotRecord(shard_number shard, const replica_version& version,
                                  const shard_state& state) {
  wire::shard_record record;
  auto& snapshot = *record.mutable_snapshot();
  snapshot = state.Snapshot();
  snapshot.set_shard(shard);
  snapshot.set_epoch(version.term.epoch);
  snapshot.set_sequence(version.sequence);
  return record;
}

}  // namespace rosearch
