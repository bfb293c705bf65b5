#include "soak/world.h"

#include <algorithm>
#include <boost/json/serialize.hpp>
#include <chrono>
#include <iostream>

#include "rosearch/capacity/amounts.h"

namespace rosearch::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kEntries = 4;
constexpr std::size_t kWorkers = 8;
constexpr std::size_t kExecutors = 4;
constexpr std::int64_t kMaxEntryPpm = 4500;
constexpr std::int64_t kMaxWorkerPpm = 4000;
constexpr std::uint64_t kUnixStartMs = 1'700'000'000'000;
constexpr moment kListLag = 3 * kSecond;
constexpr moment kTick = 20 * kMillisecond;
constexpr moment kStopGrace = 30 * kSecond;

/// From an order that every live entry knows to the last start that may arrive for it: what was
/// written before may still be on its way.
constexpr moment kLeavingBy = 3 * kSecond;

node_settings SettingsOf(const entry_host& host, std::size_t index) {
  node_settings settings;
  settings.self = {entry_id{host.name}, host.run};
  settings.region = region_id{host.region};
  settings.failure_domain = failure_domain_id{"fd-" + std::to_string(index % 3)};
  settings.peer_address = host.address;
  settings.http_address = host.address;
  settings.region_of_shard = std::vector<region_id>(4, region_id{"south"});
  auto& rights = settings.shard.rights;
  rights.list_lag = duration{kListLag};
  rights.longest_lease =
      rights.Widened(rights.pair_proof_length + rights.right_length) + duration{1};
  rights.claim_interval = rights.right_length;
  settings.heartbeat = milliseconds{500};
  settings.silent_after = milliseconds{1500};
  settings.log_wait = milliseconds{300};
  settings.list_interval = milliseconds{500};
  settings.seed = host.run;
  return settings;
}

std::string IndexedName(const char* kind, std::size_t index) {
  return std::string{kind} + '-' + std::to_string(index);
}

}  // namespace

world::world(const run_options& options) : time{options}, checks{time} {
  for (std::size_t index = 0; index < kEntries; ++index) {
    auto& host = entries.emplace_back();
    host.name = IndexedName("entry", index);
    host.region = "south";
    host.address = "10.0.0." + std::to_string(index) + ":1";
    host.clock = {time.random.Between(kSecond, 1'000'000 * kSecond),
                  time.random.Between(-kMaxEntryPpm, kMaxEntryPpm)};
    host.wall_skew_ms = time.random.Between(-1000, 1000);
  }
  AddTargets();
  for (std::size_t index = 0; index < kEntries; ++index) {
    time.At(time.random.Between(0, 2 * kSecond), [this, index] { StartEntry(index); });
  }
}

void world::AddTargets() {
  for (std::size_t index = 0; index < kWorkers + kExecutors; ++index) {
    const bool works = index < kWorkers;
    wire::vm_record vm;
    vm.set_vm(works ? IndexedName("worker", index) : IndexedName("executor", index - kWorkers));
    vm.set_kind(works ? wire::VM_WORKER : wire::VM_EXECUTOR);
    vm.set_address(vm.vm());
    vm.set_region("south");
    vm.set_failure_domain("fd-" + std::to_string(index % 3));
    vm.set_rack("rack-" + std::to_string(index % 2));
    vm.set_instance(1);
    if (works) {
      vm.mutable_holds()->set_processors_milli(8000);
      vm.mutable_holds()->set_memory_mb(16000);
      const drifting_clock clock{time.random.Between(0, 1000 * kSecond),
                                 time.random.Between(-kMaxWorkerPpm, kMaxWorkerPpm)};
      auto& worker =
          workers.try_emplace(vm.vm(), clock, internal::FromWire(vm.holds())).first->second;
      worker.on_start = [this, name = vm.vm()](const auto& start) { OnStart(name, start); };
    } else {
      vm.set_slots(8);
      vm.set_connections(60);
      vm.set_service("fuel");
      executors[vm.vm()];
    }
    listed[vm.vm()] = vm;
  }
  NoteListChange();
}

// ---- entries

void world::StartEntry(std::size_t index) {
  auto& host = entries[index];
  if (host.node) {
    return;
  }
  host.run = ++runs_;
  host.frozen_until = host.stop_at = 0;
  host.stopping = false;
  host.version_seen = 0;
  host.healthy_since = time.now();
  host.ports = std::make_unique<fake_ports>(*this, index, host.run);
  host.node = std::make_unique<soak_node>(SettingsOf(host, index), *host.ports);
  wire::vm_record vm;
  vm.set_vm(host.name);
  vm.set_kind(wire::VM_ENTRY);
  vm.set_address(host.address);
  vm.set_region(host.region);
  vm.set_failure_domain("fd-" + std::to_string(index % 3));
  vm.set_instance(host.run);
  listed[host.name] = vm;
  NoteListChange();
  time.Trace("start " + host.name + " run=" + std::to_string(host.run));
  Tick(index, host.run);
}

