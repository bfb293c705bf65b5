#ifndef ROSEARCH_SHARD_SHARD_H_
#define ROSEARCH_SHARD_SHARD_H_

#include <boost/json/value.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "rosearch/capacity/vm_pool.h"
#include "rosearch/core/id.h"
#include "rosearch/core/result.h"
#include "rosearch/core/time.h"
#include "rosearch/ownership/party.h"
#include "rosearch/ownership/shard_rights.h"
#include "rosearch/shard/cell_view.h"
#include "rosearch/shard/executor_lane.h"
#include "rosearch/shard/job_table.h"
#include "rosearch/shard/replica_search.h"
#include "rosearch/shard/request_table.h"
#include "rosearch/shard/shard_journal.h"
#include "rosearch/shard/shard_log_view.h"
#include "rosearch/shard/shard_output.h"
#include "rosearch/shard/shard_replica.h"
#include "rosearch/shard/shard_settings.h"
#include "rosearch/shard/standby_choice.h"

namespace rosearch {

/// When a step is taken: by the monotonic clock, and by the wall clock in Unix milliseconds. The
/// wall clock is only compared with callers' issue times.
struct step_time {
  time_point now;
  std::uint64_t unix_ms{0};
};

/// What an entry knows of the others that may keep a shard's state.
struct shard_peers {
  std::vector<party> standbys;   ///< live and not leaving, the best first
  std::vector<party> sources;    ///< may have a state of the shard, and may answer
  bool served_elsewhere{false};  ///< a live one says that it serves the shard
};

/// One shard as one entry holds it: the right to act, the records, and what is done with them while
/// the right lasts. Reads no clock, socket or global randomness. Not for use by two threads at a
/// time.
class shard {
 public:
  /// @param number  of this shard.
  /// @param region  where its VMs lie.
  /// @param self    this run of this entry.
  /// @param seed    of its random choices.
  shard(shard_number number, region_id region, party self, const shard_settings& settings,
        std::uint64_t seed);

  // From the control stream and the VM list; see `shard_rights` for the order that is required.
  void OnAssignment(const assignment& next, const step_time& at, shard_output& out);
  void OnLogEnd(time_point asked_at, const step_time& at, shard_output& out);
  void OnListProof(time_point asked_at, const step_time& at, shard_output& out);
  void OnPartyGone(const party& who, time_point since, time_point asked_at, const step_time& at,
                   shard_output& out);
  void OnPartySeen(const party& who);
  void SetCandidates(std::vector<party> candidates);
  void BeginFirstClaim(const step_time& at, shard_output& out);
  void BeginClaim(const step_time& at, shard_output& out);
  /// Says who may keep the shard's state; without it no copies are sent or asked for.
  void SetPeers(shard_peers peers);
  /// The owner claims the next epoch with another witness.
  void BeginClaimWith(const party& witness, const step_time& at, shard_output& out);

  /// Takes in the shard's workers and executors as now listed.
  void OnVmList(const std::vector<wire::vm_record>& vms, const step_time& at, shard_output& out);
  void OnDrain(const vm_id& vm, bool leaving, const step_time& at, shard_output& out);

  // From peers.
  void OnPair(const party& from, const wire::pair_message& message, const step_time& at,
              shard_output& out);
  void OnReplicate(const party& from, const wire::replicate& message, const step_time& at,
                   shard_output& out);
  void OnReplicateAck(const party& from, const wire::replicate_ack& ack, const step_time& at,
                      shard_output& out);
  /// A claimant asks for this entry's state: answered whether or not this entry has a newer one.
  void OnReplicaRequest(const party& from, const wire::replica_request& request,
                        shard_output& out) const;
  void OnReplicaAnswer(const party& from, const wire::replica_answer& answer, const step_time& at,
                       shard_output& out);
  void OnCall(const call_origin& from, const wire::call& call, const step_time& at,
              shard_output& out);
  void OnCapacity(const wire::capacity_message& message, const step_time& at, shard_output& out);
  void OnSummary(const wire::shard_summary& summary, const region_id& region, const step_time& at);
  void OnUsage(const entry_id& entry, const std::vector<wire::customer_usage>& usage);
  void OnEntryGone(const entry_id& entry);
  void SetQuotas(std::map<std::string, resources> quotas);
  /// @param sizes  what each worker of the cell holds when empty; none: not known yet.
  void SetWorkerSizes(std::vector<resources> sizes) { worker_sizes_ = std::move(sizes); }
  /// @param weights  each customer's share of executor slots against the others'.
  void SetWeights(std::map<std::string, std::uint32_t> weights);

