#ifndef ROSEARCH_SHARD_SHARD_REPLICA_H_
#define ROSEARCH_SHARD_SHARD_REPLICA_H_

#include <cstdint>

#include "rosearch/core/id.h"
#include "rosearch/core/shard_term.h"
#include "rosearch/shard/shard_state.h"
#include "rosearch/wire/peer.pb.h"

namespace rosearch {

/// The receiving side of replication, at a witness or a standby: a holder's state as far as it was
/// received without a gap. It gives no right to act.
class shard_replica {
 public:
  /// Takes records in order.
  /// @return the acknowledgement to send back: how far the copy goes, or that it needs a snapshot.
  [[nodiscard]] wire::replicate_ack OnReplicate(const wire::replicate& message);

  /// @return whether this is the state of that epoch's owner.
  [[nodiscard]] bool WholeAt(epoch_number epoch) const noexcept {
    return whole_ && version_.term == shard_term{epoch};
  }

  /// @return whether it holds a state.
  [[nodiscard]] bool whole() const noexcept { return whole_; }
  [[nodiscard]] const shard_state& state() const noexcept { return state_; }
  [[nodiscard]] std::uint64_t sequence() const noexcept { return version_.sequence; }
  [[nodiscard]] epoch_number epoch() const noexcept { return version_.term.epoch; }
  [[nodiscard]] const replica_version& version() const noexcept { return version_; }

  /// Forgets the state, which a later holder has replaced.
  void Clear() { *this = {}; }

 private:
  void TakeIn(const wire::replicate& message);

  shard_state state_;
  replica_version version_;
  bool whole_{false};
};

/// @param message  of a kind that holds records, for an entry or for the log.
/// @return whether a receiver that knows nothing of their holder can begin with them.
template <typename Message>
[[nodiscard]] bool BeginsWithSnapshot(const Message& message) {
  return message.records_size() > 0 && message.records(0).has_snapshot();
}

/// @return a record that brings a receiver to a state of the shard at once.
[[nodiscard]] wire::shard_record SnapshotRecord(shard_number shard, const replica_version& version,
                                                const shard_state& state);

}  // namespace rosearch

#endif  // ROSEARCH_SHARD_SHARD_REPLICA_H_
