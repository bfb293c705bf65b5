#ifndef TEST_ROSEARCH_SCHED_SCHEDULER_FIXTURE_H_
#define TEST_ROSEARCH_SCHED_SCHEDULER_FIXTURE_H_

#include <catch2/catch.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "rosearch/sched/cell_world.h"
#include "rosearch/sched/scheduler.h"

namespace rosearch::sched {

inline constexpr const char* kQueue = "cell.test/jobs/";

/// @return a job of one step with this many tasks; an empty customer means none.
inline job_spec MakeJob(const std::string& id, std::uint32_t count, std::int64_t processors,
                        const std::string& customer) {
  job_spec job;
  job.id = id;
  job.queue = kQueue;
  job.pool = "pool";
  job.max_attempts = 2;
  job.steps.resize(1);
  job.steps[0].count = count;
  job.steps[0].need = {processors, 100, 0};
  job.steps[0].estimate = std::chrono::milliseconds{500};
  job.objective = std::chrono::seconds{10};
  job.customer = customer;
  return job;
}

/// A leading scheduler with idle workers that a test drives step by step.
class scheduler_fixture {
 public:
  explicit scheduler_fixture(std::size_t workers = 2, std::uint64_t epoch = 1,
                             const scheduler_settings& settings = {})
      : leader{settings, epoch, log} {
    cell_configuration made;
    made.version = 1;
    made.queues = {
        {"quick", "cell.test", "/jobs/", "pool", 0, 2, 1.5, std::chrono::milliseconds{250}, {}}};
    made.pools = {{"pool", false, false}};
    leader.Configure(made, now);
    for (std::size_t at = 0; at < workers; ++at) {
      worker_facts facts;
      facts.id = "w" + std::to_string(at);
      facts.address = "10.0.0.1:80";
      facts.pool = "pool";
      facts.capacity = {4'000, 8'000, 0};
      leader.ObserveWorker(facts, now);
    }
    leader.FinishRestore(now);
    (void)Store();
    for (std::size_t at = 0; at < workers; ++at) {
      Report("w" + std::to_string(at), {});
    }
    (void)Store();
  }

  void AdvanceTime(duration span) {
    now.steady += span;
    now.wall_ms += std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
  }
  std::vector<stored_record> Store() {
    const auto batch = leader.TakeBatch();
    leader.OnStored(batch.number, now);
    for (const auto& record : batch.records) {
      workers_record = record.key == "w" ? record.value : workers_record;
    }
    return batch.records;
  }
  /// Stores the pending records and saves the newest record of each key in `saved`, including that
  /// of the workers.
  void SaveRecords() {
    for (const auto& record : Store()) {
      saved[record.key] = record.value;
    }
    saved["w"] = workers_record;
  }
  void Report(const std::string& worker, const worker_report& report) {
    (void)leader.NextWatch(worker, now);
    leader.OnReport(worker, now.steady, report, now);
  }
  /// Puts a configuration in force in which customer "a" has this limit.
  void SetLimit(const resources& limit) {
    auto next = leader.configuration();
    ++next.version;
    next.customers = {{"a", 100, limit, {}}, {"b", 100, {}, {}}};
    leader.Configure(next, now);
  }
  submit_answer Submit(const std::string& id, std::uint32_t count, std::int64_t processors = 1'000,
                       const std::string& customer = {}) {
    return leader.Submit(MakeJob(id, count, processors, customer), now);
  }
  std::vector<start_order> Starts() {
    leader.Schedule(now);
    std::vector<start_order> starts;
    for (auto& decided : leader.TakeOrders()) {
      if (auto* const start = std::get_if<start_order>(&decided)) {
        starts.push_back(*start);
      } else if (auto* const stop = std::get_if<stop_order>(&decided)) {
        stops.push_back(*stop);
      }
    }
    return starts;
  }

  std::string workers_record;                ///< newest that was stored
  std::map<std::string, std::string> saved;  ///< newest record per key, see `SaveRecords`
  std::set<std::string> unreadable;          ///< keys of saved records that can't be read
  recording_sink log;
  instant now{time_point{std::chrono::seconds{1'000}}, 1'000'000};
  sched::scheduler leader;
  std::vector<stop_order> stops;
};

/// A new leader that restores the records that a former one saved.
class new_leader {
 public:
  explicit new_leader(const scheduler_fixture& former)
      : now{former.now}, leader{scheduler_settings{}, 2, log} {
    leader.Configure(former.leader.configuration(), now);
    for (const auto& [key, value] : former.saved) {
      REQUIRE(leader.Restore({key, value}, now) != former.unreadable.contains(key));
    }
    leader.FinishRestore(now);
  }
  /// Lists a worker in the registry, reports for it and stores its record.
  void AddWorker(const std::string& worker, const worker_report& report = {}) {
    leader.ObserveWorker(
        {worker, "10.0.0.1:80", "pool", "", "", "", {}, {4'000, 8'000, 0}, false, {}}, now);
    (void)leader.NextWatch(worker, now);
    leader.OnReport(worker, now.steady, report, now);
    Store();
  }
  void Store() {
    const auto batch = leader.TakeBatch();
    leader.OnStored(batch.number, now);
  }
  std::vector<order> Orders() {
    leader.Schedule(now);
    return leader.TakeOrders();
  }
  std::vector<std::string> Started() {
    std::vector<std::string> tasks;
    for (const auto& decided : Orders()) {
      if (const auto* const start = std::get_if<start_order>(&decided)) {
        tasks.push_back(start->task);
      }
    }
    return tasks;
  }

  instant now;
  recording_sink log;
  scheduler leader;
};

}  // namespace rosearch::sched

#endif  // TEST_ROSEARCH_SCHED_SCHEDULER_FIXTURE_H_
