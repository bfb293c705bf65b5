#include "rosearch/sched/scheduler_fixture.h"

namespace rosearch::sched {
namespace {

using std::chrono::seconds;

/// @return a report of a task that has ended as done.
worker_report Ended(const std::string& task) {
  worker_report report;
  report.ended = {{1, task, 1, end_kind::kDone, {}}};
  return report;
}

}  // namespace

// Guards against a task that runs twice: the new leader's clock is behind, so the task that has
// ended isn't due for it yet.
TEST_CASE("an end in an occurrence that isn't due here yet counts") {
  scheduler_fixture former{1};
  auto job = MakeJob("a", 1, 1'000, "");
  job.occurrences = 2;
  job.first_due_ms = former.now.wall_ms;
  job.interval_ms = 60'000;
  (void)former.leader.Submit(job, former.now);
  former.SaveRecords();
  former.now.wall_ms -= 10'000;
  new_leader next{former};
  next.AddWorker("w0", Ended("a.0.0.0"));
  CHECK(next.leader.NextWatch("w0", next.now)->acked_end == 1);
  next.now = {next.now.steady + seconds{20}, next.now.wall_ms + 20'000};
  next.leader.Tick(next.now);
  CHECK(next.Started().empty());
  next.now = {next.now.steady + seconds{60}, next.now.wall_ms + 60'000};
  next.leader.Tick(next.now);
  CHECK(next.Started() == std::vector<std::string>{"a.1.0.0"});
}

// As above: the end of the step before has not reached the new leader.
TEST_CASE("an end in a step whose dependencies aren't done here counts") {
  scheduler_fixture former{1};
  auto job = MakeJob("a", 1, 1'000, "");
  job.steps.push_back(job.steps[0]);
  job.steps[1].after = {0};
  (void)former.leader.Submit(job, former.now);
  former.SaveRecords();
  new_leader next{former};
  next.AddWorker("w0", Ended("a.0.1.0"));
  CHECK(next.Started() == std::vector<std::string>{"a.0.0.0"});
  auto report = Ended("a.0.1.0");
  report.ended.push_back({2, "a.0.0.0", 10'001, end_kind::kDone, {}});
  next.AddWorker("w0", report);
  CHECK(next.Started().empty());
  CHECK(next.leader.Phase("a", {kQueue, {}}) == job_phase::kCompleted);
}

// An odd report lists a task of a job that may yet be refused, and is forgotten with its steps.
TEST_CASE("a report opens no job that isn't accepted") {
  scheduler_fixture cell{1};
  (void)cell.Submit("a", 2);
  worker_report report = Ended("a.0.0.0");
  SECTION("by an end") {
    cell.Report("w0", report);
    (void)cell.Store();
    CHECK(cell.Starts().size() == 2);
  }
  SECTION("by a run") {
    report.running = {{"a.0.0.1", 1, {}, 10, 0}};
    cell.Report("w0", report);
    CHECK(cell.Starts().empty());
    REQUIRE(cell.stops.size() == 1);
    CHECK(cell.stops[0].task == "a.0.0.1");
  }
}

// An odd report names a task that doesn't exist: nothing is started before its time.
TEST_CASE("a report opens no occurrence for a task that doesn't exist") {
  scheduler_fixture cell{2};
  auto job = MakeJob("a", 1, 1'000, "");
  job.occurrences = 2;
  job.first_due_ms = cell.now.wall_ms + 60'000;
  job.interval_ms = 60'000;
  (void)cell.leader.Submit(job, cell.now);
  (void)cell.Store();
  const auto* const task = GENERATE("a.2.0.0", "a.1.1.0", "a.1.0.1");
  auto report = Ended(task);
  report.running = {{task, 1, {}, 10, 0}};
  cell.Report("w0", report);
  CHECK(cell.Starts().empty());
}

}  // namespace rosearch::sched
