#ifndef ROSEARCH_CAPACITY_VM_POOL_H_
#define ROSEARCH_CAPACITY_VM_POOL_H_

#include <boost/json/value.hpp>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "rosearch/capacity/attempt_key.h"
#include "rosearch/capacity/ended_memory.h"
#include "rosearch/capacity/hold_table.h"
#include "rosearch/capacity/placement_record.h"
#include "rosearch/capacity/pool_output.h"
#include "rosearch/capacity/pool_settings.h"
#include "rosearch/capacity/urgent_queue.h"
#include "rosearch/capacity/worker_vm.h"
#include "rosearch/core/error.h"
#include "rosearch/core/id.h"
#include "rosearch/core/resources.h"
#include "rosearch/placement/explain.h"
#include "rosearch/placement/ledger.h"
#include "rosearch/placement/placement_request.h"
#include "rosearch/placement/vm_health.h"

namespace rosearch {

/// What the owner of a shard does with the shard's worker VMs: commits their resources, starts
/// tasks under leases, renews, checkpoints and stops them, and adopts what runs after a takeover.
/// Reads no clock; the same calls always give the same output. Not thread-safe.
///
/// Final events (refused, ended, lost) are repeated until the home shard acknowledges that very
/// kind. `PLACE_HELD` and `PLACE_STARTED` are sent again whenever the home shard repeats its
/// message.
class vm_pool {
 public:
  vm_pool(shard_number shard, pool_settings settings);

  /// Takes in the workers of this shard as now listed; one that is missing is gone.
  void OnVmList(const std::vector<wire::vm_record>& workers, time_point now, pool_output& out);
  /// Takes in an operator's order, or its withdrawal. A VM that leaves gets no start from now on.
  void OnDrain(const vm_id& vm, bool leaving, time_point now, pool_output& out);

  /// Begins to act on the shard, after every earlier owner has certainly stopped.
  /// @param placements  made and not ended, from the shard's records.
  /// @param complete  false: records may be missing.
  void OnAcquired(epoch_number epoch, const std::vector<wire::placement_made>& placements,
                  bool complete, time_point now, pool_output& out);
  /// Drops everything and acts no more.
  void OnLost(time_point now);

  /// Takes in a message of a home shard.
  void OnMessage(const wire::capacity_message& message, time_point now, pool_output& out);
  /// Takes in that a record is durable, in the order of `pool_output::records`.
  void OnDurable(const wire::shard_record& record, time_point now, pool_output& out);

  /// Takes in the answer to an exchange.
  /// @param sent_at  the last moment at which the command was written.
  void OnReport(const vm_id& vm, const wire::worker_report& report, time_point sent_at,
                time_point now, pool_output& out);
  /// Takes in that an exchange has no answer.
  /// @param failure  `kTargetUnreachable`: nothing arrived; any other kind: it may have arrived,
  ///   or may still arrive until `transit` after `sent_at`.
  void OnExchangeFailed(const vm_id& vm, const error& failure, time_point sent_at, time_point now,
                        pool_output& out);
  /// Does what is due: exchanges, deadlines, lapses, repeated events. Call it every 50 ms or so.
  void Tick(time_point now, pool_output& out);

  [[nodiscard]] bool acting() const noexcept { return acting_; }
  /// @return whether the shard's records hold all that runs. While they don't, a successor is
  ///   incomplete too, whatever it read: the caller keeps this with the shard.
  [[nodiscard]] bool complete() const noexcept { return complete_; }
  /// @return the largest free amount of each part over the open VMs.
  [[nodiscard]] wire::resource_amounts LargestRoom() const;
  /// @return what is left on all open VMs together.
  [[nodiscard]] wire::resource_amounts TotalRoom() const;
  /// @return what is committed for each customer, holds included.
  [[nodiscard]] std::map<customer_id, resources> Usage() const;
  /// @return why each VM can or can't take a request now.
  [[nodiscard]] std::vector<vm_explanation> Explain(const placement_request& request) const;
  /// @return the state for a person to read.
  [[nodiscard]] boost::json::value Dump(time_point now) const;

 private:
  using worker_vm = internal::worker_vm;
  using urgent_wait = internal::urgent_wait;
  using vm_map = std::map<vm_id, worker_vm>;
  using placement_map = std::map<attempt_key, placement_record>;

  /// How an attempt ended, before it is told.
  struct verdict {
    wire::place_event_kind kind{wire::PLACE_ENDED};
    std::optional<error_kind> failure{};  ///< none: done
    std::string detail{};
    std::string body{};
    bool refused_by_worker{};
  };

