#ifndef TEST_ROSEARCH_SCHED_RESTART_FIXTURE_H_
#define TEST_ROSEARCH_SCHED_RESTART_FIXTURE_H_

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "rosearch/sched/scheduler_fixture.h"

namespace rosearch::sched {

inline constexpr std::int64_t kFirst = 1'000;  // incarnations of a worker
inline constexpr std::int64_t kSecond = 2'000;
inline constexpr std::int64_t kThird = 3'000;

inline worker_facts Facts(const std::string& id, std::int64_t born,
                          std::int64_t processors = 4'000) {
  return {id, "10.0.0.1:80", "pool", "", "", "", {}, {processors, 8'000, 0}, false, {}, born};
}

/// @return a report that lists running tasks of run 1 and ended ones.
inline worker_report Lists(std::int64_t born, const std::vector<std::string>& running,
                           std::vector<ended_row> ended = {}) {
  worker_report report;
  report.born = born;
  for (const auto& task : running) {
    report.running.push_back({task, 1, {}, 10, 0});
  }
  report.ended = std::move(ended);
  return report;
}

/// A leader with one worker whose first incarnation is known, and a watch in flight.
class restart_fixture : public scheduler_fixture {
 public:
  explicit restart_fixture(std::size_t workers = 1) : scheduler_fixture{0} {
    for (std::size_t at = 0; at < workers; ++at) {
      const auto id = "w" + std::to_string(at);
      leader.ObserveWorker(Facts(id, kFirst), now);
      Report(id, Lists(kFirst, {}));
    }
    (void)Store();
  }

  /// Submits and stores a job. @return the start orders, without their answers.
  std::vector<start_order> StartJob(const std::string& id, std::uint32_t count,
                                    std::int64_t processors = 1'000) {
    (void)Submit(id, count, processors);
    (void)Store();
    return Starts();
  }
  /// Starts a job whose runs are confirmed and listed by the first incarnation.
  std::vector<start_order> RunJob(const std::string& id, std::uint32_t count) {
    auto starts = StartJob(id, count);
    std::map<std::string, std::vector<std::string>> tasks;
    for (const auto& start : starts) {
      leader.OnStartAnswer(start, start_outcome::kStarted, now);
      tasks[start.worker].push_back(start.task);
    }
    AdvanceTime(std::chrono::milliseconds{10});
    for (const auto& [worker, running] : tasks) {
      Report(worker, Lists(kFirst, running));
    }
    return starts;
  }
  /// The registry record and the first answer of an incarnation, stored.
  void Restart(std::int64_t born, const std::string& id = "w0") {
    AdvanceTime(std::chrono::milliseconds{10});
    leader.ObserveWorker(Facts(id, born), now);
    AdvanceTime(std::chrono::milliseconds{10});
    Report(id, Lists(born, {}));
    (void)Store();
  }
  /// @return the tasks that start now.
  std::vector<std::string> StartedTasks() {
    std::vector<std::string> tasks;
    for (const auto& start : Starts()) {
      tasks.push_back(start.task);
    }
    std::ranges::sort(tasks);
    return tasks;
  }
  std::uint64_t AckedEnd() { return leader.NextWatch("w0", now)->acked_end; }
  std::size_t Runs() { return leader.Counts(now).runs; }
};

}  // namespace rosearch::sched

#endif  // TEST_ROSEARCH_SCHED_RESTART_FIXTURE_H_
