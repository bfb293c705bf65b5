// Limits of customers in `scheduler`, over leader changes and orders in doubt.
#include <catch2/catch.hpp>

#include "rosearch/sched/scheduler_fixture.h"

namespace rosearch::sched {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr resources kTwoTasks{2'000, 0, 0};  ///< limit for two tasks of one processor

worker_report Running(const std::vector<std::string>& tasks) {
  worker_report report;
  for (const auto& task : tasks) {
    report.running.push_back({task, 1, "", 10, 0});
  }
  return report;
}

worker_report Ended(std::uint64_t number, const std::string& task, std::uint32_t run) {
  worker_report report;
  report.ended.push_back({number, task, run, end_kind::kDone, ""});
  return report;
}

}  // namespace

TEST_CASE("tasks beyond their customer's limit wait until others have ended") {
  scheduler_fixture fixture;
  fixture.SetLimit(kTwoTasks);
  (void)fixture.Submit("a", 5, 1'000, "a");
  (void)fixture.Submit("b", 3, 1'000, "b");
  (void)fixture.Store();
  const auto starts = fixture.Starts();
  REQUIRE(starts.size() == 5);
  CHECK(fixture.Starts().empty());
  const auto& first = starts.front();
  REQUIRE(first.job->id == "a");
  fixture.Report(first.worker, Ended(1, first.task, first.run));
  CHECK(fixture.Starts().size() == 1);
}

TEST_CASE("a step that waits for its customer's limit says so") {
  scheduler_fixture fixture;
  fixture.SetLimit(kTwoTasks);
  (void)fixture.Submit("a", 5, 1'000, "a");
  (void)fixture.Store();
  (void)fixture.Starts();
  CHECK(fixture.leader.Explain("a", fixture.now).find("waits_for=customer_limit") !=
        std::string::npos);
  fixture.AdvanceTime(seconds{1});
  (void)fixture.Starts();
  CHECK(fixture.log.Has("event=step_at_limit job=a"));
  CHECK(fixture.log.Has("customer=a used_cpu=2000"));
}

TEST_CASE("a lowered limit stops nothing, and a raised one lets tasks start") {
  scheduler_fixture fixture;
  fixture.SetLimit(kTwoTasks);
  (void)fixture.Submit("a", 5, 1'000, "a");
  (void)fixture.Store();
  CHECK(fixture.Starts().size() == 2);
  fixture.SetLimit({1'000, 0, 0});
  CHECK(fixture.Starts().empty());
  CHECK(fixture.stops.empty());
  fixture.SetLimit({3'000, 0, 0});
  CHECK(fixture.Starts().size() == 1);
  fixture.SetLimit({1'000, 0, 0});
  CHECK(fixture.Starts().empty());
}

TEST_CASE("a gang wider than its customer's limit is refused at once") {
  scheduler_fixture fixture;
  fixture.SetLimit(kTwoTasks);
  job_spec job;
  job.id = "g";
  job.queue = kQueue;
  job.pool = "pool";
  job.customer = "a";
  job.steps.resize(1);
  job.steps[0].count = 3;
  job.steps[0].gang = true;
  job.steps[0].need = {1'000, 100, 0};
  const auto refused = fixture.leader.Submit(job, fixture.now);
  CHECK(refused.verdict == submit_verdict::kRefused);
  CHECK(refused.reason == "exceeds_limit");
  CHECK(refused.retry_after == duration{});
  job.steps[0].count = 2;
  CHECK(fixture.leader.Submit(job, fixture.now).verdict == submit_verdict::kPending);
}

// The answer to a start order is lost: the run may be active, and must count.
TEST_CASE("a start without an answer counts against the limit") {
  scheduler_fixture fixture;
  fixture.SetLimit(kTwoTasks);
  (void)fixture.Submit("a", 3, 1'000, "a");
  (void)fixture.Store();
  const auto starts = fixture.Starts();
  REQUIRE(starts.size() == 2);
  for (const auto& start : starts) {
    fixture.leader.OnStartAnswer(start, start_outcome::kUnknown, fixture.now);
  }
  CHECK(fixture.Starts().empty());
}

// A worker that starts nothing refuses an order: its room within the limit is free again.
TEST_CASE("a start that was refused frees its share of the limit") {
  scheduler_fixture fixture;
  fixture.SetLimit({1'000, 0, 0});
  (void)fixture.Submit("a", 2, 1'000, "a");
  (void)fixture.Store();
  const auto starts = fixture.Starts();
  REQUIRE(starts.size() == 1);
  fixture.leader.OnStartAnswer(starts[0], start_outcome::kNoRoom, fixture.now);
  CHECK(fixture.Starts().size() == 1);
}

// Cancelled runs take up to a second to stop; until then they use the limit.
TEST_CASE("runs that are being stopped count against the limit") {
  scheduler_fixture fixture;
  fixture.SetLimit(kTwoTasks);
  (void)fixture.Submit("a", 2, 1'000, "a");
  (void)fixture.Store();
  const auto starts = fixture.Starts();
  REQUIRE(starts.size() == 2);
  for (const auto& start : starts) {
    fixture.leader.OnStartAnswer(start, start_outcome::kStarted, fixture.now);
  }
  (void)fixture.Submit("b", 2, 1'000, "a");
  (void)fixture.Store();
  CHECK(fixture.leader.Cancel("a", {kQueue, "a"}, fixture.now) == cancel_verdict::kPending);
  (void)fixture.Store();
  CHECK(fixture.Starts().empty());
  REQUIRE(fixture.stops.size() == 2);
  fixture.AdvanceTime(milliseconds{10});
  for (const auto& stop : fixture.stops) {
    fixture.leader.OnStopAnswer(stop, true, fixture.now);
  }
  fixture.AdvanceTime(milliseconds{10});
  fixture.Report("w0", {});
  fixture.Report("w1", {});
  CHECK(fixture.Starts().size() == 2);
}

// A new leader doesn't know yet what runs at the workers. A new job of the same customer that
// starts in that time would take the customer to twice its limit.
TEST_CASE("a new leader counts what its predecessor may have started") {
  scheduler_fixture former;
  former.SetLimit(kTwoTasks);
  (void)former.Submit("a", 2, 1'000, "a");
  former.SaveRecords();
  const auto starts = former.Starts();
  REQUIRE(starts.size() == 2);

  new_leader next{former};
  next.AddWorker("w0", {});
  (void)next.leader.Submit(MakeJob("n", 1, 1'000, "a"), next.now);
  next.Store();
  CHECK(next.Started().empty());

  next.AddWorker("w1", Running({"a.0.0.0", "a.0.0.1"}));
  next.leader.Tick(next.now);
  CHECK(next.Started().empty());
  next.AddWorker("w1", {});
  next.now.steady += seconds{1};
  next.leader.Tick(next.now);
  next.AddWorker("w1", {});
  next.now.steady += seconds{1};
  next.AddWorker("w1", {});
  next.leader.Tick(next.now);
  CHECK(next.Started().size() == 2);
}

// A cancelled job's runs may still be stopping when a new leader begins. The store no longer has
// the job, so the new leader knows neither its size nor its customer from the workers.
TEST_CASE("a new leader counts the runs of a job that was just cancelled") {
  scheduler_fixture former;
  former.SetLimit(kTwoTasks);
  (void)former.Submit("a", 2, 1'000, "a");
  former.SaveRecords();
  const auto starts = former.Starts();
  REQUIRE(starts.size() == 2);
  (void)former.leader.Cancel("a", {kQueue, "a"}, former.now);
  former.SaveRecords();

  new_leader next{former};
  next.AddWorker("w0", {});
  (void)next.leader.Submit(MakeJob("n", 1, 1'000, "a"), next.now);
  next.Store();
  CHECK(next.Started().empty());
  next.AddWorker("w1", {});
  next.leader.Tick(next.now);
  CHECK(next.Started().size() == 1);
}

// A job is cancelled while a worker that may run its tasks hasn't answered the new leader yet. The
// job is forgotten at once, but its runs go on until that worker is told.
TEST_CASE("a new leader counts the unread runs of a job that it cancels") {
  scheduler_fixture former;
  former.SetLimit(kTwoTasks);
  (void)former.Submit("a", 2, 1'000, "a");
  former.SaveRecords();
  REQUIRE(former.Starts().size() == 2);

  new_leader next{former};
  next.AddWorker("w0", {});
  CHECK(next.leader.Cancel("a", {kQueue, "a"}, next.now) == cancel_verdict::kPending);
  next.Store();
  next.leader.Tick(next.now);
  (void)next.leader.Submit(MakeJob("n", 1, 1'000, "a"), next.now);
  next.Store();
  CHECK(next.Started().empty());
  next.AddWorker("w1", {});
  next.leader.Tick(next.now);
  CHECK(next.Started().size() == 1);
}

TEST_CASE("a customer sees and cancels only its own jobs") {
  scheduler_fixture fixture;
  (void)fixture.Submit("a", 1, 1'000, "a");
  (void)fixture.Store();
  CHECK(fixture.leader.Phase("a", {kQueue, "a"}) == job_phase::kQueued);
  CHECK_FALSE(fixture.leader.Phase("a", {kQueue, "b"}));
  CHECK(fixture.leader.Phase("a", {kQueue}) == job_phase::kQueued);
  CHECK(fixture.leader.Cancel("a", {kQueue, "b"}, fixture.now) == cancel_verdict::kUnknown);
  const auto taken = fixture.Submit("a", 1, 1'000, "b");
  CHECK(taken.verdict == submit_verdict::kRefused);
  CHECK(taken.reason == "id_in_use");
  CHECK(fixture.leader.Cancel("a", {kQueue, "a"}, fixture.now) == cancel_verdict::kPending);
  (void)fixture.Store();
  CHECK_FALSE(fixture.leader.Phase("a", {kQueue, "b"}));
  CHECK(fixture.leader.Phase("a", {kQueue, "a"}) == job_phase::kCancelled);
}

// A job keeps its customer over a change of leader, also after the customer's last key is gone.
TEST_CASE("a restored job belongs to its customer") {
  scheduler_fixture former;
  (void)former.Submit("a", 1, 1'000, "a");
  former.SaveRecords();
  const new_leader next{former};
  CHECK(next.leader.Phase("a", {kQueue, "a"}) == job_phase::kQueued);
  CHECK_FALSE(next.leader.Phase("a", {kQueue, "b"}));
}

// A job that was stored before its queue required keys has no customer.
TEST_CASE("a stored job without a customer is visible to any customer") {
  scheduler_fixture former;
  (void)former.Submit("a", 1);
  former.SaveRecords();
  new_leader next{former};
  CHECK(next.leader.Phase("a", {kQueue, "b"}) == job_phase::kQueued);
  CHECK(next.leader.Cancel("a", {kQueue, "b"}, next.now) == cancel_verdict::kPending);
}

}  // namespace rosearch::sched
