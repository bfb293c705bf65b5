#ifndef ROSEARCH_SHARD_SHARD_JOURNAL_H_
#define ROSEARCH_SHARD_SHARD_JOURNAL_H_

#include <algorithm>
#include <cstdint>
#include <deque>
#include <optional>
#include <string_view>
#include <vector>

#include "rosearch/core/id.h"
#include "rosearch/core/shard_term.h"
#include "rosearch/core/time.h"
#include "rosearch/shard/replica_feed.h"
#include "rosearch/shard/shard_state.h"
#include "rosearch/wire/peer.pb.h"

namespace rosearch {

/// Who keeps the second copy of a shard's records at the moment.
enum class durable_by {
  kWitness,
  kLog,
  /// There is no witness and the log is down or behind: another entry or the log, whichever has a
  /// record first.
  kStandby,
  /// No other entry lives and the log is down: the shard goes on with what was accepted before,
  /// accepts nothing and tells nobody how it went.
  kNobody,
};

/// @return the word for a holder in log lines.
[[nodiscard]] std::string_view DurableByName(durable_by holder) noexcept;

/// The owner's side of a shard's records: takes them into the state, hands them to the witness and
/// to the log, and tells which are durable.
///
/// A record is durable once a death of the owner can't lose it: while there is an active witness,
/// when that witness has it (it would take over with what it has, whatever the log holds);
/// otherwise when the log or a standby has it, since a claimant asks both.
class shard_journal {
 public:
  /// @param shard  the shard whose state this is.
  explicit shard_journal(shard_number shard) : shard_{shard} {}

  /// Begins a term with a state that an earlier holder left.
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
  [[nodiscard]] bool WitnessInStep() const noexcept { return witness_.in_step(); }

  /// @return whether the witness has acknowledged every record.
  [[nodiscard]] bool WitnessHasAll() const noexcept { return witness_.Has(sequence_); }

  /// @return whether the witness has all that was told or acted on: it may take over from then on.
  [[nodiscard]] bool WitnessHasTold() const noexcept { return witness_.Has(delivered_); }

  // The same for a standby, while the holder has no witness.
  void StartStandby(time_point now) { standby_.Start(now); }
  void StopStandby();
  [[nodiscard]] std::vector<wire::replicate> TakeForStandby(time_point now);
  void OnStandbyAck(const wire::replicate_ack& ack, time_point now);
  [[nodiscard]] bool HasStandby() const noexcept { return standby_.running(); }
  [[nodiscard]] bool StandbyHasAll() const noexcept { return standby_.Has(sequence_); }
  [[nodiscard]] bool StandbyHasTold() const noexcept { return standby_.Has(delivered_); }

  /// @return whether the log may lack something of what was told or acted on.
  [[nodiscard]] bool LogLacksTold() const noexcept {
    return !log_confirmed_ || log_durable_ < delivered_;
  }

  /// @return the records that the log hasn't been given yet, or none. Call it only while no other
  ///   append of this shard is under way.
  [[nodiscard]] std::optional<wire::shard_batch> TakeForLog();

  /// The log has every record up to `sequence`.
  void OnLogDurable(std::uint64_t sequence);

  /// Another entry has the state that this term began with, as of an earlier one.
  void OnStartKept() noexcept { secured_ = std::max(secured_, started_at_); }

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
  /// @return the sequence up to which another place has the records, too: what may be told.
  [[nodiscard]] std::uint64_t secured() const noexcept { return secured_; }
  /// @return whether the log, or another entry as of this term, has the state that this term began
  ///   with: copies of earlier terms are needed no more.
  [[nodiscard]] bool IsStartReplicated() const noexcept {
    const bool is_on_log = log_confirmed_ && log_durable_ >= started_at_;
    return is_on_log || witness_.Has(started_at_) || standby_.Has(started_at_);
  }
  [[nodiscard]] const shard_term& term() const noexcept { return term_; }
  [[nodiscard]] epoch_number epoch() const noexcept { return term_.epoch; }
  [[nodiscard]] replica_version version() const noexcept { return {term_, sequence_}; }

 private:
  [[nodiscard]] std::vector<wire::replicate> TakeFor(replica_feed& feed, time_point now) const;
  void OnAck(replica_feed& feed, const wire::replicate_ack& ack, time_point now);
  [[nodiscard]] std::uint64_t DurableBy(durable_by holder) const;
  [[nodiscard]] bool NeedsSecondCopy(const wire::shard_record& record) const;
  [[nodiscard]] std::uint64_t FirstKept() const noexcept { return sequence_ - tail_.size() + 1; }
  void DropUnneeded();

  shard_number shard_;
  shard_term term_;
  shard_state state_;
  std::uint64_t started_at_{0};  ///< sequence with which the term began
  std::uint64_t sequence_{0};
  std::deque<wire::shard_record> tail_;  ///< the last records, up to `sequence_`

  replica_feed witness_;
  replica_feed standby_;

  bool log_needs_snapshot_{true};
  bool log_confirmed_{false};     ///< something of this term is on the log
  bool log_batch_counts_{false};  ///< the batch under way is of this term
  std::uint64_t log_given_{0};
  std::uint64_t log_durable_{0};
  std::uint64_t delivered_{0};
  std::uint64_t secured_{0};
};

}  // namespace rosearch

#endif  // ROSEARCH_SHARD_SHARD_JOURNAL_H_