void world::KillEntry(std::size_t index) {
  auto& host = entries[index];
  if (!host.node) {
    return;
  }
  time.Trace("end " + host.name);
  host.node.reset();
  host.ports.reset();
  time.After(time.random.Between(0, 5 * kSecond), [this, index, run = host.run] {
    const auto found = listed.find(entries[index].name);
    if (found != listed.end() && found->second.instance() == run) {
      listed.erase(found);
      NoteListChange();
    }
  });
  time.After(time.random.Between(2 * kSecond, 12 * kSecond), [this, index] { StartEntry(index); });
}

void world::StopEntry(std::size_t index) {
  auto& host = entries[index];
  if (host.node && host.stop_at == 0) {
    // The balancer stops sending calls first.
    host.stop_at = time.now() + 300 * kMillisecond;
    time.Trace("stop " + host.name);
  }
}

void world::FreezeEntry(std::size_t index, moment span) {
  auto& host = entries[index];
  if (host.node) {
    host.frozen_until = time.now() + span;
    host.healthy_since = host.frozen_until;
    time.Trace("freeze " + host.name + " us=" + std::to_string(span));
  }
}

step_time world::StepOf(const entry_host& host) const {
  const auto wall = static_cast<std::int64_t>(kUnixStartMs) + time.now() / kMillisecond;
  return {host.clock.At(time.now()), static_cast<std::uint64_t>(wall + host.wall_skew_ms)};
}

void world::Deliver(std::size_t index, incarnation_number run, moment when,
                    std::function<void(soak_node&, const step_time&)> input) {
  time.At(when, [this, index, run, input = std::move(input)]() mutable {
    auto& host = entries[index];
    if (!host.node || (run != 0 && host.run != run)) {
      return;
    }
    if (time.now() < host.frozen_until) {
      Deliver(index, run, host.frozen_until, std::move(input));
      return;
    }
    input(*host.node, StepOf(host));
  });
}

void world::Tick(std::size_t index, incarnation_number run) {
  Deliver(index, run, time.now() + kTick + Soon(3 * kMillisecond),
          [this, index, run](soak_node& node, const step_time& at) {
            auto& host = entries[index];
            if (host.stop_at != 0 && time.now() >= host.stop_at && !host.stopping) {
              host.stopping = true;
              node.BeginStop(at);
            }
            node.Tick(at);
            Tick(index, run);
            time.At(time.now(), [this, index, run] {
              if (entries[index].run == run) {
                LookAtStop(entries[index]);
              }
            });
          });
}

void world::LookAtStop(entry_host& host) {
  if (!host.node) {
    return;
  }
  const auto index = static_cast<std::size_t>(
      std::ranges::find(entries, host.name, &entry_host::name) - entries.begin());
  if (host.node->HistoryLost() || (host.stopping && host.node->Stopped())) {
    time.Trace("stopped " + host.name);
    KillEntry(index);
  } else if (host.stopping && time.now() - host.stop_at > kStopGrace) {
    if (time.options().faults != fault_mode::kMany) {
      time.Breach("graceful-stop", host.name + " did not end its planned stop in time");
    }
    KillEntry(index);
  }
}

std::optional<std::size_t> world::AnyReady() {
  std::vector<std::size_t> ready;
  for (std::size_t index = 0; index < entries.size(); ++index) {
    if (entries[index].node && entries[index].stop_at == 0) {
      ready.push_back(index);
    }
  }
  if (ready.empty()) {
    return std::nullopt;
  }
  return ready[static_cast<std::size_t>(
      time.random.Between(0, static_cast<std::int64_t>(ready.size()) - 1))];
}

// ---- looking

void world::Look() {
  for (std::size_t index = 0; index < entries.size(); ++index) {
    auto& host = entries[index];
    const bool cut = time.now() < std::max({log_down_until, log_slow_until, log_mute_until,
                                            host.cut_until, peers_slow_until});
    host.healthy_since = cut ? time.now() : host.healthy_since;
    if (host.node) {
      checks.OnVersion(host.name, host.node->ConfigurationRecord(), host.version_seen,
                       host.healthy_since);
    }
  }
  LookAtLeaving();
}

