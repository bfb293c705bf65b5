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
