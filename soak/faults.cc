#include "soak/faults.h"

#include <iterator>

namespace rosearch::soak {
namespace {

/// In single mode, time to recover from one fault before the next begins.
constexpr moment kRecover = 40 * kSecond;

/// More leaving workers would leave no room for what was accepted.
constexpr std::size_t kMostDrained = 3;

template <typename Map>
auto& Pick(Map& from, random_source& random) {
  return *std::next(from.begin(), random.Between(0, static_cast<std::int64_t>(from.size()) - 1));
}

}  // namespace

void faults::Step() {
  auto& time = world_.time;
  const auto mode = time.options().faults;
  if (mode == fault_mode::kNone || time.now() < next_at_) {
    return;
  }
  const bool many = mode == fault_mode::kMany;
  const auto span = time.random.Between(100 * kMillisecond, 12 * kSecond);
  next_at_ = time.now() + (many ? time.random.Between(kSecond, 8 * kSecond) : span + kRecover);
  const auto which = time.random.Between(0, 23);
  time.Trace("fault " + std::to_string(which) + " us=" + std::to_string(span));
  const auto index = static_cast<std::size_t>(time.random.Between(0, 3));
  if (which < 10) {
    Entry(which, index, span);
  } else if (which < 15) {
    Platform(which - 10, time.now() + span);
  } else if (which < 20) {
    Worker(which - 15, time.now() + span);
  } else if (which < 23) {
    Executor(which - 20, time.now() + span);
  } else {
    callers_.CancelWave();
  }
}

void faults::Entry(std::int64_t which, std::size_t index, moment span) {
  auto& time = world_.time;
  const auto other = (index + 1 + static_cast<std::size_t>(time.random.Between(0, 2))) % 4;
  switch (which) {
    case 0:
    case 1:
    case 2:
      world_.KillEntry(index);
      return;
    case 3:
    case 4:
      world_.StopEntry(index);
      return;
    case 5:
    case 6:
      world_.FreezeEntry(index, span);
      return;
    case 7:
      world_.cut_until[{index, other}] = time.now() + span;
      return;
    case 8:
      world_.entries[index].cut_until = time.now() + span;
      [[fallthrough]];
    default:
      for (std::size_t each = 0; each < world_.entries.size(); ++each) {
        world_.cut_until[{index, each}] = world_.cut_until[{each, index}] = time.now() + span;
      }
  }
}

void faults::Platform(std::int64_t which, moment until) {
  switch (which) {
    case 0:
      world_.log_down_until = until;
      return;
    case 1:
      world_.log_slow_until = until;
      return;
    case 2:
      world_.log_mute_until = until;
      return;
    case 3:
      world_.list_down_until = until;
      return;
    default:
      world_.peers_slow_until = until;
  }
}

void faults::Worker(std::int64_t which, moment until) {
  auto& random = world_.time.random;
  auto& [name, worker] = Pick(world_.workers, random);
  switch (which) {
    case 0:
      worker.frozen_until = until;
      return;
    case 1:
      worker.fails_until = until;
      return;
    case 2:
      worker.mute_until = until;
      return;
    case 3:
      worker.gone = true;
      world_.time.After(random.Between(0, 5 * kSecond),
                        [this, name = name] { ReplaceWorker(name); });
      return;
    default:
      if (random.Chance(0.5)) {
        worker.refuses_until = until;
      } else if (world_.drained.size() < kMostDrained) {
        Leave(name);
      }
  }
}

void faults::ReplaceWorker(const std::string& name) {
  world_.time.Trace("replace " + name);
  world_.workers.at(name).Replace(world_.time.now());
  auto& vm = world_.listed.at(name);
  vm.set_instance(vm.instance() + 1);
  world_.NoteListChange();
}

void faults::Executor(std::int64_t which, moment until) {
  auto& [name, executor] = Pick(world_.executors, world_.time.random);
  switch (which) {
    case 0:
      executor.slow_until = executor.mute_until = until;
      return;
    case 1:
      executor.refuses_until = until;
      return;
    default:
      executor.frozen_until = until;
  }
}

/// By an operator's order or by the list.
void faults::Leave(const std::string& vm) {
  world_.drained.insert(vm);
  world_.time.Trace("leaving " + vm);
  const auto entry = world_.AnyReady();
  if (entry && world_.time.random.Chance(0.5)) {
    world_.Deliver(
        *entry, world_.entries[*entry].run, world_.time.now() + kMillisecond,
        [vm](soak_node& node, const step_time& at) { (void)node.Drain(vm_id{vm}, true, at); });
    return;
  }
  world_.listed.at(vm).set_leaving(true);
  world_.NoteListChange();
}

void faults::EndAll() {
  const auto now = world_.time.now();
  world_.log_down_until = world_.log_slow_until = world_.log_mute_until = now;
  world_.list_down_until = world_.peers_slow_until = now;
  world_.cut_until.clear();
  for (auto& host : world_.entries) {
    host.frozen_until = std::min(host.frozen_until, now);
    host.cut_until = now;
  }
  for (auto& [name, worker] : world_.workers) {
    worker.frozen_until = worker.fails_until = worker.refuses_until = worker.mute_until = now;
  }
  for (auto& [name, executor] : world_.executors) {
    executor.frozen_until = executor.slow_until = now;
    executor.refuses_until = executor.mute_until = now;
  }
}

}  // namespace rosearch::soak
