#ifndef ROSEARCH_NODE_NODE_H_
#define ROSEARCH_NODE_NODE_H_

#include <glog/logging.h>

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "rosearch/capacity/amounts.h"
#include "rosearch/journal/appender.h"
#include "rosearch/journal/stream_reader.h"
#include "rosearch/node/call_table.h"
#include "rosearch/node/control_state.h"
#include "rosearch/node/member_table.h"
#include "rosearch/node/node_ports.h"
#include "rosearch/node/node_settings.h"
#include "rosearch/node/shard_balance.h"
#include "rosearch/node/usage_delta.h"
#include "rosearch/placement/ledger.h"
#include "rosearch/placement/never_fits.h"
#include "rosearch/shard/shard.h"

namespace rosearch {

/// What became of a publish: the version now in force on the log, or why it has no effect.
using publish_done = std::function<void(result<config_version>)>;

/// What an entry counts of itself.
struct node_figures {
  std::size_t open_calls{0};
  std::size_t shards_served{0};
  std::size_t live_members{0};
  std::size_t log_waiting_records{0};
  std::size_t log_waiting_bytes{0};
  config_version version{0};  ///< of the configuration
  bool ready{false};
  bool log_up{false};

  friend bool operator==(const node_figures&, const node_figures&) = default;
};

/// One entry: its shards, each under its own lock, and what it knows of the cell under another.
///
/// Inputs may come from several threads. What a step asks for is handed to the ports while the lock
/// of its shard is held, so that messages of one shard leave in the order in which it decided them.
/// Locks are taken in the order: one shard, then the cell; never two shards.
template <node_ports Ports>
class basic_node {
 public:
  /// @param ports  outlives the node.
  basic_node(node_settings settings, Ports& ports);

  // Callers of this entry.
  /// Takes a call; `done` gets its final answer, possibly before this returns.
  void Call(wire::call call, time_point deadline, const step_time& at, call_done done);
  /// Publishes a configuration that replaces the version that it names.
  void Publish(wire::configuration_record record, time_point deadline, const step_time& at,
               publish_done done);
  /// Orders a VM to take no new work, or withdraws that.
  /// @return an error where the order can't be written down.
  [[nodiscard]] result<void> Drain(const vm_id& vm, bool leaving, const step_time& at);

  // From peers.
  void OnPeer(const wire::peer_message& message, const step_time& at);

  // From the platform.
  void OnAppended(std::uint64_t number, std::uint64_t first_offset, const step_time& at);
  void OnAppendFailed(std::uint64_t number, bool maybe_took_effect, const step_time& at);
  void OnLogRead(const log_question& question, const wire::log_read_answer& answer,
                 time_point asked_at, const step_time& at);
  void OnLogReadFailed(const log_question& question, const step_time& at);
  void OnVmList(const wire::vm_list_answer& answer, time_point asked_at, const step_time& at);
  void OnVmListFailed(const step_time& at);

  // From targets.
  void OnWorkerReport(shard_number shard, const vm_id& vm, const wire::worker_report& report,
                      time_point sent_at, const step_time& at);
  void OnWorkerFailed(shard_number shard, const vm_id& vm, const error& failure, time_point sent_at,
                      const step_time& at);
  void OnExecutorAnswer(shard_number shard, std::uint64_t ticket, std::uint32_t attempt,
                        const result<wire::call_answer>& answer, const step_time& at);

  /// Does what is due. To be called every 20 ms or so.
  void Tick(const step_time& at);

  /// Begins the planned stop: takes no new calls, ends what is in flight, hands its shards over.
  void BeginStop(const step_time& at);
  /// @return whether nothing is left to do before the process may end.
  [[nodiscard]] bool Stopped() const;

