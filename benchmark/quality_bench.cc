#include <benchmark/benchmark.h>

#include <cstdint>
#include <deque>
#include <queue>
#include <string>
#include <tuple>
#include <vector>

#include "benchmark/cell.h"

namespace rosearch::bench {
namespace {

constexpr int kArrivals = 20000;
constexpr std::int64_t kSecond = 1000;
constexpr std::int64_t kMinute = 60 * kSecond;
/// About so many tasks run at once, each for 1 to 10 minutes as declared.
constexpr std::int64_t kRunning = 1000;
constexpr std::int64_t kMeanDeclared = 5 * kMinute + kMinute / 2;
/// Queued tasks that are tried each time that something ends: work behind one that doesn't fit may
/// pass it.
constexpr std::size_t kTried = 32;

/// One task of the list, in milliseconds.
struct arrival {
  std::int64_t at{};
  std::int64_t runs_for{};
  commitment task;
};

/// The list that every policy gets: declared run times of 1 to 10 minutes, real ones off by up to a
/// factor 4 either way; sized by the declared ones to `percent` of a cell of `vms` VMs.
std::vector<arrival> DrawArrivals(int vms, std::int64_t percent, std::uint64_t seed) {
  const auto book = EmptyCell(vms);
  random_source random{seed};
  const auto mix = MixFor(book, kRunning, percent);
  std::vector<arrival> list;
  std::int64_t now = 0;
  for (int number = 0; number < kArrivals; ++number) {
    now += random.Between(0, 2 * kMeanDeclared / kRunning);
    const auto declared = random.Between(kMinute, 10 * kMinute);
    // Quarters of the declared time: 1/4 to 4 with the mean at about 1.
    const auto quarters = random.Chance(0.8) ? random.Between(1, 5) : random.Between(3, 16);
    list.push_back({now, declared * quarters / 4, DrawTask(random, number, mix)});
  }
  return list;
}

/// What a run over the list showed.
struct outcome_of_run {
  std::vector<std::int64_t> waits;
  double stranded{};   ///< mean share of all accelerators
  double committed{};  ///< mean share of all processors
  std::int64_t most_vms{};
};

/// @return the free accelerators beside which the smallest task that needs one no longer fits.
std::int64_t StrandedOn(const vm_state& vm, const resources& smallest) {
  const auto room = vm.Room();
  const bool usable =
      room.processors_milli >= smallest.processors_milli && room.memory_mb >= smallest.memory_mb;
  return usable ? 0 : room.accelerators;
}

/// Runs the list over a cell. The queue is in the order of arrival.
class run {
 public:
  run(int vms, const std::string& policy_name, const std::vector<arrival>& list)
      : book_{EmptyCell(vms)}, policy_{MakePolicy(policy_name, book_)}, list_{list} {
    std::int64_t processors = 0;
    for (const auto& each : list) {
      processors += each.task.needs.processors_milli;
    }
    const auto mean = processors / static_cast<std::int64_t>(list.size());
    // Half a mean task: what most of the work that needs an accelerator takes beside it.
    smallest_ = {mean / 2, mean, 1};
  }

  outcome_of_run Play() {
    for (const auto& each : list_) {
      EndUntil(each.at);
      waiting_.push_back(&each);
      StartWaiting(each.at);
      if (++seen_ % kSampled == 0) {
        Measure();
      }
    }
    while (!waiting_.empty() && !ends_.empty()) {
      EndUntil(std::get<0>(ends_.top()));
    }
    result_.stranded /= static_cast<double>(measured_);
    result_.committed /= static_cast<double>(measured_);
    return result_;
  }

 private:
  using end = std::tuple<std::int64_t, std::string>;
  static constexpr int kSampled = 50;

  void EndUntil(std::int64_t now) {
    while (!ends_.empty() && std::get<0>(ends_.top()) <= now) {
      const auto [at, task] = ends_.top();
      ends_.pop();
      book_.Free(task, 1);
      StartWaiting(at);
    }
  }

