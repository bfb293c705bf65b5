#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "rosearch/sched/restart_fixture.h"
#include "rosearch/sched/scheduler.h"

namespace rosearch::sched {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

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

}  // namespace rosearch::sched
