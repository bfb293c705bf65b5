// What deciding costs a leader, by the number of its workers.
#include <benchmark/benchmark.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "rosearch/sched/scheduler.h"

namespace rosearch::sched {
namespace {

using std::chrono::milliseconds;

constexpr const char* kQueue = "cell.test/jobs/";
constexpr std::uint32_t kTasks = 10;
/// Share of a pool's room that services take, which run all the time.
constexpr double kServices = 0.5;
/// Workers that answer a successor between two of its passes.
constexpr std::size_t kReportsPerPass = 8;

class no_log final : public event_sink {
 public:
  void Write(const event_line&) override {}
};

/// A scheduler whose workers, store and advice answer at once.
class full_cell {
 public:
  explicit full_cell(std::size_t workers) : leader_{scheduler_settings{}, 1, log_} {
    cell_configuration made;
    made.version = 1;
    made.queues = {
        {"quick", "cell.test", "/jobs/", "pool", 0, 2, 1.5, milliseconds{250},
         advice_cost{milliseconds{39}, std::chrono::microseconds{559}, milliseconds{2'500}}}};
    made.pools = {{"pool", false, false}};
    leader_.Configure(made, now_);
    for (std::size_t at = 0; at < workers; ++at) {
      leader_.ObserveWorker(Facts(at), now_);
    }
    leader_.FinishRestore(now_);
    Store();
    for (const auto& id : leader_.WatchedWorkers()) {
      leader_.OnReport(id, now_.steady, {}, now_);
    }
    Store();
    const auto services = static_cast<std::size_t>(kServices * static_cast<double>(workers));
    for (std::size_t at = 0; at < services; ++at) {
      HandIn(true);
      Settle(false);
    }
  }

  /// Hands in jobs that nothing is done about.
  void LeaveWaiting(std::size_t jobs) {
    for (std::size_t at = 0; at < jobs; ++at) {
      HandIn(false);
    }
  }

  /// Has a successor read what this leader left, and hear each worker once.
  void TakeOver() const {
    no_log log;
    auto now = now_;
    scheduler next{scheduler_settings{}, 2, log};
    next.Configure(leader_.configuration(), now);
    for (const auto& [key, value] : kept_) {
      (void)next.Restore({key, value}, now);
    }
    next.FinishRestore(now);
    const auto ids = leader_.WatchedWorkers();
    for (std::size_t at = 0; at < ids.size(); ++at) {
      next.ObserveWorker(Facts(at), now);
    }
    for (std::size_t at = 0; at < ids.size(); ++at) {
      const auto id = Facts(at).id;
      const auto runs = running_.find(id);
      worker_report report;
      if (runs != running_.end()) {
        report.running = runs->second;
      }
      (void)next.NextWatch(id, now);
      next.OnReport(id, now.steady, report, now);
      now.steady += std::chrono::microseconds{500};
      if (at % kReportsPerPass == 0) {
        next.Schedule(now);
        benchmark::DoNotOptimize(next.TakeOrders());
      }
    }
  }

  /// Hands in a job and takes it to its end.
  void ServeOne() {
    HandIn(false);
    Settle(true);
    now_.steady += milliseconds{4};
    now_.wall_ms += 4;
  }

 private:
  void HandIn(bool service) {
    job_spec job;
    job.id = "job-" + std::to_string(next_job_++);
    job.queue = kQueue;
    job.pool = "pool";
    job.max_attempts = 2;
    job.steps.resize(1);
    job.steps[0].count = kTasks;
    job.steps[0].need = {service ? 1'600 : 800, 1'000, 0};
    job.steps[0].estimate = milliseconds{640};
    job.steps[0].service = service;
    job.objective = milliseconds{1'210};
    (void)leader_.Submit(std::move(job), now_);
    Store();
  }
  [[nodiscard]] static worker_facts Facts(std::size_t number) {
    worker_facts facts;
    facts.id = "worker-" + std::to_string(number);
    facts.address = "10.0.0.1:80";
    facts.pool = "pool";
    facts.capacity = {16'000, 32'768, 0};
    return facts;
  }
  void Store() {
    const auto batch = leader_.TakeBatch();
    for (const auto& record : batch.records) {
      kept_[record.key] = record.value;
    }
    leader_.OnStored(batch.number, now_);
  }
  /// Carries orders out until there are none.
  void Settle(bool ends) {
    std::vector<start_order> started;
    for (;;) {
      leader_.Schedule(now_);
      const auto orders = leader_.TakeOrders();
      if (orders.empty()) {
        break;
      }
      for (const auto& each : orders) {
        if (const auto* const query = std::get_if<advice_query>(&each)) {
          Advise(*query);
        } else if (const auto* const start = std::get_if<start_order>(&each)) {
          leader_.OnStartAnswer(*start, start_outcome::kStarted, now_);
          started.push_back(*start);
        }
      }
    }
    for (const auto& each : started) {
      auto& runs = running_[each.worker];
      runs.push_back({each.task, each.run, {}, 100, 0});
      if (!ends) {
        continue;
      }
      runs.pop_back();
      worker_report report;
      report.running = runs;
      report.ended.push_back({++ended_[each.worker], each.task, each.run, end_kind::kDone, {}});
      leader_.OnReport(each.worker, now_.steady, report, now_);
    }
    Store();
    (void)leader_.TakeSettled();
    (void)leader_.TakeWorkersWithStoredEnds();
    (void)leader_.TakeTimings();
  }
  void Advise(const advice_query& query) {
    std::vector<advised_worker> allowed;
    for (std::size_t at = 0; at < query.workers.size(); ++at) {
      if (at % 10 < 7) {
        allowed.push_back({query.workers[at], "ticket"});
      }
    }
    leader_.OnAdvice(query, &allowed, now_);
  }

  no_log log_;
  instant now_{time_point{std::chrono::seconds{100}}, 100'000};
  scheduler leader_;
  std::uint64_t next_job_{1};
  std::unordered_map<std::string, std::vector<running_row>> running_;  ///< by worker
  std::unordered_map<std::string, std::uint64_t> ended_;               ///< by worker
  std::unordered_map<std::string, std::string> kept_;                  ///< records, by key
};

/// A cell full of the long tasks of one customer, and waiting steps of others.
class contended_cell {
 public:
  static constexpr std::size_t kWorkers = 760;
  static constexpr std::uint32_t kTasksPerWorker = 21;
  static constexpr int kCustomers = 20;

  explicit contended_cell(bool shares) : leader_{Settings(shares), 1, log_} {
    cell_configuration made;
    made.version = 1;
    made.queues = {
        {"quick", "cell.test", "/jobs/", "pool", 0, 2, 1.5, milliseconds{250}, std::nullopt}};
    made.queues.push_back(
        {"long", "cell.test", "/plans/", "pool", 2, 2, 2.2, milliseconds{1'200}, std::nullopt});
    made.pools = {{"pool", false, false}};
    for (int at = 0; at < kCustomers; ++at) {
      made.customers.push_back({"c" + std::to_string(at), kRate, {}, {}});
    }
    leader_.Configure(made, now_);
    for (std::size_t at = 0; at < kWorkers; ++at) {
      worker_facts facts;
      facts.id = "worker-" + std::to_string(at);
      facts.address = "10.0.0.1:80";
      facts.pool = "pool";
      facts.capacity = {std::int64_t{kTasksPerWorker} * 1'000, 65'536, 0};
      leader_.ObserveWorker(facts, now_);
    }
    leader_.FinishRestore(now_);
    Store();
    for (const auto& id : leader_.WatchedWorkers()) {
      leader_.OnReport(id, now_.steady, {}, now_);
    }
    Store();
    HandIn("/plans/", 0, kWorkers * kTasksPerWorker, std::chrono::seconds{60});
    leader_.Schedule(now_);
    for (const auto& each : leader_.TakeOrders()) {
      if (const auto* const start = std::get_if<start_order>(&each)) {
        leader_.OnStartAnswer(*start, start_outcome::kStarted, now_);
      }
    }
    Advance(milliseconds{1'000});
  }
  void HandIn(const std::string& path, int customer, std::uint32_t tasks, duration estimate) {
    job_spec job;
    job.id = "job-" + std::to_string(next_job_++);
    job.queue = "cell.test" + path;
    job.pool = "pool";
    job.max_attempts = 2;
    job.customer = "c" + std::to_string(customer);
    job.steps.resize(1);
    job.steps[0].count = tasks;
    job.steps[0].need = {1'000, 1'000, 0};
    job.steps[0].estimate = estimate;
    job.steps[0].checkpoints = true;
    job.objective = std::chrono::minutes{10};
    (void)leader_.Submit(std::move(job), now_);
    Store();
  }
  void Advance(duration span) {
    now_.steady += span;
    now_.wall_ms += std::chrono::duration_cast<milliseconds>(span).count();
  }
  /// @return the number of steps that were tried.
  std::uint64_t Pass() {
    const auto before = leader_.PlacementAttempts();
    leader_.Schedule(now_);
    benchmark::DoNotOptimize(leader_.TakeOrders());
    return leader_.PlacementAttempts() - before;
  }

 private:
  static constexpr double kRate = 1'000;
  static scheduler_settings Settings(bool shares) {
    scheduler_settings settings;
    if (!shares) {
      settings.off.Add(mechanism::kShares);
    }
    return settings;
  }
  void Store() {
    const auto batch = leader_.TakeBatch();
    leader_.OnStored(batch.number, now_);
  }

  no_log log_;
  instant now_{time_point{std::chrono::seconds{100}}, 100'000};
  scheduler leader_;
  std::uint64_t next_job_{1};
};

/// One pass over waiting steps of customers within their rates, each of which may reclaim room or
/// waits for stopped runs; items are steps. The second argument tells whether shares are in use.
void DecideInFullCell(benchmark::State& state) {
  contended_cell cell{state.range(1) != 0};
  for (int at = 0; at < state.range(0); ++at) {
    cell.HandIn("/plans/", 1 + at % (contended_cell::kCustomers - 1), kTasks,
                std::chrono::seconds{20});
  }
  (void)cell.Pass();  // logs what each step waits for, which isn't measured here
  cell.Advance(milliseconds{300});
  std::int64_t steps = 0;
  for (auto _ : state) {
    cell.Advance(milliseconds{60});
    steps += static_cast<std::int64_t>(cell.Pass());
  }
  state.SetItemsProcessed(steps);
}
BENCHMARK(DecideInFullCell)
    ->Args({100, 0})
    ->Args({100, 1})
    ->Iterations(1)
    ->Name("ReclaimInFullCell");
BENCHMARK(DecideInFullCell)->Args({100, 0})->Args({100, 1})->Name("WaitInFullCell");

/// One job of ten tasks from its handing in to its end; items are starts.
void ServeQuickJobs(benchmark::State& state) {
  full_cell cell{static_cast<std::size_t>(state.range(0))};
  for (auto _ : state) {
    cell.ServeOne();
  }
  state.SetItemsProcessed(state.iterations() * kTasks);
}
BENCHMARK(ServeQuickJobs)->Arg(50)->Arg(540)->Arg(1'000)->Arg(3'000);

/// A successor reads a cell where a step waits for each fourth worker; items are workers.
void ReadWorkers(benchmark::State& state) {
  const auto workers = static_cast<std::size_t>(state.range(0));
  full_cell cell{workers};
  cell.LeaveWaiting(workers / 4);
  for (auto _ : state) {
    cell.TakeOver();
  }
  state.SetItemsProcessed(state.iterations() * state.range(0));
}
BENCHMARK(ReadWorkers)->Arg(50)->Arg(540)->Arg(3'000)->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace rosearch::sched
