#ifndef ROSEARCH_SHARD_WITNESS_COPY_H_
#define ROSEARCH_SHARD_WITNESS_COPY_H_

#include <cstdint>

#include "rosearch/core/id.h"
#include "rosearch/shard/shard_state.h"
#include "rosearch/wire/peer.pb.h"

namespace rosearch {

/// The witness's side of replication: the owner's state as far as it was received without a gap.
class witness_copy {
 public:
  /// Takes records in order.
  /// @return the acknowledgement to send back: how far the copy goes, or that it needs a snapshot.
  [[nodiscard]] wire::replicate_ack OnReplicate(const wire::replicate& message);

  /// @return whether the copy is whole for that epoch.
  [[nodiscard]] bool WholeAt(epoch_number epoch) const noexcept {
    return whole_ && epoch_ == epoch;
  }

  [[nodiscard]] const shard_state& state() const noexcept { return state_; }
  [[nodiscard]] std::uint64_t sequence() const noexcept { return sequence_; }
  [[nodiscard]] epoch_number epoch() const noexcept { return epoch_; }

 private:
  shard_state state_;
  epoch_number epoch_{0};
  std::uint64_t sequence_{0};
  bool whole_{false};
};

}  // namespace rosearch

#endif  // ROSEARCH_SHARD_WITNESS_COPY_H_