void world::LookAtLeaving() {
  for (const auto& [name, vm] : listed) {
    const bool all_know = std::ranges::all_of(entries, [&, &name = name](const entry_host& host) {
      if (!host.node || host.frozen_until > time.now()) {
        return !host.node;
      }
      const auto drains = host.node->Drains();
      const auto found = drains.find(name);
      const auto vms = host.node->Vms();
      return (found != drains.end() && found->second.leaving()) ||
             std::ranges::any_of(
                 vms, [&](const auto& each) { return each.vm() == name && each.leaving(); });
    });
    if (!all_know) {
      known_leaving_.erase(name);
    } else {
      known_leaving_.try_emplace(name, time.now());
    }
  }
}

void world::CheckLeaving(const std::string& vm) const {
  const auto known = known_leaving_.find(vm);
  if (known != known_leaving_.end() && time.now() - known->second > kLeavingBy) {
    time.Breach("leaving-targets", "new work at a leaving VM: " + vm);
  }
}

void world::OnStart(const std::string& vm, const wire::task_start& start) {
  const auto& name = start.ref().task();
  std::string line = "task " + name + " attempt=";
  line += std::to_string(start.ref().attempt());
  line += " at ";
  time.Trace(line += vm);
  for (const auto& [other, worker] : workers) {
    if (worker.Runs(name, time.now())) {
      auto text = name;
      text.append(" starts at ").append(vm).append(" and still runs at ").append(other);
      time.Breach("single-run", text);
    }
  }
  const auto sum = workers.at(vm).Running(time.now()) + internal::FromWire(start.needs());
  if (!sum.FitsIn(internal::FromWire(listed.at(vm).holds()))) {
    time.Breach("no-overcommit", vm + " runs more than it holds after the start of " + name);
  }
  CheckLeaving(vm);
  checks.OnTaskStart(vm, start, GangCommitted(checks.JobOfTask(name), start.ref().attempt()));
}

/// While neither a witness nor the log can take records, an owner goes on by its own state alone.
bool world::GangCommitted(const job_facts& job, std::uint32_t attempt) {
  return std::ranges::any_of(entries, [&](entry_host& host) {
    const auto entry =
        host.node ? host.node->JobHere(job.spec.customer(), job.spec.job()) : std::nullopt;
    return entry && std::ranges::all_of(entry->tasks, [&](const task_slot& slot) {
             return slot.state == wire::TASK_ENDED || (slot.attempt == attempt && !slot.held);
           });
  });
}

void world::PrintDumps() {
  for (auto& host : entries) {
    if (host.node) {
      std::cout << host.name << ' ' << host.node->Dump(StepOf(host)) << '\n';
    }
  }
}

// ---- the platform

void world::NoteListChange() {
  wire::vm_list_answer answer;
  for (const auto& [name, vm] : listed) {
    *answer.add_vms() = vm;
  }
  lists_.emplace_back(time.now(), std::move(answer));
  while (lists_.size() > 1 && lists_[1].first < time.now() - 2 * kListLag) {
    lists_.pop_front();
  }
}

wire::vm_list_answer world::ListAt(moment when) const {
  const auto* found = &lists_.front().second;
  for (const auto& [since, answer] : lists_) {
    found = since <= when ? &answer : found;
  }
  return *found;
}

void world::OnLogAppend(const std::string& stream, const std::vector<std::string>& records) {
  for (const auto& bytes : records) {
    wire::log_entry entry;
    if (!entry.ParseFromString(bytes)) {
      time.Breach("whole-answer", "unreadable record on " + stream);
    }
    time.TraceBytes("log " + stream, bytes);
    const auto& batch = entry.batch();
    if (batch.records_size() > 0) {
      time.Trace("batch " + stream + " by " + entry.author().entry() + '#' +
                 std::to_string(entry.author().incarnation()) +
                 " epoch=" + std::to_string(batch.epoch()) +
                 " first=" + std::to_string(batch.first_sequence()) +
                 " records=" + std::to_string(batch.records_size()) +
                 (batch.records(0).has_snapshot() ? " snapshot" : ""));
    }
    if (entry.has_control()) {
      checks.OnControlAppended(entry);
    }
    for (const auto& record : entry.batch().records()) {
      checks.OnRecord(record);
    }
  }
}

moment world::PeerDelay() {
  return time.now() < peers_slow_until ? time.random.Between(0, 4900 * kMillisecond)
                                       : Soon(2 * kMillisecond);
}

}  // namespace rosearch::soak
