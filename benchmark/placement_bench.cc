#include <benchmark/benchmark.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "benchmark/cell.h"
#include "rosearch/placement/never_fits.h"
#include "rosearch/placement/preemption.h"

namespace rosearch::bench {
namespace {

constexpr int kTasks = 16000;
const std::vector<std::string> kPolicies{"pack",      "spread", "quick",      "urgent",
                                         "full_scan", "random", "two_choices"};

std::int64_t NanosecondsSince(std::chrono::steady_clock::time_point start) {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::steady_clock::now() -
                                                              start)
      .count();
}

/// Runs `action` once and adds its time to `samples`.
template <typename Action>
void Sample(std::vector<std::int64_t>& samples, Action action) {
  const auto start = std::chrono::steady_clock::now();
  action();
  samples.push_back(NanosecondsSince(start));
}

void Report(benchmark::State& state, const std::vector<std::int64_t>& nanoseconds) {
  const auto micros = [&nanoseconds](double share) {
    return static_cast<double>(Percentile(nanoseconds, share)) / 1000.0;
  };
  state.counters["p50_us"] = micros(0.50);
  state.counters["p99_us"] = micros(0.99);
  state.counters["p999_us"] = micros(0.999);
}

/// A cell with 16,000 tasks and about 70% of its processors committed; the tasks are the smaller,
/// the fewer VMs there are.
class busy_cell {
 public:
  busy_cell(int vms, const std::string& policy_name)
      : book_{EmptyCell(vms)},
        policy_{MakePolicy(policy_name, book_)},
        mix_{MixFor(book_, kTasks, 70)} {
    for (int task = 0; task < kTasks; ++task) {
      Place(Draw());
    }
  }

  [[nodiscard]] commitment Draw() { return DrawTask(random_, next_++, mix_); }

  [[nodiscard]] std::optional<vm_id> Choose(const commitment& task) const {
    return policy_.Choose(book_, RequestOf(task));
  }

  bool Commit(const std::optional<vm_id>& vm, const commitment& task) {
    const bool done = vm && book_.TryCommit(*vm, task);
    if (done) {
      names_.push_back(task.task);
    }
    return done;
  }

  bool Place(const commitment& task) { return Commit(Choose(task), task); }

  void FreeRandom() {
    if (names_.empty()) {
      return;
    }
    const auto at =
        static_cast<std::size_t>(random_.Between(0, static_cast<std::int64_t>(names_.size()) - 1));
    book_.Free(names_[at], 1);
    names_[at] = names_.back();
    names_.pop_back();
  }

  /// Places all or none.
  bool PlaceGang(const std::vector<commitment>& gang) {
    std::size_t placed = 0;
    while (placed < gang.size() && Place(gang[placed])) {
      ++placed;
    }
    if (placed == gang.size()) {
      return true;
    }
    FreeLast(placed);
    return false;
  }

  void FreeLast(std::size_t count) {
    for (; count > 0; --count) {
      book_.Free(names_.back(), 1);
      names_.pop_back();
    }
  }

  [[nodiscard]] ledger& book() { return book_; }
  [[nodiscard]] const task_mix& mix() const { return mix_; }
  [[nodiscard]] std::size_t running() const { return names_.size(); }

