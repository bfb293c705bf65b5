#ifndef ROSEARCH_SHARD_REPLICA_FEED_H_
#define ROSEARCH_SHARD_REPLICA_FEED_H_

#include <cstdint>

#include "rosearch/core/time.h"
#include "rosearch/wire/peer.pb.h"

namespace rosearch {

/// How far one receiver of a shard's records has come, and what it should be sent next: a snapshot,
/// then every later record, again where no acknowledgement comes.
class replica_feed {
 public:
  /// What is due: a snapshot as of the newest record, or the records `first` to `last`, or nothing.
  struct step {
    bool snapshot{false};
    std::uint64_t first{1};
    std::uint64_t last{0};

    [[nodiscard]] bool HasRecords() const noexcept { return first <= last; }
  };

  void Start(time_point now);
  void Stop();

  /// @param sequence  of the newest record.
  /// @return what to send now; counts as sent.
  [[nodiscard]] step Next(std::uint64_t sequence, time_point now);

  /// @param sequence  of the newest record.
  void OnAck(const wire::replicate_ack& ack, std::uint64_t sequence, time_point now);

  [[nodiscard]] bool running() const noexcept { return running_; }
  /// @return whether the receiver has acknowledged a snapshot.
  [[nodiscard]] bool in_step() const noexcept { return in_step_; }
  /// @return the newest record that the receiver has acknowledged.
  [[nodiscard]] std::uint64_t acked() const noexcept { return acked_; }
  /// @return whether the receiver has everything up to a record.
  [[nodiscard]] bool Has(std::uint64_t sequence) const noexcept {
    return in_step_ && acked_ >= sequence;
  }
  /// @return the last record that needn't be kept for this receiver.
  [[nodiscard]] std::uint64_t Done() const noexcept { return in_step_ ? acked_ : snapshot_at_; }

 private:
  bool running_{false};
  bool in_step_{false};
  bool send_snapshot_{false};
  std::uint64_t snapshot_at_{0};
  std::uint64_t sent_{0};
  std::uint64_t acked_{0};
  time_point resend_at_{kNever};
};

}  // namespace rosearch

#endif  // ROSEARCH_SHARD_REPLICA_FEED_H_