  /// @return whether this entry knows the configuration in force and takes calls.
  [[nodiscard]] bool Ready() const;
  [[nodiscard]] std::shared_ptr<const config::configuration> Configuration() const;
  [[nodiscard]] wire::configuration_record ConfigurationRecord() const;
  [[nodiscard]] std::vector<config::change_verdict> History() const;
  /// @return the lowest version in force at any member heard lately.
  [[nodiscard]] config_version LowestVersion(time_point now) const;
  [[nodiscard]] bool HistoryLost() const;
  [[nodiscard]] shard_number ShardCount() const noexcept {
    return static_cast<shard_number>(slots_.size());
  }
  /// @return the shard of a job or of a non-idempotent request.
  [[nodiscard]] shard_number HomeOf(const std::string& customer, const std::string& name) const {
    return HomeShard(customer, name, ShardCount());
  }
  /// @return the newest VM list.
  [[nodiscard]] std::vector<wire::vm_record> Vms() const;
  [[nodiscard]] std::map<std::string, wire::drain_order> Drains() const;
  /// @return whether some VM that is listed could hold a task of that size when empty.
  [[nodiscard]] bool FitsSomewhere(const resources& needs) const;
  /// @return the listed worker that comes closest to holding a task of that size, if there is any.
  [[nodiscard]] std::optional<closest_vm> ClosestWorker(const resources& needs) const;
  /// @return a copy of a job as this entry has it while it holds the job's home shard, or none.
  [[nodiscard]] std::optional<job_entry> JobHere(const std::string& customer,
                                                 const std::string& job);
  [[nodiscard]] boost::json::value Dump(const step_time& at);
  /// @return figures for the metrics, cheaper than a dump.
  [[nodiscard]] node_figures Figures(time_point now) const;
  [[nodiscard]] std::vector<vm_explanation> Explain(const placement_request& request,
                                                    const step_time& at);

 private:
  /// A move of a shard to its witness.
  struct pending_move {
    party to;
    party next_witness;  ///< of the entry that it moves to
    time_point until;    ///< when it is given up
    bool sent{false};    ///< the record that gives the shard away was handed to the log
  };

  struct slot {
    slot(shard_number number, const node_settings& settings)
        : value{number, settings.region_of_shard[number], settings.self, settings.shard,
                settings.seed + number} {}

    std::mutex mutex;
    shard value;
    std::optional<journal::stream_reader> reader;  ///< while the shard reads its stream
    std::uint64_t reading{0};                      ///< which reading of the shard the reader is for
    bool read_under_way{false};
    bool append_under_way{false};
    bool served{false};
    std::string listed;  ///< the VM list that was passed on last, serialized
    time_point next_claim{};
    time_point snapshot_at{};
    time_point served_at{};  ///< when somebody last said that it serves the shard
    std::optional<pending_move> move;
  };

  struct local_message {
    shard_number shard{0};
    std::variant<wire::capacity_message, std::pair<std::uint64_t, wire::call_answer>,
                 std::pair<call_origin, wire::call>, std::uint64_t>
        what;  ///< capacity, a delegated answer, a call, a sequence that is durable
  };

  struct pending_publish {
    publish_done done;
    time_point deadline;
  };

  struct cell_state {
    mutable std::mutex mutex;
    member_table members;
    control_state control;
    journal::appender appender;
    journal::stream_reader reader;
    call_table calls;
    cell_view view;
    std::deque<local_message> inbox;
    std::map<journal::ticket, std::pair<shard_number, std::uint64_t>> tickets;
    std::multimap<std::string, pending_publish> publishes;  ///< by change id
    std::vector<wire::vm_record> vms;
    std::map<shard_number, std::pair<std::uint64_t, entry_id>> routes;  ///< term and server
    std::map<shard_number, epoch_number> settled;  ///< below it nobody can act any more
    bool control_read_under_way{false};
    time_point control_read_at{};
    time_point log_read_at{time_point::min()};  ///< last read that was answered
    std::optional<time_point> told_log_end;
    bool list_under_way{false};
    time_point list_at{};
    time_point beat_at{};
    config_version offered_version{0};
    time_point offered_since{};
    std::map<entry_id, time_point> offered_at;
    usage_teller usage_told;
    usage_memory usage_heard;
    time_point balance_at{kNever};
    time_point tell_peers_at{};
    time_point snapshot_at{kNever};
    time_point started_at{time_point::min()};
    bool announced{false};
    bool config_known{false};
    bool history_lost{false};
    bool stopping{false};
    time_point stop_at{};
    std::uint32_t farewells{0};
  };