  // From home shards.
  void Place(const wire::place_task& place, shard_number home, time_point now, pool_output& out);
  void PlaceNew(const wire::place_task& place, shard_number home, time_point now, pool_output& out);
  void Commit(const attempt_key& key, shard_number home, time_point now, pool_output& out);
  void Stop(const attempt_key& key, shard_number home, time_point now, pool_output& out);
  void Acknowledge(const wire::place_ack& ack, time_point now, pool_output& out);
  void AdoptHome(placement_record& record, shard_number home, const wire::placement_made* want,
                 pool_output& out);
  [[nodiscard]] bool AnswerKnown(const attempt_key& key, shard_number home,
                                 const wire::placement_made* want, time_point now,
                                 pool_output& out);
  [[nodiscard]] bool AnswerUnproved(const attempt_key& key, shard_number home, time_point now,
                                    pool_output& out);
  void Preempt(wire::placement_made made, const placement_request& request, time_point now,
               pool_output& out);
  void Refuse(const attempt_key& key, shard_number home, const verdict& how, time_point now,
              pool_output& out);

  // Placements.
  [[nodiscard]] static commitment CommitmentOf(const wire::placement_made& made);
  void Journal(const attempt_key& key, wire::placement_made made, time_point now, pool_output& out);
  void Forget(const attempt_key& key, const ended_attempt& ended);
  static void JournalFreed(const attempt_key& key, const wire::ending& how, pool_output& out);
  void StopPlacement(const attempt_key& key, stop_cause cause, time_point now, pool_output& out);
  void Finish(const attempt_key& key, const verdict& how, time_point now, pool_output& out);
  void FinishNotSent(const attempt_key& key, time_point now, pool_output& out);
  void DropHold(const attempt_key& key, const verdict& how, time_point now, pool_output& out);
  void Rate(const placement_record& record, const verdict& how, time_point now);

  // VMs.
  worker_vm& AddVm(const vm_id& vm, time_point now);
  void UpdateListed(const wire::vm_record& listed, time_point now, pool_output& out);
  void FailUnsent(worker_vm& vm, time_point now, pool_output& out);
  void Drain(const vm_id& vm, time_point now, pool_output& out);
  void ServeUrgent(const vm_id& vm, time_point now, pool_output& out);
  void UpdateOpen(const vm_id& vm, time_point now);
  void LapseLeases(const vm_id& vm, time_point now, pool_output& out);
  void Settle(time_point now, pool_output& out);
  [[nodiscard]] bool SettleVm(const vm_id& vm, time_point now, pool_output& out);

  // Workers.
  void Pump(const vm_id& vm, time_point now, pool_output& out);
  [[nodiscard]] session_wants WantsOf(const worker_vm& vm, time_point now) const;
  [[nodiscard]] wire::task_start StartOf(const attempt_key& key, const placement_record& record,
                                         const worker_vm& vm) const;
  void LandStarts(const worker_flight& flight, bool arrived, time_point sent_at, time_point now,
                  pool_output& out);
  void Apply(const vm_id& vm, const wire::task_report& report, time_point sent_at, time_point now,
             pool_output& out);
  void ApplyUnknown(const vm_id& vm, const wire::task_report& report, time_point sent_at,
                    time_point now, pool_output& out);
  void ApplyRunning(const attempt_key& key, placement_record& record, pool_output& out);
  void ApplyAbsent(worker_vm& vm, const wire::worker_report& report, time_point sent_at,
                   time_point now, pool_output& out);

  // Events.
  void Send(wire::place_event event, pool_output& out) const;
  [[nodiscard]] wire::place_event EventOf(const attempt_key& key, shard_number home,
                                          const std::string& vm, const verdict& how) const;

  shard_number shard_;
  pool_settings settings_;
  epoch_number epoch_{};
  time_point acquired_at_{};
  time_point proved_at_{};  ///< from here on nothing unknown runs on a worker not heard of
  time_point complete_at_{};
  bool acting_{false};
  bool complete_{false};

  std::map<vm_id, wire::vm_record> listed_;
  std::set<vm_id> drains_;
  std::map<shard_number, epoch_number> home_epochs_;

  ledger ledger_;
  vm_health health_;
  vm_map vms_;
  placement_map placements_;
  hold_table holds_;
  ended_memory ended_;
  internal::urgent_queue urgent_;
  std::map<attempt_key, shard_number> stop_wishes_;  ///< stops of what may turn up on a worker
  std::set<vm_id> touched_;
};

}  // namespace rosearch

#endif  // ROSEARCH_CAPACITY_VM_POOL_H_
