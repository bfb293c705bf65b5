#include "rosearch/sched/scheduler.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <set>

#include "rosearch/sched/cell_world.h"
#include "rosearch/sched/scheduler_fixture.h"

namespace rosearch::sched {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

}  // namespace

TEST_CASE("nothing of a job starts before its record is stored") {
  scheduler_fixture fixture;
  CHECK(fixture.Submit("a", 1).verdict == submit_verdict::kPending);
  CHECK(fixture.Starts().empty());
  CHECK_FALSE(fixture.leader.Phase("a", {kQueue}));
  (void)fixture.Store();
  CHECK(fixture.Starts().size() == 1);
  CHECK(fixture.leader.Phase("a", {kQueue}) == job_phase::kRunning);
}

TEST_CASE("a job submitted twice is one job") {
  scheduler_fixture fixture;
  (void)fixture.Submit("a", 1);
  CHECK(fixture.Submit("a", 1).verdict == submit_verdict::kPending);
  (void)fixture.Store();
  CHECK(fixture.Submit("a", 1).verdict == submit_verdict::kAccepted);
  CHECK(fixture.Starts().size() == 1);
}

// Jobs that were ordered to a worker that has gone dark haven't begun, and their callers were told
// that nothing waits.
TEST_CASE("a job waits until a worker says that a task of it has started") {
  scheduler_fixture fixture;
  (void)fixture.Submit("a", 2);
  (void)fixture.Store();
  const auto starts = fixture.Starts();
  REQUIRE(starts.size() == 2);
  CHECK(fixture.leader.CountWaitingJobs(kQueue) == 1);
  fixture.leader.OnStartAnswer(starts[0], start_outcome::kUnknown, fixture.now);
  CHECK(fixture.leader.CountWaitingJobs(kQueue) == 1);
  fixture.leader.OnStartAnswer(starts[1], start_outcome::kStarted, fixture.now);
  CHECK(fixture.leader.CountWaitingJobs(kQueue) == 0);
}

TEST_CASE("a job that a former leader ordered waits until it is seen to run") {
  scheduler_fixture fixture;
  (void)fixture.Submit("a", 1);
  fixture.SaveRecords();
  REQUIRE(fixture.Starts().size() == 1);
  fixture.SaveRecords();
  new_leader successor{fixture};
  CHECK(successor.leader.CountWaitingJobs(kQueue) == 1);
}

