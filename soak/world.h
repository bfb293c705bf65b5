#ifndef SOAK_WORLD_H_
#define SOAK_WORLD_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "rosearch/node/node.h"
#include "soak/promises.h"
#include "soak/targets.h"
#include "soak/timeline.h"
#include "support/fake_log.h"

namespace rosearch::soak {

class world;

/// The ports of one run of one entry, into the fakes of the world.
class fake_ports {
 public:
  fake_ports(world& all, std::size_t entry, incarnation_number run)
      : world_{all}, entry_{entry}, run_{run} {}

  void SendPeer(const std::string& address, const wire::peer_message& message);
  void Append(const journal::append_request& request);
  void Read(const log_question& question, const journal::read_request& request, duration wait);
  void GetVmList();
  void Exchange(shard_number shard, const worker_send& send);
  void Run(shard_number shard, const executor_send& send);

 private:
  world& world_;
  std::size_t entry_;
  incarnation_number run_;
};

using soak_node = basic_node<fake_ports>;

/// One entry VM, with at most one run of the program at a time.
struct entry_host {
  std::string name;
  std::string region;
  std::string address;
  drifting_clock clock;
  std::int64_t wall_skew_ms{0};
  incarnation_number run{0};
  std::unique_ptr<fake_ports> ports;
  std::unique_ptr<soak_node> node;  ///< null: no process runs
  moment frozen_until{0};
  moment cut_until{0};  ///< can't reach the platform
  moment healthy_since{0};
  moment stop_at{0};  ///< planned; 0: none
  bool stopping{false};
  config_version version_seen{0};
};

/// A cell: whole entries among fakes of the platform, the targets and the network.
class world {
 public:
  explicit world(const run_options& options);

  // Entries.
  void StartEntry(std::size_t index);
  void KillEntry(std::size_t index);
  void StopEntry(std::size_t index);
  void FreezeEntry(std::size_t index, moment span);
  /// Lets one run of an entry take in something: once it is not frozen, unless it is gone.
  void Deliver(std::size_t index, incarnation_number run, moment when,
               std::function<void(soak_node&, const step_time&)> input);
  [[nodiscard]] step_time StepOf(const entry_host& host) const;
  /// @return an entry that takes calls, or none.
  [[nodiscard]] std::optional<std::size_t> AnyReady();

  /// Checks what can be seen only by looking.
  void Look();
  void PrintDumps();
  void NoteListChange();
  [[nodiscard]] wire::vm_list_answer ListAt(moment when) const;
  [[nodiscard]] moment Soon(moment most) { return time.random.Between(200, most); }
  [[nodiscard]] moment PeerDelay();

  timeline time;
  promises checks;
  test::fake_log log;
  std::deque<entry_host> entries;
  std::map<std::string, wire::vm_record> listed;  ///< the truth that the list lags behind
  std::map<std::string, worker_fake> workers;
  std::map<std::string, executor_fake> executors;

  // Faults under way.
  moment log_down_until{0};
  moment log_slow_until{0};
  moment log_mute_until{0};  ///< answers are lost after the effect
  moment list_down_until{0};
  moment peers_slow_until{0};
  std::map<std::pair<std::size_t, std::size_t>, moment> cut_until;  ///< one way
  std::set<std::string> drained;

 private:
  friend class fake_ports;

  void AddTargets();
  void Tick(std::size_t index, incarnation_number run);
  void LookAtStop(entry_host& host);
  void LookAtLeaving();
  void OnLogAppend(const std::string& stream, const std::vector<std::string>& records);
  void OnStart(const std::string& vm, const wire::task_start& start);
  [[nodiscard]] bool GangCommitted(const job_facts& job, std::uint32_t attempt);
  void CheckLeaving(const std::string& vm) const;

  std::deque<std::pair<moment, wire::vm_list_answer>> lists_;
  std::map<std::string, moment> known_leaving_;  ///< since when each live entry knows
  std::map<std::pair<std::size_t, std::size_t>, moment> last_arrival_;
  incarnation_number runs_{0};
};

}  // namespace rosearch::soak

#endif  // SOAK_WORLD_H_