  // From targets.
  void OnWorkerReport(const vm_id& vm, const wire::worker_report& report, time_point sent_at,
                      const step_time& at, shard_output& out);
  void OnWorkerFailed(const vm_id& vm, const error& failure, time_point sent_at,
                      const step_time& at, shard_output& out);
  void OnExecutorAnswer(std::uint64_t ticket, std::uint32_t attempt,
                        const result<wire::call_answer>& answer, const step_time& at,
                        shard_output& out);
  void OnDelegated(std::uint64_t ticket, const wire::call_answer& answer, const step_time& at,
                   shard_output& out);

  // The shard's stream on the log.
  /// @return the next batch to append, or none. While one is under way, none must be asked for.
  [[nodiscard]] std::optional<wire::shard_batch> TakeForLog();
  void OnLogDurable(std::uint64_t sequence, const step_time& at, shard_output& out);
  void SetLogUp(bool up) noexcept { log_up_ = up; }
  [[nodiscard]] bool LogUp() const noexcept { return log_up_; }
  /// The next batch for the log begins with a snapshot.
  void RequestLogSnapshot() noexcept { journal_.RequestLogSnapshot(); }
  /// @return whether the stream has to be read from its oldest record before this shard can serve.
  [[nodiscard]] bool WantsStream() const noexcept {
    return phase_ == phase::kReading && !stream_read_;
  }
  /// @return which reading of the stream is wanted; each has to begin at its oldest record.
  [[nodiscard]] std::uint64_t Reading() const noexcept { return reading_; }
  void OnStreamBatch(const std::string& author, const wire::shard_batch& batch);
  /// The stream was read to its end by a read begun at `asked_at`.
  void OnStreamEnd(time_point asked_at, const step_time& at, shard_output& out);

  // Planned stop.
  /// Gives the right to the witness; what is in flight must have ended before.
  void HandOver(const step_time& at, shard_output& out);
  void Resign(const step_time& at, shard_output& out);
  /// @return whether the witness may become the owner now: it is active, was not asked to resign,
  ///     and the log is up.
  [[nodiscard]] bool CanTransfer(time_point now) const;
  /// Asks for the next epoch for the witness. This owner serves until that record is on the log and
  /// the new owner asks for its consent, so that the shard always has two holders of its state.
  /// @param next_witness  of the new owner.
  /// @return false, and nothing happens, unless `CanTransfer` and this entry may act.
  bool BeginTransfer(const party& next_witness, const step_time& at, shard_output& out);
  /// Does what is due for a planned stop: resigns as a witness; as a holder ends what is in flight
  /// and gives the right up, to its witness or, `alone`, once another place has all that was told.
  /// @param alone  no witness is to be expected.
  void Leave(bool alone, const step_time& at, shard_output& out);
  /// @return whether nothing of the shard is lost where this process ends now.
  [[nodiscard]] bool HasLeft() const;
  /// Takes no new calls from now on.
  void BeginDrain() noexcept { draining_ = true; }
  void EndDrain() noexcept { draining_ = false; }
  /// @return whether the witness holds every record.
  [[nodiscard]] bool WitnessHasAll() const noexcept { return journal_.WitnessHasAll(); }

  void Tick(const step_time& at, shard_output& out);

  [[nodiscard]] shard_number number() const noexcept { return number_; }
  [[nodiscard]] const region_id& region() const noexcept { return region_; }
  [[nodiscard]] const shard_rights& rights() const noexcept { return rights_; }
  [[nodiscard]] bool Serving(time_point now) const noexcept {
    return phase_ == phase::kServing && rights_.MayAct(now);
  }
  /// @return what this owner tells everybody, or none where it doesn't serve.
  [[nodiscard]] std::optional<wire::shard_summary> Summary(time_point now) const;
  [[nodiscard]] std::map<customer_id, resources> Usage() const { return pool_.Usage(); }
  [[nodiscard]] std::size_t OpenRequests() const noexcept { return requests_.size(); }
  [[nodiscard]] const shard_state& state() const noexcept { return journal_.state(); }
  [[nodiscard]] boost::json::value Dump(time_point now) const;
  [[nodiscard]] std::vector<vm_explanation> Explain(const placement_request& request) const {
    return pool_.Explain(request);
  }

 private:
  enum class phase {
    kIdle,     ///< not the holder
    kReading,  ///< holds the right, reads the stream first
    /// Gave up its own right to activate the witness, or missed a renewal: does nothing, but keeps
    /// what is in flight, because nobody else may have acted when the right is back.
    kPaused,
    kServing,
  };