  template <typename Step>
  void WithShard(shard_number number, const step_time& at, Step step);
  /// The same for a number that came from a peer: nothing happens where the cell has no such shard.
  template <typename Step>
  void WithKnownShard(shard_number number, const step_time& at, Step step);
  void Emit(slot& from, shard_output& out, const step_time& at);
  void AppendForShard(slot& from, const step_time& at);
  void ReadForShard(slot& from);
  void DrainInbox(const step_time& at);
  void Deliver(const local_message& message, const step_time& at);

  // With the lock of the cell held.
  void SendTo(const party& to, wire::peer_message message);
  void Answer(const call_origin& to, wire::call_answer answer, time_point now);
  void Route(const wire::capacity_message& message);
  [[nodiscard]] std::optional<entry_id> ServerOf(shard_number shard) const;
  void SendDueCalls(time_point now);
  void SendCall(std::uint64_t number, time_point now);
  void DelegateLocked(shard_number from, const delegated_send& send, time_point now);
  void AppendControl(wire::control_record record, time_point now);
  void PumpAppender(time_point now);
  void TakeAppenderOutput(journal::appender_output& out);
  void AskLog(time_point now);
  void AskVmList(time_point now);
  void Beat(time_point now);
  [[nodiscard]] bool OffersConfiguration(const entry_id& entry, const member& known,
                                         time_point now);
  void EndPublishes(const control_change& change, time_point now);
  [[nodiscard]] wire::entry_announcement Announcement() const;
  [[nodiscard]] bool LogUp(time_point now) const;
  void LearnConfigurationFromPeers(time_point now);

  void OnControlEvents(const std::vector<journal::stream_event>& events, const step_time& at);
  void OnHeartbeat(const wire::heartbeat& beat, const step_time& at);
  void TellQuotas(const step_time& at);
  void TellShards(const control_change& change, const step_time& at);
  /// Tells each shard which other entries may keep its state.
  void TellPeers(const step_time& at);
  /// @param live  members heard lately and not leaving.
  [[nodiscard]] shard_peers PeersFor(shard_number number, const std::vector<const member*>& live,
                                     time_point now) const;
  void Balance(const step_time& at);
  void BalanceShard(shard_number number, const std::vector<const member*>& live,
                    const std::vector<party>& candidates, bool claims, const step_time& at);
  void KeepSnapshot(slot& item, const step_time& at);
  void BeginMove(const std::vector<shard_number>& mine, const party& to, const step_time& at);
  void ContinueMove(slot& item, const step_time& at, shard_output& out);
  void StopShard(slot& item, const step_time& at, shard_output& out);
  [[nodiscard]] shard_number ShardOfVm(const wire::vm_record& vm) const;

  node_settings settings_;
  Ports& ports_;
  std::vector<std::unique_ptr<slot>> slots_;
  cell_state cell_;
};

}  // namespace rosearch

#include "rosearch/node/internal/node_balance.h"   // IWYU pragma: export
#include "rosearch/node/internal/node_messages.h"  // IWYU pragma: export
#include "rosearch/node/internal/node_platform.h"  // IWYU pragma: export
#include "rosearch/node/internal/node_shards.h"    // IWYU pragma: export
#include "rosearch/node/internal/node_upkeep.h"    // IWYU pragma: export
#include "rosearch/node/internal/node_views.h"     // IWYU pragma: export

#endif  // ROSEARCH_NODE_NODE_H_
