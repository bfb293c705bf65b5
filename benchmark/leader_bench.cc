// What deciding and calls cost a leader.
#include <benchmark/benchmark.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <unordered_map>
#include <variant>
#include <vector>

#include "platform/codec.h"
#include "rosearch/cell/fake_ports.h"
#include "rosearch/sched/run_time_model.h"
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

/// A model of 200 queues, each with customers and images.
class learned_model {
 public:
  learned_model() {
    for (std::size_t at = 0; at < 20 * kKeys; ++at) {
      Learn(at);
    }
  }
  void Learn(std::size_t at) {
    model.Learn(Key(at), Declared(at), milliseconds{640 + at % 100}, 1.0);
  }
  [[nodiscard]] duration Predict(std::size_t at) const {
    return model.Predict(Key(at), Declared(at));
  }

  run_time_model model;

 private:
  static constexpr std::size_t kQueues = 200;
  static constexpr std::size_t kKeys = kQueues * 21;
  [[nodiscard]] static duration Declared(std::size_t at) { return milliseconds{100 + at % 997}; }
  [[nodiscard]] run_time_key Key(std::size_t at) const {
    return {queues_[at % kQueues], customers_[at % kKeys / kQueues], images_[at % images_.size()]};
  }
  [[nodiscard]] static std::vector<std::string> Names(const std::string& prefix,
                                                      std::size_t count) {
    std::vector<std::string> names;
    for (std::size_t at = 0; at < count; ++at) {
      names.push_back(prefix + std::to_string(at));
    }
    return names;
  }

  std::vector<std::string> queues_{Names("cell.test/queue-", kQueues)};
  std::vector<std::string> customers_{Names("customer-", 21)};
  std::vector<std::string> images_{Names("registry.test/image-", 3)};
};

void PredictRunTime(benchmark::State& state) {
  const learned_model learned;
  std::size_t at = 0;
  for (auto _ : state) {
    benchmark::DoNotOptimize(learned.Predict(at++));
  }
}
BENCHMARK(PredictRunTime);

void LearnRunTime(benchmark::State& state) {
  learned_model learned;
  std::size_t at = 0;
  for (auto _ : state) {
    learned.Learn(at++);
  }
}
BENCHMARK(LearnRunTime);

void EncodeRunTimes(benchmark::State& state) {
  const learned_model learned;
  for (auto _ : state) {
    benchmark::DoNotOptimize(learned.model.Encode());
  }
}
BENCHMARK(EncodeRunTimes)->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace rosearch::sched

namespace rosearch::cell {
namespace {

/// Fake ports with the platform's decoder: reading the body is part of what a call costs.
class decoding_ports final : public fake_ports {
 public:
  using fake_ports::fake_ports;
  static result<sched::job_spec> DecodeJob(const std::string& text) {
    return platform::DecodeJob(text);
  }
};

class no_log final : public event_sink {
 public:
  void Write(const event_line&) override {}
};

/// A leader of 50 workers whose store and workers are fakes.
class called_leader {
 public:
  called_leader() {
    ports_.workers = 50;
    leader_settings settings;
    settings.scheduler.off.Add(sched::mechanism::kAdmission);
    leader_ = std::make_shared<leader<decoding_ports>>(
        io_, ports_, settings, 1, log_, metrics_, leader_hooks{[] { return duration{}; }, [] {}});
    leader_->Begin(SteadyNow());
    Run(milliseconds{200});
  }
  ~called_leader() {
    leader_->End("done");
    Run(milliseconds{10});
  }
  called_leader(const called_leader&) = delete;
  called_leader& operator=(const called_leader&) = delete;

  /// Makes the store silent for longer than the leader waits for it.
  void LoseStore() {
    ports_.drop_appends = true;
    Call("pending");
    Run(milliseconds{800});
  }
  void Run(duration span) {
    io_.restart();
    io_.run_for(span);
  }
  void Call(const std::string& job) {
    leader_->Handle({"POST", "host", "/jobs/" + job, kBody}, milliseconds{2'000},
                    [this](const caller_answer& answer) { ++answers_[answer.status]; });
    io_.restart();
    io_.poll();
  }
  [[nodiscard]] double Answered(unsigned status) { return answers_[status]; }

 private:
  inline static const std::string kBody =
      R"({"spec":"text","steps":[{"count":10,"cpu":800,"mem-mb":256,"estimate-ms":700}]})";

  boost::asio::io_context io_;
  decoding_ports ports_{io_};
  no_log log_;
  metric_set metrics_;
  std::unordered_map<unsigned, double> answers_;
  std::shared_ptr<leader<decoding_ports>> leader_;
};

/// New jobs, with what storing and placing them costs. CPU time counts.
void AcceptCalls(benchmark::State& state) {
  called_leader called;
  std::size_t number = 0;
  for (auto _ : state) {
    called.Call("job-" + std::to_string(number++));
  }
  state.counters["accepted"] = called.Answered(200);
}
BENCHMARK(AcceptCalls)->Iterations(3'000);

void RefuseCalls(benchmark::State& state) {
  called_leader called;
  called.LoseStore();
  std::size_t number = 0;
  for (auto _ : state) {
    called.Call("job-" + std::to_string(number++));
  }
  state.counters["refused"] = called.Answered(503);
}
BENCHMARK(RefuseCalls)->Iterations(3'000);

/// The same job over and over, after it was accepted.
void RepeatCalls(benchmark::State& state) {
  called_leader called;
  called.Call("job");
  called.Run(milliseconds{100});
  for (auto _ : state) {
    called.Call("job");
  }
  state.counters["accepted"] = called.Answered(200);
}
BENCHMARK(RepeatCalls)->Iterations(3'000);

}  // namespace
}  // namespace rosearch::cell