TEST_CASE("a job that fits no worker is refused at once, without a retry time") {
  scheduler_fixture fixture;
  const auto answer = fixture.Submit("a", 1, 9'000);
  CHECK(answer.verdict == submit_verdict::kRefused);
  CHECK(answer.retry_after == duration{});
  CHECK(fixture.log.Has("reason=never_fits"));
}

// The store is unreachable while a caller submits a job. The caller gets a refusal at once, so the
// job must never run.
TEST_CASE("an unsent job is refused for good when the store is unreachable") {
  scheduler_fixture fixture;
  (void)fixture.Submit("a", 1);
  fixture.leader.RefuseUnsentJobs();
  const auto settled = fixture.leader.TakeSettled();
  REQUIRE(settled.size() == 1);
  CHECK_FALSE(settled[0].accepted);
  (void)fixture.Store();
  CHECK(fixture.Starts().empty());
}

// The append that carries a job was sent and not answered, so the job may be stored and run later.
// A caller that submits it again must not get a refusal.
TEST_CASE("a job whose append is in flight stays pending when the store is unreachable") {
  scheduler_fixture fixture;
  (void)fixture.Submit("a", 1);
  const auto batch = fixture.leader.TakeBatch();
  fixture.leader.RefuseUnsentJobs();
  CHECK(fixture.leader.IsPending("a"));
  CHECK(fixture.leader.TakeSettled().empty());
  fixture.leader.OnStored(batch.number, fixture.now);
  CHECK(fixture.leader.TakeSettled().at(0).accepted);
}

TEST_CASE("a worker is never overcommitted") {
  scheduler_fixture fixture{1};
  (void)fixture.Submit("a", 6);
  (void)fixture.Store();
  CHECK(fixture.Starts().size() == 4);
  CHECK(fixture.Starts().empty());
}

// A start order was sent twice by different routes. The first copy was executed and its run ended
// before the second arrived, which the worker refuses as stale. If the leader concluded that
// the run never started, the task would run twice and a caller would pay twice.
TEST_CASE("a start order refused as stale counts as executed") {
  scheduler_fixture fixture;
  (void)fixture.Submit("a", 1);
  (void)fixture.Store();
  const auto start = fixture.Starts().at(0);
  fixture.leader.OnStartAnswer(start, start_outcome::kStaleRun, fixture.now);
  CHECK(fixture.Starts().empty());
  worker_report report;
  report.ended = {{1, start.task, start.run, end_kind::kDone, ""}};
  fixture.AdvanceTime(milliseconds{50});
  fixture.Report(start.worker, report);
  (void)fixture.Store();
  CHECK(fixture.leader.Phase("a", {kQueue}) == job_phase::kCompleted);
  CHECK(fixture.Starts().empty());
}

// A start order is not answered, and the worker refuses its retry for lack of room. The first copy
// may still arrive, so the task must not start elsewhere until the worker confirms that the run can
// no longer start.
TEST_CASE("a refused retry does not settle an earlier unanswered start order") {
  scheduler_fixture fixture;
  (void)fixture.Submit("a", 1);
  (void)fixture.Store();
  const auto first = fixture.Starts().at(0);
  fixture.leader.OnStartAnswer(first, start_outcome::kUnknown, fixture.now);
  fixture.leader.Tick(fixture.now);
  const auto second = fixture.Starts();
  REQUIRE(second.size() == 1);
  CHECK(second[0].run == first.run);
  CHECK(second[0].worker == first.worker);
  fixture.leader.OnStartAnswer(second[0], start_outcome::kNoRoom, fixture.now);
  CHECK(fixture.Starts().empty());
  REQUIRE(fixture.stops.size() == 1);
  fixture.leader.OnStopAnswer(fixture.stops[0], true, fixture.now);
  fixture.AdvanceTime(milliseconds{100});
  fixture.Report(first.worker, {});
  const auto third = fixture.Starts();
  REQUIRE(third.size() == 1);
  CHECK(third[0].run > first.run);
}

// The runs of an unreachable worker continue until its lease has expired by its own clock, which
// may be slow. A task that started elsewhere before then would run in two places.
TEST_CASE("tasks of a silent worker start elsewhere only after its lease has expired") {
  scheduler_fixture fixture;
  (void)fixture.Submit("a", 1);
  (void)fixture.Store();
  const auto first = fixture.Starts().at(0);
  fixture.leader.OnStartAnswer(first, start_outcome::kStarted, fixture.now);
  // A single unanswered watch is mostly a lost answer; two make the worker silent.
  fixture.leader.OnWatchFailed(first.worker, watch_failure::kNoAnswer, fixture.now);
  fixture.leader.OnWatchFailed(first.worker, watch_failure::kNoAnswer, fixture.now);
  fixture.AdvanceTime(milliseconds{6'100});
  fixture.leader.Tick(fixture.now);
  CHECK(fixture.Starts().empty());
  fixture.AdvanceTime(milliseconds{400});
  fixture.leader.Tick(fixture.now);
  const auto second = fixture.Starts();
  REQUIRE(second.size() == 1);
  CHECK(second[0].worker != first.worker);
}

// Neither a start order nor the order to stop its run is answered. The worker doesn't list the run,
// but the start order may still be in flight, and the worker would execute it.
TEST_CASE("an unlisted run is over only once its worker has confirmed the stop order") {
  scheduler_fixture fixture;
  (void)fixture.Submit("a", 1);
  (void)fixture.Store();
  const auto first = fixture.Starts().at(0);
  for (int attempt = 0; attempt < 3; ++attempt) {
    fixture.leader.OnStartAnswer(first, start_outcome::kUnknown, fixture.now);
    fixture.leader.Tick(fixture.now);
    (void)fixture.Starts();
  }
  REQUIRE(fixture.stops.size() == 1);
  fixture.leader.OnStopAnswer(fixture.stops[0], false, fixture.now);
  fixture.AdvanceTime(milliseconds{100});
  fixture.Report(first.worker, {});
  CHECK(fixture.Starts().empty());
  fixture.leader.OnStopAnswer(fixture.stops[0], true, fixture.now);
  fixture.AdvanceTime(milliseconds{100});
  fixture.Report(first.worker, {});
  CHECK(fixture.Starts().size() == 1);
}

// A leader dies right after its first start at a new worker, which then becomes unreachable. A new
// leader without a record of the worker wouldn't wait for its lease to expire, and the task would
// run in two places.
TEST_CASE("nothing starts at a worker that isn't recorded") {
  scheduler_fixture fixture{0};
  worker_facts facts{"w7", "10.0.0.7:80", "pool", "", "", "", {}, {4'000, 8'000, 0}, false, {}};
  (void)fixture.Submit("a", 1);
  (void)fixture.Store();
  fixture.leader.ObserveWorker(facts, fixture.now);
  (void)fixture.Store();
  fixture.Report("w7", {});
  CHECK(fixture.Starts().empty());
  const auto records = fixture.Store();
  CHECK(fixture.Starts().size() == 1);
  CHECK(std::ranges::any_of(records, [](const auto& record) { return record.key == "w"; }));
}

TEST_CASE("a restarted worker at the same address ends the former runs at once") {
  scheduler_fixture fixture;
  (void)fixture.Submit("a", 1);
  (void)fixture.Store();
  const auto first = fixture.Starts().at(0);
  fixture.leader.OnStartAnswer(first, start_outcome::kStarted, fixture.now);
  fixture.leader.OnWatchFailed(first.worker, watch_failure::kOtherIncarnation, fixture.now);
  CHECK(fixture.Starts().size() == 1);
}

TEST_CASE("a run's end is acknowledged only once its effects are stored") {
  scheduler_fixture fixture;
  (void)fixture.Submit("a", 2);
  (void)fixture.Store();
  const auto starts = fixture.Starts();
  worker_report report;
  report.ended = {{1, starts[0].task, starts[0].run, end_kind::kDone, ""}};
  fixture.Report(starts[0].worker, report);
  CHECK(fixture.leader.NextWatch(starts[0].worker, fixture.now)->acked_end == 0);
  (void)fixture.Store();
  CHECK(fixture.leader.NextWatch(starts[0].worker, fixture.now)->acked_end == 1);
}

// Guards against a leader whose processor is used up by watches of thousands of busy workers, so
// that its relays and followers take its late answers for its loss.
TEST_CASE("watches of busy workers are bounded by the number of workers") {
  for (const std::size_t workers : {100U, 760U, 3'000U}) {
    scheduler_fixture fixture{workers};
    (void)fixture.Submit("a", 1);
    (void)fixture.Store();
    const auto started = fixture.Starts().at(0);
    fixture.leader.OnStartAnswer(started, start_outcome::kStarted, fixture.now);
    const auto watch = fixture.leader.NextWatch(started.worker, fixture.now);
    REQUIRE(watch);
    CHECK(watch->wait >= milliseconds{600});
    CHECK(watch->wait <= seconds{2});
    // 1,500 watches a second take a tenth of a processor.
    CHECK(workers / std::chrono::duration<double>(watch->wait).count() <= 1'500);
  }
}

TEST_CASE("a job is shown as completed only once that is stored") {
  scheduler_fixture fixture;
  (void)fixture.Submit("a", 1);
  (void)fixture.Store();
  const auto start = fixture.Starts().at(0);
  worker_report report;
  report.ended = {{1, start.task, start.run, end_kind::kDone, ""}};
  fixture.Report(start.worker, report);
  CHECK(fixture.leader.Phase("a", {kQueue}) == job_phase::kRunning);
  (void)fixture.Store();
  CHECK(fixture.leader.Phase("a", {kQueue}) == job_phase::kCompleted);
}

// A new leader receives failed ends from workers in any order, here the newest first, and some of
// them again after they were stored. Each run counts as one attempt: a task with two allowed
// attempts is retried after one failed run, and not after two.
TEST_CASE("failed ends count once each, in whatever order workers list them") {
  scheduler_fixture first;
  (void)first.Submit("a", 1);
  const auto records = first.Store();
  scheduler_fixture next{0, 2};
  for (const auto& record : records) {
    CHECK(next.leader.Restore(record, next.now));
  }
  next.leader.FinishRestore(next.now);
  worker_facts facts{"w7", "10.0.0.7:80", "pool", "", "", "", {}, {4'000, 8'000, 0}, false, {}};
  next.leader.ObserveWorker(facts, next.now);
  worker_report report;
  report.ended = {{1, "a.0.0.0", 2, end_kind::kFailed, ""},
                  {2, "a.0.0.0", 2, end_kind::kFailed, ""}};
  next.Report("w7", report);
  CHECK(next.leader.Phase("a", {kQueue}) == job_phase::kQueued);
  report.ended = {{3, "a.0.0.0", 1, end_kind::kFailed, ""}};
  next.Report("w7", report);
  (void)next.Store();
  CHECK(next.leader.Phase("a", {kQueue}) == job_phase::kFailed);
}

// The former leader may have started any task at a worker that doesn't answer the new leader. No
// task of an old job starts until that worker's lease has expired, while new jobs run at once.
TEST_CASE("after a change of leader old tasks wait for unreachable workers") {
  scheduler_fixture first;
  (void)first.Submit("old", 1);
  auto records = first.Store();
  scheduler_fixture workers_known;
  (void)workers_known.Submit("x", 1);
  recording_sink log;
  scheduler next{scheduler_settings{}, 2, log};
  next.Configure(first.leader.configuration(), first.now);
  CHECK(next.Restore(records.at(0), first.now));
  // The record of the workers was stored by the batch before.
  scheduler_fixture recorder{0};
  worker_facts facts{"w7", "10.0.0.7:80", "pool", "", "", "", {}, {4'000, 8'000, 0}, false, {}};
  recorder.leader.ObserveWorker(facts, recorder.now);
  (void)recorder.Store();
  recorder.Report("w7", {});
  const auto stored = recorder.Store();
  CHECK(next.Restore(stored.at(0), first.now));
  next.FinishRestore(first.now);
  CHECK_FALSE(next.OldRunsSettled());
  auto now = first.now;
  now.steady += seconds{8};
  next.Tick(now);
  CHECK_FALSE(next.OldRunsSettled());
  now.steady += seconds{1};
  next.Tick(now);
  CHECK(next.OldRunsSettled());
}

// A worker is lost permanently, and the leader dies shortly afterwards. Only the tasks that ran at
// that worker have to wait for its lease. Unless the store tells which these are, all old work
// would wait for 8 s.
TEST_CASE("after a change of leader only the tasks of a silent worker wait for it") {
  scheduler_fixture first;
  (void)first.Submit("a", 1);
  (void)first.Submit("b", 1);
  first.SaveRecords();
  const auto starts = first.Starts();
  REQUIRE(starts.size() == 2);
  REQUIRE(starts[0].worker != starts[1].worker);
  const auto& lost = starts[0];
  first.leader.OnWatchFailed(lost.worker, watch_failure::kNoAnswer, first.now);
  first.leader.OnWatchFailed(lost.worker, watch_failure::kNoAnswer, first.now);
  REQUIRE(first.leader.HasRecords());
  first.SaveRecords();

  new_leader next{first};
  CHECK_FALSE(next.leader.OldRunsSettled());
  next.AddWorker(starts[1].worker);
  CHECK(next.leader.OldRunsSettled());
  const auto orders = next.Orders();
  REQUIRE(orders.size() == 1);
  CHECK(std::get<start_order>(orders[0]).task == starts[1].task);
  next.now.steady += seconds{9};
  next.leader.Tick(next.now);
  const auto rest = next.Orders();
  CHECK(std::ranges::any_of(rest, [&](const auto& each) {
    const auto* const start = std::get_if<start_order>(&each);
    return start != nullptr && start->task == lost.task;
  }));
}

// During a rolling replacement of workers the leader dies, and a worker that was leaving is gone by
// the time the new leader takes over. The store tells which tasks ran there, so all other old work
// must not wait for its lease.
TEST_CASE("after a change of leader only the tasks of a leaving worker wait for it") {
  scheduler_fixture first;
  (void)first.Submit("a", 1);
  (void)first.Submit("b", 1);
  first.SaveRecords();
  const auto starts = first.Starts();
  REQUIRE(starts.size() == 2);
  REQUIRE(starts[0].worker != starts[1].worker);
  const auto& leaving = starts[0];
  first.leader.ObserveWorker(
      {leaving.worker, "10.0.0.1:80", "pool", "", "", "", {}, {4'000, 8'000, 0}, true, seconds{2}},
      first.now);
  REQUIRE(first.leader.HasRecords());
  first.SaveRecords();

  new_leader next{first};
  next.AddWorker(starts[1].worker);
  CHECK(next.leader.OldRunsSettled());
  CHECK(next.Started() == std::vector{starts[1].task});
  next.now.steady += seconds{9};
  next.leader.Tick(next.now);
  CHECK(next.Started() == std::vector{leaving.task});
}

// A worker dies together with the leader. It never accepts a step that advice doesn't allow there,
// whatever it was ordered to run: such steps continue at once, and the others wait for its lease.
TEST_CASE("after a change of leader advice tells which steps a lost worker can't run") {
  scheduler_fixture first;
  auto advised = first.leader.configuration();
  advised.version = 2;
  advised.queues[0].advice = advice_cost{milliseconds{20}, milliseconds{1}, seconds{2}};
  first.leader.Configure(advised, first.now);
  (void)first.Submit("a", 1);
  (void)first.Submit("b", 1);
  first.SaveRecords();

  new_leader next{first};
  next.AddWorker("w1");
  CHECK_FALSE(next.leader.OldRunsSettled());
  std::size_t asked = 0;
  for (const auto& decided : next.Orders()) {
    const auto* const query = std::get_if<advice_query>(&decided);
    REQUIRE(query != nullptr);
    REQUIRE(std::ranges::find(query->workers, "w0") != query->workers.end());
    std::vector<advised_worker> allowed{{"w1", "ticket"}};
    if (query->step == "b.0.0") {
      allowed.push_back({"w0", "ticket"});
    }
    next.leader.OnAdvice(*query, &allowed, next.now);
    ++asked;
  }
  CHECK(asked == 2);
  CHECK(next.Started() == std::vector<std::string>{"a.0.0.0"});
  next.now.steady += seconds{9};
  next.leader.Tick(next.now);
  CHECK(next.leader.OldRunsSettled());
}

// If each advice query visited every worker, a leader would decide ten times slower with ten times
// the workers: a burst that it served at 100 workers was late at 1,000.
TEST_CASE("advice candidates in a large pool are found without visiting every worker") {
  constexpr std::size_t kWorkers = 2'000;
  constexpr std::size_t kJobs = 50;
  constexpr std::uint64_t kMaxVisitsPerQuery = 256;
  scheduler_fixture fixture{kWorkers};
  auto advised = fixture.leader.configuration();
  ++advised.version;
  advised.queues[0].advice = advice_cost{milliseconds{39}, milliseconds{1}, milliseconds{2'500}};
  fixture.leader.Configure(advised, fixture.now);
  const auto asked = [&](const std::string& prefix) {
    for (std::size_t at = 0; at < kJobs; ++at) {
      (void)fixture.Submit(prefix + std::to_string(at), 4);
    }
    (void)fixture.Store();
    const auto before = fixture.leader.Counts(fixture.now).workers_considered;
    fixture.leader.Schedule(fixture.now);
    std::vector<advice_query> queries;
    for (auto& each : fixture.leader.TakeOrders()) {
      queries.push_back(std::get<advice_query>(std::move(each)));
    }
    REQUIRE(queries.size() == kJobs);
    CHECK(fixture.leader.Counts(fixture.now).workers_considered - before <=
          kJobs * kMaxVisitsPerQuery);
    return queries;
  };
  SECTION("most are empty") {
    for (const auto& query : asked("calm-")) {
      CHECK(query.workers.size() >= 6);
    }
  }
  SECTION("one alone has room") {
    // Fill all other workers with runs before the queue requires advice.
    advised.queues[0].advice.reset();
    ++advised.version;
    fixture.leader.Configure(advised, fixture.now);
    (void)fixture.Submit("fills", kWorkers - 1, 4'000);
    (void)fixture.Store();
    std::set<std::string> free;
    for (std::size_t at = 0; at < kWorkers; ++at) {
      free.insert("w" + std::to_string(at));
    }
    for (const auto& start : fixture.Starts()) {
      free.erase(start.worker);
    }
    REQUIRE(free.size() == 1);
    advised.queues[0].advice = advice_cost{milliseconds{39}, milliseconds{1}, milliseconds{2'500}};
    ++advised.version;
    fixture.leader.Configure(advised, fixture.now);
    for (const auto& query : asked("late-")) {
      CHECK(query.workers.front() == *free.begin());
    }
  }
}

// The newest record of a job is lost with its leader. The stored one says that the first step is
// still running, while a worker already runs the second. When that run is lost too, the second step
// must wait for the first again.
TEST_CASE("a lost run doesn't make its step ready before the preceding step is done") {
  scheduler_fixture fixture;
  job_spec job;
  job.id = "a";
  job.queue = kQueue;
  job.pool = "pool";
  job.max_attempts = 2;
  job.steps.resize(2);
  for (auto& step : job.steps) {
    step.count = 1;
    step.need = {1'000, 100, 0};
    step.estimate = milliseconds{500};
  }
  job.steps[1].after = {0};
  job.objective = seconds{10};
  (void)fixture.leader.Submit(job, fixture.now);
  fixture.SaveRecords();
  new_leader next{fixture};
  worker_report runs_second;
  runs_second.running = {{"a.0.1.0", 1, {}, 10, 0}};
  next.AddWorker("w0", runs_second);
  next.AddWorker("w1");
  next.leader.OnWatchFailed("w0", watch_failure::kOtherIncarnation, next.now);
  for (int pass = 0; pass < 3; ++pass) {
    next.now.steady += milliseconds{60};
    for (const auto& task : next.Started()) {
      CHECK(task == "a.0.0.0");
    }
    next.leader.Tick(next.now);
  }
}

// In a large cell, hundreds of workers answer a new leader one after another while old work waits
// for the last of them. When each answer caused a retry of every waiting step, the leader had no
// time left for its peers, which considered it dead.
TEST_CASE("worker answers to a new leader don't cause a retry of every waiting step") {
  constexpr std::size_t kWorkers = 400;
  constexpr int kJobs = 200;
  constexpr milliseconds kAnswerInterval{1};
  constexpr int kAnswersPerPass = 4;
  scheduler_fixture fixture{kWorkers};
  for (int at = 0; at < kJobs; ++at) {
    (void)fixture.Submit("j" + std::to_string(at), 1);
  }
  fixture.SaveRecords();
  new_leader next{fixture};
  std::size_t started = 0;
  for (std::size_t at = 0; at < kWorkers; ++at) {
    next.now.steady += kAnswerInterval;
    next.AddWorker("w" + std::to_string(at));
    if (at % kAnswersPerPass == 0) {
      started += next.Started().size();
    }
  }
  // Each step is retried every 50 ms and as the last workers settle.
  constexpr auto kRetries =
      static_cast<std::uint64_t>(kWorkers * kAnswerInterval / milliseconds{50});
  CHECK(next.leader.Counts(next.now).placement_attempts <= kJobs * (kRetries + 4));
  started += next.Started().size();
  CHECK(started == kJobs);
}

// The process that sent an advice query dies before it has the answer. Without a retry the caller's
// job is accepted and never starts, with most of the capacity free.
TEST_CASE("an unanswered advice query is sent again") {
  scheduler_fixture fixture{1};
  auto advised = fixture.leader.configuration();
  advised.version = 2;
  advised.queues[0].advice = advice_cost{milliseconds{20}, milliseconds{1}, seconds{2}};
  fixture.leader.Configure(advised, fixture.now);
  (void)fixture.Submit("a", 1);
  (void)fixture.Store();
  const auto count_queries = [&] {
    fixture.leader.Schedule(fixture.now);
    const auto orders = fixture.leader.TakeOrders();
    return std::ranges::count_if(
        orders, [](const auto& each) { return std::holds_alternative<advice_query>(each); });
  };
  CHECK(count_queries() == 1);
  fixture.AdvanceTime(scheduler_settings{}.advice_timeout);
  CHECK(count_queries() == 0);
  fixture.AdvanceTime(milliseconds{30});
  CHECK(count_queries() == 1);
  CHECK(fixture.log.Has("event=advice_overdue"));
}

// Tasks need half a worker each, at workers that no urgent queue uses. Reserving a share of each
// worker for urgent work would leave half of each worker idle while callers wait.
TEST_CASE("capacity is reserved for urgent work only where a queue is urgent") {
  const auto started_tasks = [](std::uint32_t other_priority) {
    scheduler_fixture fixture{1};
    auto made = fixture.leader.configuration();
    made.version = 2;
    made.queues[0].priority = 1;
    made.queues.push_back(made.queues[0]);
    made.queues[1].path_prefix = "/other/";
    made.queues[1].priority = other_priority;
    fixture.leader.Configure(made, fixture.now);
    (void)fixture.Submit("a", 2, 2'000);
    (void)fixture.Store();
    return fixture.Starts().size();
  };
  CHECK(started_tasks(1) == 2);
  CHECK(started_tasks(0) == 1);
}

TEST_CASE("a leaving worker gets no new work") {
  scheduler_fixture fixture{1};
  worker_facts facts{"w0", "10.0.0.1:80",     "pool", "",        "", "",
                     {},   {4'000, 8'000, 0}, true,   seconds{5}};
  fixture.leader.ObserveWorker(facts, fixture.now);
  (void)fixture.Submit("a", 1);
  (void)fixture.Store();
  CHECK(fixture.Starts().empty());
}

// An operator who looks into a slow job must learn from the leader what the job waits for.
TEST_CASE("Explain names what a job waits for at every stage") {
  scheduler_fixture fixture;
  (void)fixture.Submit("a", 1);
  (void)fixture.Submit("b", 12);
  CHECK(fixture.leader.Explain("a", fixture.now).find("waits_for=store") != std::string::npos);
  (void)fixture.Store();
  CHECK(fixture.Starts().size() == 8);
  CHECK(fixture.leader.Explain("a", fixture.now).find("waits_for=its_runs") != std::string::npos);
  const auto room = fixture.leader.Explain("b", fixture.now);
  CHECK(room.find("waits_for=workers") != std::string::npos);
  CHECK(room.find("no_room=2 open=0") != std::string::npos);
  CHECK(fixture.leader.Dump(fixture.now).find("step b.0.0 idle=5") != std::string::npos);
  CHECK(fixture.leader.Explain("c", fixture.now).find("unknown") != std::string::npos);
  (void)fixture.leader.Cancel("b", {kQueue}, fixture.now);
  CHECK(fixture.leader.Explain("b", fixture.now).find("phase=cancelled") != std::string::npos);
}

TEST_CASE("the waiting time and duration of a job are recorded once each") {
  scheduler_fixture fixture;
  (void)fixture.Submit("a", 1);
  (void)fixture.Store();
  fixture.AdvanceTime(milliseconds{40});
  const auto start = fixture.Starts().at(0);
  fixture.AdvanceTime(milliseconds{500});
  fixture.Report(start.worker, {{}, {{1, start.task, start.run, end_kind::kDone, ""}}});
  const auto timings = fixture.leader.TakeTimings();
  REQUIRE(timings.size() == 2);
  CHECK(timings[0] == job_timing{false, job_phase::kQueued, 0, milliseconds{40}});
  CHECK(timings[1] == job_timing{true, job_phase::kCompleted, 0, milliseconds{540}});
  CHECK(fixture.leader.TakeTimings().empty());
}

TEST_CASE("a newer leader at a worker ends all decisions") {
  scheduler_fixture fixture;
  (void)fixture.Submit("a", 1);
  (void)fixture.Store();
  const auto start = fixture.Starts().at(0);
  fixture.leader.OnStartAnswer(start, start_outcome::kStaleFence, fixture.now);
  CHECK(fixture.leader.Deposed());
  CHECK(fixture.Starts().empty());
}

TEST_CASE("a cancelled job stops and is acknowledged once that is stored") {
  scheduler_fixture fixture;
  (void)fixture.Submit("a", 1);
  (void)fixture.Store();
  const auto start = fixture.Starts().at(0);
  fixture.leader.OnStartAnswer(start, start_outcome::kStarted, fixture.now);
  CHECK(fixture.leader.Cancel("a", {kQueue}, fixture.now) == cancel_verdict::kPending);
  (void)fixture.Starts();
  CHECK(fixture.stops.size() == 1);
  (void)fixture.Store();
  CHECK(fixture.leader.Cancel("a", {kQueue}, fixture.now) == cancel_verdict::kCancelled);
  CHECK(fixture.leader.Cancel("b", {kQueue}, fixture.now) == cancel_verdict::kUnknown);
}

}  // namespace rosearch::sched