  void StartWaiting(std::int64_t now) {
    std::size_t tried = 0;
    for (auto each = waiting_.begin(); each != waiting_.end() && tried < kTried; ++tried) {
      each = Start(**each, now) ? waiting_.erase(each) : std::next(each);
    }
  }

  bool Start(const arrival& each, std::int64_t now) {
    const auto vm = policy_.Choose(book_, RequestOf(each.task));
    if (!vm || !book_.TryCommit(*vm, each.task)) {
      return false;
    }
    result_.waits.push_back(now - each.at);
    ends_.emplace(now + each.runs_for, each.task.task);
    return true;
  }

  void Measure() {
    std::int64_t stranded = 0;
    std::int64_t used = 0;
    for (const auto& [id, vm] : book_) {
      stranded += StrandedOn(vm, smallest_);
      used += vm.tasks.empty() ? 0 : 1;
    }
    const auto held = book_.TotalHeld();
    const auto share = [](std::int64_t part, std::int64_t whole) {
      return static_cast<double>(part) / static_cast<double>(std::max<std::int64_t>(1, whole));
    };
    result_.stranded += share(stranded, held.accelerators);
    result_.committed += share(book_.TotalCommitted().processors_milli, held.processors_milli);
    result_.most_vms = std::max(result_.most_vms, used);
    ++measured_;
  }

  ledger book_;
  policy policy_;
  const std::vector<arrival>& list_;
  resources smallest_;
  std::deque<const arrival*> waiting_;
  std::priority_queue<end, std::vector<end>, std::greater<>> ends_;
  outcome_of_run result_;
  std::int64_t seen_{};
  std::int64_t measured_{};
};

/// @return the fewest VMs of the cell with which 99 of 100 tasks start within a second.
int VmsNeeded(int vms, const std::string& policy_name, const std::vector<arrival>& list) {
  int low = 1;
  int high = vms * 2;
  while (low < high) {
    const auto middle = (low + high) / 2;
    const auto played = run{middle, policy_name, list}.Play();
    const bool enough =
        played.waits.size() == list.size() && Percentile(played.waits, 0.99) <= kSecond;
    high = enough ? middle : high;
    low = enough ? low : middle + 1;
  }
  return low;
}

constexpr int kVms = 96;

constexpr std::uint64_t kSeeds = 5;

/// range(0): the load in percent of a cell of 96 VMs. Counters are means over the seeds' lists.
void Quality(benchmark::State& state, const std::string& policy_name) {
  for (auto _ : state) {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      const auto list = DrawArrivals(kVms, state.range(0), seed);
      const auto played = run{kVms, policy_name, list}.Play();
      const auto add = [&state](const char* name, double value) {
        state.counters[name] += value / kSeeds;
      };
      add("never_started", static_cast<double>(list.size() - played.waits.size()));
      add("wait_p50_s", static_cast<double>(Percentile(played.waits, 0.5)) / 1e3);
      add("wait_p99_s", static_cast<double>(Percentile(played.waits, 0.99)) / 1e3);
      add("stranded_pct", played.stranded * 100);
      add("committed_pct", played.committed * 100);
      add("most_vms_used", static_cast<double>(played.most_vms));
      add("vms_needed", VmsNeeded(kVms, policy_name, list));
    }
  }
}

const bool kRegistered = [] {
  for (const std::string name : {"pack", "spread", "quick", "full_scan", "random", "two_choices"}) {
    const auto quality = [name](benchmark::State& state) { Quality(state, name); };
    benchmark::RegisterBenchmark(("quality/" + name).c_str(), quality)
        ->Arg(50)
        ->Arg(80)
        ->Iterations(1)
        ->Unit(benchmark::kMillisecond);
  }
  return true;
}();

}  // namespace
}  // namespace rosearch::bench