  void TakeRights(rights_output& rights, const step_time& at, shard_output& out);
  void OnAcquired(const right_event& event, const step_time& at, shard_output& out);
  void Pause(const step_time& at);
  void OnLost(const step_time& at, shard_output& out);
  [[nodiscard]] bool Holds() const noexcept {
    return phase_ == phase::kServing || phase_ == phase::kPaused;
  }
  void Serve(bool complete, const step_time& at, shard_output& out);
  void Pump(pool_output& pool, const step_time& at, shard_output& out);
  void Settle(const step_time& at, shard_output& out);
  void DeliverDurable(const step_time& at, shard_output& out);
  /// @return who has to have a record before it is told or acted on.
  [[nodiscard]] durable_by DurableBy() const;
  void Replicate(const step_time& at, shard_output& out);

  // Copies without a right: of a holder without a witness, and of a shard that nobody serves.
  /// A state that this entry has, as a holder or as a copy of a holder's.
  struct own_replica {
    replica_version version;
    const shard_state* state{nullptr};
  };
  /// @return the newest state here, or none.
  [[nodiscard]] std::optional<own_replica> NewestOwn() const;
  /// @return whether no other live entry is known to have the state that this one has of a shard
  ///   that nobody serves: where one could be given it, or where this one told what it holds.
  [[nodiscard]] bool OwesCopy() const;
  void NotePartner(const party& from, const wire::replicate& message);
  void SetPartner(const party& who, const replica_version& version);
  /// @return whether another live entry was told of a state as new as that one.
  [[nodiscard]] bool HasPartner(const replica_version& version) const;
  /// @return whether an entry lives and isn't leaving.
  [[nodiscard]] bool IsStaying(const std::optional<party>& who) const;
  /// @return whether another place has all that this holder told or acted on.
  [[nodiscard]] bool IsKeptElsewhere() const;
  /// @return whether this holder has no witness, or one that has fallen silent.
  [[nodiscard]] bool IsAlone(time_point now) const;
  [[nodiscard]] bool NeedsStandby(time_point now) const;
  void ReplicateToStandby(const step_time& at, shard_output& out);
  void SendToStandby(std::vector<wire::replicate> messages, shard_output& out) const;
  /// Gives the state of a shard that nobody serves to one more live entry.
  void PassOn(const step_time& at, shard_output& out);
  void OnStandbyAck(const party& from, const wire::replicate_ack& ack, const step_time& at);
  void OnStandbyReplicate(const party& from, const wire::replicate& message, shard_output& out);
  /// Asks the other entries for their states, as a claimant.
  void Search(const step_time& at, shard_output& out);
  /// Serves with the newest state once the stream was read and the entries have answered.
  void ServeWhenFound(const step_time& at, shard_output& out);
  void LoopBack(const step_time& at, shard_output& out);
  void TakeCapacity(const wire::capacity_message& message, const step_time& at, shard_output& out);
  void Dispatch(const step_time& at, shard_output& out);
  void Refuse(const call_origin& from, const error& why, shard_output& out) const;
  [[nodiscard]] bool CanAccept(time_point now) const;
  [[nodiscard]] bool Knows(const wire::job_spec& spec) const;
  [[nodiscard]] bool NeverFits(const wire::job_spec& spec) const;
  [[nodiscard]] std::uint64_t Term() const noexcept;
  [[nodiscard]] job_context JobContext(const step_time& at) { return {at.now, cell_}; }

  shard_number number_;
  region_id region_;
  shard_settings settings_;
  party self_;
  shard_rights rights_;
  shard_journal journal_;
  shard_replica replica_;
  shard_log_view log_view_;
  replica_search search_;
  cell_view cell_;
  vm_pool pool_;
  job_table jobs_;
  request_table requests_;
  executor_lane executors_;

  std::vector<resources> worker_sizes_;
  phase phase_{phase::kIdle};
  bool log_up_{false};
  bool draining_{false};
  bool replicating_{false};
  epoch_number replicating_epoch_{0};
  shard_peers peers_;
  standby_choice standby_;
  time_point pass_on_at_{};
  time_point alone_since_{kNever};   ///< without an active witness
  std::optional<party> partner_;     ///< the entry that last had all that this one had
  replica_version partner_version_;  ///< as of then
  shard_term replicated_term_;       ///< the newest whose holder had its state kept elsewhere
  durable_by kept_by_{durable_by::kNobody};

  bool stream_read_{false};
  time_point reading_since_{};
  std::uint64_t reading_{0};  ///< counts the readings begun
  time_point paused_until_{};
  std::map<shard_number, std::uint64_t> newest_terms_;  ///< of shards that sent messages
};

}  // namespace rosearch

#endif  // ROSEARCH_SHARD_SHARD_H_
