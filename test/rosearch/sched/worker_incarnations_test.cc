#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "rosearch/sched/scheduler.h"
#include "rosearch/sched/scheduler_fixture.h"

namespace rosearch::sched {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::int64_t kFirst = 1'000;  // incarnations of a worker
constexpr std::int64_t kSecond = 2'000;
constexpr std::int64_t kThird = 3'000;

worker_facts Facts(const std::string& id, std::int64_t born, std::int64_t processors = 4'000) {
  return {id, "10.0.0.1:80", "pool", "", "", "", {}, {processors, 8'000, 0}, false, {}, born};
}

/// @return a report that lists running tasks of run 1 and ended ones.
worker_report Lists(std::int64_t born, const std::vector<std::string>& running,
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
    AdvanceTime(milliseconds{10});
    for (const auto& [worker, running] : tasks) {
      Report(worker, Lists(kFirst, running));
    }
    return starts;
  }
  /// The registry record and the first answer of an incarnation, stored.
  void Restart(std::int64_t born, const std::string& id = "w0") {
    AdvanceTime(milliseconds{10});
    leader.ObserveWorker(Facts(id, born), now);
    AdvanceTime(milliseconds{10});
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

}  // namespace

// Without this, the runs of a restarted worker would stay charged to it until their leases expire.
TEST_CASE("a report of a restarted worker ends the runs that it had listed") {
  restart_fixture fixture;
  (void)fixture.RunJob("a", 2);
  REQUIRE(fixture.Runs() == 2);
  fixture.AdvanceTime(milliseconds{10});
  fixture.Report("w0", Lists(kSecond, {}));
  CHECK(fixture.Runs() == 0);
  CHECK(fixture.log.Has("worker_restarted worker=w0"));
}

TEST_CASE("a record of a restarted worker ends the runs that it had listed") {
  restart_fixture fixture;
  (void)fixture.RunJob("a", 2);
  fixture.leader.ObserveWorker(Facts("w0", kSecond), fixture.now);
  CHECK(fixture.Runs() == 0);
  CHECK(fixture.StartedTasks().empty());
}

// A smaller capacity may be in a record that isn't read yet.
TEST_CASE("nothing starts before both the record and an answer of a restarted worker") {
  restart_fixture fixture;
  (void)fixture.RunJob("a", 2);
  fixture.AdvanceTime(milliseconds{10});
  SECTION("the answer comes first") {
    fixture.Report("w0", Lists(kSecond, {}));
    (void)fixture.Store();
    CHECK(fixture.StartedTasks().empty());
    fixture.leader.ObserveWorker(Facts("w0", kSecond, 1'000), fixture.now);
  }
  SECTION("the record comes first") {
    fixture.leader.ObserveWorker(Facts("w0", kSecond, 1'000), fixture.now);
    (void)fixture.Store();
    CHECK(fixture.StartedTasks().empty());
    fixture.Report("w0", Lists(kSecond, {}));
    CHECK(fixture.StartedTasks().empty());  // not stored as open
    (void)fixture.Store();
  }
  CHECK(fixture.StartedTasks().size() == 1);
}

// The watch was sent to the former incarnation and its answer comes late, through a relay. Its runs
// and ends must not be attributed to the new one.
TEST_CASE("a late report of the former incarnation is ignored") {
  restart_fixture fixture;
  const auto starts = fixture.RunJob("a", 1);
  const auto sent_at = fixture.now.steady;
  fixture.Restart(kSecond);
  fixture.leader.OnReport("w0", sent_at,
                          Lists(kFirst, {"b.0.0.0"}, {{1, starts[0].task, 1, end_kind::kDone, {}}}),
                          fixture.now);
  CHECK(fixture.Runs() == 0);
  CHECK(fixture.AckedEnd() == 0);
  CHECK_FALSE(fixture.leader.Phase("a", {kQueue}) == job_phase::kCompleted);
  CHECK(fixture.log.Has("report_outdated worker=w0"));
  CHECK(fixture.StartedTasks().size() == 1);
}

TEST_CASE("a record of a former incarnation is ignored") {
  restart_fixture fixture;
  fixture.Restart(kSecond);
  fixture.leader.ObserveWorker(Facts("w0", kFirst, 64'000), fixture.now);
  CHECK(fixture.StartJob("a", 5).size() == 4);
}

TEST_CASE("answers to orders that were sent before the restart count no more") {
  restart_fixture fixture;
  const auto starts = fixture.StartJob("a", 2);
  fixture.Restart(kSecond);
  (void)fixture.Starts();
  SECTION("a start refused by the former incarnation may still be executed by the new one") {
    fixture.leader.OnStartAnswer(starts[0], start_outcome::kNoRoom, fixture.now);
  }
  SECTION("a stop acknowledged by the former incarnation doesn't bind the new one") {
    fixture.leader.OnStopAnswer({"w0", "10.0.0.1:80", starts[0].task, 1, kFirst}, true,
                                fixture.now);
    fixture.AdvanceTime(milliseconds{10});
    fixture.Report("w0", Lists(kSecond, {}));
  }
  SECTION("another worker in the place of the former incarnation says nothing about the new one") {
    fixture.leader.OnStartAnswer(starts[0], start_outcome::kOtherIncarnation, fixture.now);
    fixture.leader.OnWatchFailed("w0", watch_failure::kOtherIncarnation, fixture.now, kFirst);
  }
  CHECK(fixture.Runs() == 2);
  CHECK(fixture.leader.WatchedWorkers().size() == 1);
  CHECK(fixture.StartedTasks().empty());
}

// The start order may be executed seconds later, by the new incarnation. The task must not run
// elsewhere meanwhile.
TEST_CASE("an unanswered start is stopped in the new incarnation") {
  restart_fixture fixture{2};
  auto starts = fixture.StartJob("a", 1, 3'000);
  REQUIRE(starts.size() == 1);
  const auto start = starts[0];
  if (GENERATE(false, true)) {
    fixture.leader.OnStartAnswer(start, start_outcome::kUnknown, fixture.now);
  }
  fixture.Restart(kSecond, start.worker);
  CHECK(fixture.StartedTasks().empty());
  REQUIRE_FALSE(fixture.stops.empty());
  const auto stop = fixture.stops.back();
  CHECK(stop.run == start.run);
  CHECK(stop.born == kSecond);
  SECTION("it isn't executed") { fixture.leader.OnStopAnswer(stop, true, fixture.now); }
  SECTION("it is executed before the stop arrives") {
    fixture.Report(start.worker, Lists(kSecond, {start.task}));
    CHECK(fixture.StartedTasks().empty());
    fixture.leader.OnStopAnswer(stop, true, fixture.now);
    fixture.AdvanceTime(milliseconds{10});
    fixture.Report(start.worker, Lists(kSecond, {start.task}));  // takes time to stop
    CHECK(fixture.StartedTasks().empty());
  }
  fixture.AdvanceTime(milliseconds{10});
  fixture.Report(start.worker, Lists(kSecond, {}));
  CHECK(fixture.Runs() == 0);
  CHECK(fixture.StartedTasks().size() == 1);
}

// The worker restarted unnoticed, and the new incarnation answered the start order. The report was
// written before that, so it doesn't list the run.
TEST_CASE("a start that the new incarnation may have answered is stopped there") {
  restart_fixture fixture{2};
  const auto start = fixture.StartJob("a", 1, 3'000).at(0);
  const auto watch_sent_at = fixture.now.steady;
  fixture.AdvanceTime(milliseconds{10});
  fixture.leader.OnStartAnswer(start, start_outcome::kStarted, fixture.now);
  fixture.AdvanceTime(milliseconds{10});
  SECTION("the report comes first") {
    fixture.leader.OnReport(start.worker, watch_sent_at, Lists(kSecond, {}), fixture.now);
  }
  SECTION("the record comes first") {
    fixture.leader.ObserveWorker(Facts(start.worker, kSecond), fixture.now);
  }
  CHECK(fixture.Runs() == 1);
  CHECK(fixture.StartedTasks().empty());
  REQUIRE(fixture.stops.size() == 1);
  CHECK(fixture.stops[0].born == kSecond);
}

// A run of the former incarnation had been stopped and its stop acknowledged, but an unanswered
// copy of its start order is in flight. The new incarnation doesn't know the stop.
TEST_CASE("the acknowledged stop of an unanswered start is repeated in the new incarnation") {
  restart_fixture fixture{2};
  const auto start = fixture.StartJob("a", 1, 3'000).at(0);
  (void)fixture.leader.Cancel("a", {kQueue}, fixture.now);
  (void)fixture.Starts();
  REQUIRE(fixture.stops.size() == 1);
  fixture.leader.OnStopAnswer(fixture.stops[0], true, fixture.now);
  SECTION("before its end was reported") { fixture.Restart(kSecond, start.worker); }
  SECTION("after its end was reported") {
    fixture.AdvanceTime(milliseconds{10});
    fixture.Report(start.worker, Lists(kFirst, {}));
    REQUIRE(fixture.Runs() == 0);
    fixture.Restart(kSecond, start.worker);
  }
  (void)fixture.Starts();
  REQUIRE(fixture.stops.size() >= 2);
  CHECK(fixture.stops.back().run == start.run);
  CHECK(fixture.stops.back().born == kSecond);
  // Until the stop is acknowledged there, the run may use the worker's room.
  for (const auto& other : fixture.StartJob("b", 2, 3'000)) {
    CHECK(other.worker != start.worker);
  }
}

// The new incarnation counts its ends from 1 again. If its ends were taken for known ones, its runs
// would never end, and an old cursor would make it discard ends that nobody has read.
TEST_CASE("ends of a restarted worker count from one again") {
  restart_fixture fixture;
  const auto first = fixture.RunJob("a", 2);
  fixture.Report("w0", Lists(kFirst, {},
                             {{1, first[0].task, 1, end_kind::kDone, {}},
                              {2, first[1].task, 1, end_kind::kDone, {}}}));
  const auto batch = fixture.leader.TakeBatch();
  fixture.Restart(kSecond);
  CHECK(fixture.AckedEnd() == 0);
  fixture.leader.OnStored(batch.number, fixture.now);  // stores the ends of the former incarnation
  CHECK(fixture.AckedEnd() == 0);
  const auto second = fixture.StartJob("b", 1);
  REQUIRE(second.size() == 1);
  fixture.leader.OnStartAnswer(second[0], start_outcome::kStarted, fixture.now);
  fixture.AdvanceTime(milliseconds{10});
  fixture.Report("w0", Lists(kSecond, {}, {{1, second[0].task, 1, end_kind::kDone, {}}}));
  CHECK(fixture.Runs() == 0);
  (void)fixture.Store();
  CHECK(fixture.leader.Phase("b", {kQueue}) == job_phase::kCompleted);
  CHECK(fixture.AckedEnd() == 1);
}

TEST_CASE("a run that ended in the new incarnation before its first report counts") {
  restart_fixture fixture;
  const auto start = fixture.StartJob("a", 1).at(0);
  fixture.AdvanceTime(milliseconds{10});
  fixture.Report("w0", Lists(kSecond, {}, {{1, start.task, 1, end_kind::kDone, {}}}));
  (void)fixture.Store();
  CHECK(fixture.leader.Phase("a", {kQueue}) == job_phase::kCompleted);
}

TEST_CASE("the other members of a gang are stopped when the worker of one restarts") {
  restart_fixture fixture{2};
  auto job = MakeJob("g", 2, 3'000, {});
  job.steps[0].gang = true;
  (void)fixture.leader.Submit(job, fixture.now);
  (void)fixture.Store();
  const auto starts = fixture.Starts();
  REQUIRE(starts.size() == 2);
  for (const auto& start : starts) {
    fixture.leader.OnStartAnswer(start, start_outcome::kStarted, fixture.now);
  }
  fixture.AdvanceTime(milliseconds{10});
  for (const auto& start : starts) {
    fixture.Report(start.worker, Lists(kFirst, {start.task}));
  }
  fixture.Restart(kSecond, starts[0].worker);
  CHECK(fixture.StartedTasks().empty());
  REQUIRE(fixture.stops.size() == 1);
  CHECK(fixture.stops[0].worker == starts[1].worker);
  fixture.leader.OnStopAnswer(fixture.stops[0], true, fixture.now);
  fixture.AdvanceTime(milliseconds{10});
  fixture.Report(starts[1].worker, Lists(kFirst, {}));
  CHECK(fixture.StartedTasks().size() == 2);
}

// Tickets are issued for one incarnation; an answer to a query sent before the restart brings
// tickets that the new one refuses.
TEST_CASE("tickets of the former incarnation are dropped") {
  restart_fixture fixture;
  auto configuration = fixture.leader.configuration();
  ++configuration.version;
  configuration.queues[0].advice = advice_cost{milliseconds{18}, milliseconds{1}, seconds{60}};
  fixture.leader.Configure(configuration, fixture.now);
  auto job = MakeJob("a", 1, 1'000, {});
  (void)fixture.leader.Submit(job, fixture.now);
  (void)fixture.Store();
  const auto query = [&]() -> std::optional<advice_query> {
    fixture.leader.Schedule(fixture.now);
    for (const auto& decided : fixture.leader.TakeOrders()) {
      CHECK_FALSE(std::holds_alternative<start_order>(decided));
      if (const auto* const sent = std::get_if<advice_query>(&decided)) {
        return *sent;
      }
    }
    return std::nullopt;
  };
  const auto sent = query();
  REQUIRE(sent);
  const std::vector<advised_worker> allowed{{"w0", "ticket"}};
  SECTION("received before the restart") {
    fixture.leader.OnAdvice(*sent, &allowed, fixture.now);
    fixture.Restart(kSecond);
  }
  SECTION("received after the restart") {
    fixture.Restart(kSecond);
    fixture.leader.OnAdvice(*sent, &allowed, fixture.now);
  }
  fixture.AdvanceTime(seconds{1});
  const auto again = query();
  REQUIRE(again);
  CHECK(again->workers == std::vector<std::string>{"w0"});
}

TEST_CASE("a worker that was unlisted comes back as a new incarnation") {
  restart_fixture fixture;
  (void)fixture.RunJob("a", 1);
  fixture.leader.UnlistWorker("w0", fixture.now);
  fixture.leader.ObserveWorker(Facts("w0", kFirst - 1), fixture.now);
  CHECK(fixture.leader.NextWatch("w0", fixture.now));
  fixture.Restart(kSecond);
  CHECK(fixture.StartedTasks().size() == 1);
}

// If an unlisted worker were forgotten while a start order may be in flight, its next incarnation
// would execute the order without being stopped.
TEST_CASE("a worker with a start order in flight isn't forgotten") {
  restart_fixture fixture;
  const auto start = fixture.StartJob("a", 1).at(0);
  (void)fixture.leader.Cancel("a", {kQueue}, fixture.now);
  (void)fixture.Starts();
  fixture.leader.OnStopAnswer(fixture.stops.at(0), true, fixture.now);
  fixture.AdvanceTime(milliseconds{10});
  fixture.Report("w0", Lists(kFirst, {}));
  fixture.leader.UnlistWorker("w0", fixture.now);
  CHECK(fixture.leader.NextWatch("w0", fixture.now));
  fixture.AdvanceTime(seconds{30});
  CHECK_FALSE(fixture.leader.NextWatch("w0", fixture.now));
}

// The leader dies between the first report of an incarnation and the record of it.
TEST_CASE("a new leader with an outdated record of a worker goes by its first answer") {
  restart_fixture fixture;
  (void)fixture.Submit("a", 1);
  fixture.SaveRecords();
  REQUIRE(fixture.Starts().size() == 1);
  fixture.Report("w0", Lists(kSecond, {}));  // never stored
  new_leader next{fixture};
  next.leader.ObserveWorker(Facts("w0", kSecond), next.now);
  CHECK_FALSE(next.leader.OldRunsSettled());
  CHECK(next.Started().empty());
  (void)next.leader.NextWatch("w0", next.now);
  next.leader.OnReport("w0", next.now.steady, Lists(kSecond, {}), next.now);
  CHECK(next.leader.OldRunsSettled());
  next.Store();
  CHECK(next.Started().size() == 1);
}

TEST_CASE("a new leader knows the newest incarnation that was stored") {
  restart_fixture fixture;
  fixture.Restart(kSecond);
  fixture.SaveRecords();
  new_leader next{fixture};
  next.leader.ObserveWorker(Facts("w0", kFirst), next.now);
  (void)next.leader.NextWatch("w0", next.now);
  next.leader.OnReport("w0", next.now.steady, Lists(kFirst, {"a.0.0.0"}), next.now);
  CHECK_FALSE(next.leader.OldRunsSettled());
  CHECK(next.leader.Counts(next.now).runs == 0);
}

TEST_CASE("a worker that restarts twice before it is reached is stopped in the last incarnation") {
  restart_fixture fixture{2};
  const auto start = fixture.StartJob("a", 1, 3'000).at(0);
  fixture.Restart(kSecond, start.worker);
  (void)fixture.Starts();
  const auto stop = fixture.stops.back();
  fixture.Restart(kThird, start.worker);
  fixture.leader.OnStopAnswer(stop, true, fixture.now);
  fixture.AdvanceTime(milliseconds{10});
  fixture.Report(start.worker, Lists(kThird, {}));
  CHECK(fixture.Runs() == 1);
  (void)fixture.Starts();
  CHECK(fixture.stops.back().born == kThird);
}

// A worker that reports no incarnation is served as before: its id has a single one.
TEST_CASE("a worker without an incarnation is served as before") {
  scheduler_fixture fixture{1};
  (void)fixture.Submit("a", 1);
  (void)fixture.Store();
  const auto starts = fixture.Starts();
  REQUIRE(starts.size() == 1);
  fixture.leader.OnStartAnswer(starts[0], start_outcome::kStarted, fixture.now);
  fixture.AdvanceTime(milliseconds{10});
  fixture.Report("w0", Lists(0, {starts[0].task}));
  fixture.leader.ObserveWorker(Facts("w0", 0), fixture.now);
  CHECK(fixture.leader.Counts(fixture.now).runs == 1);
  CHECK_FALSE(fixture.log.Has("worker_restarted"));
}

// The worker restarts unnoticed and executes a late order. A watch with the cursor of the former
// incarnation would make it discard the end of that run.
TEST_CASE("a watch after an unanswered one acknowledges no ends") {
  restart_fixture fixture;
  const auto start = fixture.RunJob("a", 1).at(0);
  fixture.Report("w0", Lists(kFirst, {}, {{1, start.task, 1, end_kind::kDone, {}}}));
  (void)fixture.Store();
  CHECK(fixture.AckedEnd() == 1);
  fixture.leader.OnWatchFailed("w0", watch_failure::kNoAnswer, fixture.now, kFirst);
  CHECK(fixture.AckedEnd() == 0);
  fixture.Report("w0", Lists(kFirst, {}));
  CHECK(fixture.AckedEnd() == 1);
}

// The start order may be executed seconds after the cancel was acknowledged. The run must be
// stopped even if the first stop orders are lost.
TEST_CASE("a cancelled task whose start was never answered is stopped until that is acknowledged") {
  restart_fixture fixture;
  const auto start = fixture.StartJob("a", 1).at(0);
  if (GENERATE(false, true)) {
    fixture.leader.OnStartAnswer(start, start_outcome::kUnknown, fixture.now);
  }
  (void)fixture.leader.Cancel("a", {kQueue}, fixture.now);
  (void)fixture.Store();
  CHECK(fixture.leader.Phase("a", {kQueue}) == job_phase::kCancelled);
  for (int tries = 1; tries <= 3; ++tries) {
    CHECK(fixture.Starts().empty());
    REQUIRE(fixture.stops.size() == static_cast<std::size_t>(tries));
    fixture.leader.OnStopAnswer(fixture.stops.back(), false, fixture.now);
    fixture.AdvanceTime(milliseconds{400});
    fixture.Report(
        "w0", Lists(kFirst, tries == 2 ? std::vector{start.task} : std::vector<std::string>{}));
    fixture.leader.Tick(fixture.now);
    CHECK(fixture.Runs() == 1);
  }
  (void)fixture.Starts();
  fixture.leader.OnStopAnswer(fixture.stops.back(), true, fixture.now);
  fixture.AdvanceTime(milliseconds{10});
  fixture.Report("w0", Lists(kFirst, {}));
  CHECK(fixture.Runs() == 0);
}

// The leader that cancelled the job is gone when the worker executes the start order.
TEST_CASE("a cancelled task that starts late is stopped by the next leader") {
  const bool restarted = GENERATE(false, true);
  restart_fixture fixture;
  (void)fixture.Submit("a", 1);
  fixture.SaveRecords();
  const auto start = fixture.Starts().at(0);
  (void)fixture.leader.Cancel("a", {kQueue}, fixture.now);
  fixture.SaveRecords();
  const auto born = restarted ? kSecond : kFirst;
  new_leader next{fixture};
  CHECK(next.leader.Phase("a", {kQueue}) == job_phase::kCancelled);
  next.leader.ObserveWorker(Facts("w0", born), next.now);
  (void)next.leader.NextWatch("w0", next.now);
  next.leader.OnReport("w0", next.now.steady, Lists(born, {start.task}), next.now);
  const auto orders = next.Orders();
  REQUIRE(orders.size() == 1);
  const auto* const stop = std::get_if<stop_order>(&orders[0]);
  REQUIRE(stop != nullptr);
  CHECK(stop->task == start.task);
  CHECK(stop->run == start.run);
  CHECK(stop->born == born);
}

// A copy of the start order of run 1 is in flight when that run has ended and run 2 of the task
// runs on the same worker. The new incarnation may execute it beside a third run elsewhere.
TEST_CASE("a task with a late start order is stopped in the new incarnation before it runs again") {
  restart_fixture fixture;
  const auto first = fixture.StartJob("a", 1, 3'000).at(0);
  fixture.Report("w0", Lists(kFirst, {}, {{1, first.task, 1, end_kind::kFailed, {}}}));
  (void)fixture.Store();
  fixture.AdvanceTime(seconds{1});
  const auto second = fixture.Starts().at(0);
  fixture.leader.OnStartAnswer(second, start_outcome::kStarted, fixture.now);
  fixture.AdvanceTime(milliseconds{10});
  auto report = Lists(kFirst, {second.task});
  report.running[0].run = second.run;
  fixture.Report("w0", report);
  fixture.Restart(kSecond);
  CHECK(fixture.StartedTasks().empty());
  CHECK(fixture.stops.back().run == second.run);
  fixture.leader.OnStopAnswer(fixture.stops.back(), true, fixture.now);
  fixture.AdvanceTime(milliseconds{10});
  fixture.Report("w0", Lists(kSecond, {first.task}));  // executed before the stop arrived
  CHECK(fixture.StartedTasks().empty());
  CHECK(fixture.stops.back().run == first.run);
  fixture.AdvanceTime(milliseconds{10});
  fixture.Report("w0", Lists(kSecond, {}));
  CHECK(fixture.StartedTasks().size() == 1);
}

}  // namespace rosearch::sched
