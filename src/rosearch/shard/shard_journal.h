#ifndef ROSEARCH_SHARD_SHARD_JOURNAL_H_
#define ROSEARCH_SHARD_SHARD_JOURNAL_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "rosearch/core/id.h"
#include "rosearch/core/shard_term.h"
#include "rosearch/core/time.h"
#include "rosearch/shard/shard_state.h"
#include "rosearch/wire/peer.pb.h"

namespace rosearch {

/// Who keeps the second copy of a shard's records at the moment.
enum class durable_by {
  kWitness,
  kLog,
  /// The log is down and there is no witness: the shard goes on with what was accepted before, and
  /// accepts nothing.
  kNobody,
};

/// The owner's side of a shard's records: takes them into the state, hands them to the witness and
/// to the log, and tells which are durable.
///
/// A record is durable once a death of the owner can't lose it: while there is an active witness,
/// when that witness has it (it would take over with what it has, whatever the log holds);
/// otherwise when the log has it.
class shard_journal {
 public:
  /// @param shard  the shard whose state this is.
  explicit shard_journal(shard_number shard) : shard_{shard} {}

  /// Begins a term with a state that is durable as it is.
  /// @param sequence  of the last record that the state includes.
  void Start(shard_term term, shard_state state, std::uint64_t sequence);

  /// Goes on at a later epoch with the same state and the same records in hand.
  void ContinueAt(epoch_number epoch);

  /// Takes a record into the state at once and queues it for the witness and the log.
  void Propose(wire::shard_record record);

  /// Begins to replicate to a witness: a snapshot, then every later record.
  void StartReplication(time_point now);

  /// Ends replication; records become durable by the log alone.
  void StopReplication();

  /// @return messages that the witness should be sent now: new records, or again those that it
  ///   hasn't acknowledged in time. Addresses are filled in by the caller.
  [[nodiscard]] std::vector<wire::replicate> TakeForWitness(time_point now);

  /// Takes in an acknowledgement; one of another epoch has no effect.
  void OnWitnessAck(const wire::replicate_ack& ack, time_point now);

  /// @return whether the witness has acknowledged the snapshot.
  [[nodiscard]] bool WitnessInStep() const noexcept { return in_step_; }

  /// @return whether the witness has acknowledged every record.
  [[nodiscard]] bool WitnessHasAll() const noexcept {
    return in_step_ && witness_acked_ == sequence_;
  }

  /// @return the records that the log hasn't been given yet, or none. Call it only while no other
  ///   append of this shard is under way.
  [[nodiscard]] std::optional<wire::shard_batch> TakeForLog();

  /// The log has every record up to `sequence`.
  void OnLogDurable(std::uint64_t sequence);

  /// The next batch for the log begins with a snapshot.
  void RequestLogSnapshot() noexcept { log_needs_snapshot_ = true; }

  /// @param holder  who keeps the second copy; the witness from the moment on at which it could
  /// take
  ///   over.
  /// @return records that became durable since the last call, in order. With `kNobody` these are
  /// the
  ///   records up to the first one that accepts work.
  [[nodiscard]] std::vector<wire::shard_record> TakeDurable(durable_by holder);

  [[nodiscard]] const shard_state& state() const noexcept { return state_; }
  [[nodiscard]] shard_state& mutable_state() noexcept { return state_; }
  [[nodiscard]] std::uint64_t sequence() const noexcept { return sequence_; }
  /// @return the sequence up to which `TakeDurable` has given records out.
  [[nodiscard]] std::uint64_t delivered() const noexcept { return delivered_; }
  [[nodiscard]] epoch_number epoch() const noexcept { return term_.epoch; }

 private:
  [[nodiscard]] wire::shard_record MakeSnapshot() const;
  [[nodiscard]] std::uint64_t DurableBy(durable_by holder) const;
  [[nodiscard]] std::uint64_t FirstKept() const noexcept { return sequence_ - tail_.size() + 1; }
  void DropUnneeded();

  shard_number shard_;
  shard_term term_;
  shard_state state_;
  std::uint64_t sequence_{0};
  std::deque<wire::shard_record> tail_;  ///< the last records, up to `sequence_`

  bool replicating_{false};
  bool in_step_{false};
  bool send_snapshot_{false};
  std::uint64_t snapshot_sequence_{0};
  std::uint64_t witness_sent_{0};
  std::uint64_t witness_acked_{0};
  time_point resend_at_{kNever};

  bool log_needs_snapshot_{true};
  std::uint64_t log_given_{0};
  std::uint64_t log_durable_{0};
  std::uint64_t delivered_{0};
};

}  // namespace rosearch

#endif  // ROSEARCH_SHARD_SHARD_JOURNAL_H_