 private:
  ledger book_;
  policy policy_;
  task_mix mix_;
  random_source random_{42};
  std::int64_t next_{};
  std::vector<std::string> names_;
};

/// One task ends, another one is placed: the percentiles are of the decision alone, the rate is of
/// decision and commitment together.
void Decide(benchmark::State& state, const std::string& policy_name) {
  busy_cell cell{static_cast<int>(state.range(0)), policy_name};
  std::vector<std::int64_t> decisions;
  std::int64_t spent = 0;
  std::int64_t placed = 0;
  for (auto _ : state) {
    cell.FreeRandom();
    const auto task = cell.Draw();
    std::optional<vm_id> vm;
    const auto start = std::chrono::steady_clock::now();
    Sample(decisions, [&] { vm = cell.Choose(task); });
    placed += cell.Commit(vm, task) ? 1 : 0;
    const auto time = NanosecondsSince(start);
    spent += time;
    state.SetIterationTime(static_cast<double>(time) / 1e9);
  }
  Report(state, decisions);
  state.counters["placements_per_s"] =
      static_cast<double>(placed) * 1e9 / static_cast<double>(std::max<std::int64_t>(1, spent));
  state.counters["tasks"] = static_cast<double>(cell.running());
}

/// The cell takes nothing more: half of the VMs have processors left and no memory, the other half
/// memory and no processors, so that the sum of the room promises what no VM has.
void DecideInFullCell(benchmark::State& state, const std::string& policy_name) {
  const auto vms = static_cast<int>(state.range(0));
  auto book = EmptyCell(vms);
  for (const auto& [id, vm] : book) {
    const auto room = vm.Room();
    const bool keep_processors = (std::hash<vm_id>{}(id)&1U) != 0;
    const resources needs = keep_processors ? resources{100, room.memory_mb, 0}
                                            : resources{room.processors_milli, 100, 0};
    (void)book.TryCommit(id, {"fill-" + id.value(), 1, needs, 0, true, ""});
  }
  const auto chooser = MakePolicy(policy_name, book);
  const placement_request request{{2000, 4000, 0}, 1, false, {}, "service-1"};
  std::vector<std::int64_t> decisions;
  for (auto _ : state) {
    Sample(decisions, [&] { benchmark::DoNotOptimize(chooser.Choose(book, request)); });
    state.SetIterationTime(static_cast<double>(decisions.back()) / 1e9);
  }
  Report(state, decisions);
}

void PlaceGangs(benchmark::State& state, const std::string& policy_name) {
  busy_cell cell{760, policy_name};
  std::vector<std::int64_t> gangs;
  std::int64_t failed = 0;
  for (auto _ : state) {
    std::vector<commitment> gang;
    for (std::int64_t member = 0; member < state.range(0); ++member) {
      gang.push_back(cell.Draw());
    }
    bool done = false;
    Sample(gangs, [&] { done = cell.PlaceGang(gang); });
    state.SetIterationTime(static_cast<double>(gangs.back()) / 1e9);
    if (done) {
      cell.FreeLast(gang.size());
    }
    failed += done ? 0 : 1;
  }
  Report(state, gangs);
  state.counters["failed"] = static_cast<double>(failed);
}

/// A wave of 5,000 cancels hits running tasks.
void CancelWave(benchmark::State& state) {
  std::vector<std::int64_t> cancels;
  for (auto _ : state) {
    busy_cell cell{760, "pack"};
    std::int64_t wave = 0;
    for (int count = 0; count < 5000; ++count) {
      Sample(cancels, [&] { cell.FreeRandom(); });
      wave += cancels.back();
    }
    state.SetIterationTime(static_cast<double>(wave) / 1e9);
  }
  Report(state, cancels);
}

/// An urgent request that fits nowhere, in a cell packed to the last.
void Preempt(benchmark::State& state) {
  busy_cell cell{static_cast<int>(state.range(0)), "pack"};
  const auto mean = cell.mix().processors_milli;
  const placement_request request{
      {mean * state.range(1), mean * state.range(1) * 2, 0}, 9, true, {}, "service-1"};
  auto filler = cell.Draw();
  do {
    filler = cell.Draw();
    filler.needs = {mean, mean * 2, 0};
  } while (cell.Place(filler));
  std::vector<std::int64_t> plans;
  std::size_t victims = 0;
  for (auto _ : state) {
    std::optional<preemption_plan> plan;
    Sample(plans, [&] { plan = PlanPreemption(cell.book(), request); });
    state.SetIterationTime(static_cast<double>(plans.back()) / 1e9);
    victims = plan ? plan->victims.size() : 0;
  }
  Report(state, plans);
  state.counters["victims"] = static_cast<double>(victims);
}

void CheckNeverFits(benchmark::State& state) {
  const auto book = EmptyCell(static_cast<int>(state.range(0)));
  std::vector<std::int64_t> checks;
  for (auto _ : state) {
    Sample(checks, [&] { benchmark::DoNotOptimize(NeverFits(book, {64000, 128000, 9})); });
    state.SetIterationTime(static_cast<double>(checks.back()) / 1e9);
  }
  Report(state, checks);
}

const bool kRegistered = [] {
  for (const auto& name : kPolicies) {
    const auto decide = [name](benchmark::State& state) { Decide(state, name); };
    auto* const decisions = benchmark::RegisterBenchmark(("decide/" + name).c_str(), decide);
    decisions->Arg(50)->Arg(190)->Arg(380)->Arg(760)->Iterations(50000)->UseManualTime();
    const auto full = [name](benchmark::State& state) { DecideInFullCell(state, name); };
    auto* const in_full = benchmark::RegisterBenchmark(("full_cell/" + name).c_str(), full);
    in_full->Arg(760)->Iterations(20000)->UseManualTime();
  }
  for (const auto& name : {"pack", "spread", "full_scan"}) {
    const auto gang = [name](benchmark::State& state) { PlaceGangs(state, name); };
    auto* const gangs = benchmark::RegisterBenchmark((std::string{"gang/"} + name).c_str(), gang);
    gangs->Arg(8)->Arg(64)->Iterations(2000)->UseManualTime();
  }
  benchmark::RegisterBenchmark("cancel_5000", CancelWave)->Iterations(3)->UseManualTime();
  benchmark::RegisterBenchmark("preempt", Preempt)
      ->ArgsProduct({{50, 190, 760}, {2, 24}})
      ->Iterations(2000)
      ->UseManualTime();
  benchmark::RegisterBenchmark("never_fits", CheckNeverFits)
      ->Arg(760)
      ->Iterations(20000)
      ->UseManualTime();
  return true;
}();

}  // namespace
}  // namespace rosearch::bench
