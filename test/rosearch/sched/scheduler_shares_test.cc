// Shares among customers in `scheduler`: what is reclaimed, for whom, and what operators see.
#include <catch2/catch.hpp>
#include <set>

#include "rosearch/sched/scheduler_fixture.h"

namespace rosearch::sched {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Workers of four processors, and customers "a" and "b" with the same weight. Customer "a"
/// fills the cell with tasks of 30 s.
class full_cell : public scheduler_fixture {
 public:
  explicit full_cell(bool checkpoints = true, double rate = 100, std::uint32_t workers = 2)
      : scheduler_fixture{workers} {
    auto next = leader.configuration();
    ++next.version;
    next.customers = {{"a", rate, {}, {}}, {"b", rate, {}, {}}};
    next.queues[0].priority = 2;
    leader.Configure(next, now);
    AddJob("lent", 4 * workers, "a", seconds{30}, checkpoints);
    for (const auto& start : Starts()) {
      leader.OnStartAnswer(start, start_outcome::kStarted, now);
      reports[start.worker].running.push_back({start.task, start.run, "", 1, 0});
    }
    AdvanceTime(seconds{1});
    for (const auto& [worker, report] : reports) {
      Report(worker, report);
    }
  }
  void AddJob(const std::string& id, std::uint32_t count, const std::string& customer,
              duration estimate, bool checkpoints = true, duration objective = seconds{60}) {
    auto job = MakeJob(id, count, 1'000, customer);
    job.steps[0].estimate = estimate;
    job.steps[0].checkpoints = checkpoints;
    job.objective = objective;
    REQUIRE(leader.Submit(job, now).verdict == submit_verdict::kPending);
    SaveRecords();
  }
  /// @return the number of runs stopped within a second; stop orders are repeated until answered.
  std::size_t StopsWithinSecond() {
    constexpr int kPasses = 20;
    for (int pass = 0; pass < kPasses; ++pass) {
      AdvanceTime(milliseconds{50});
      leader.Tick(now);
      (void)Starts();
    }
    std::set<std::string> tasks;
    for (const auto& stop : stops) {
      tasks.insert(stop.task);
    }
    return tasks.size();
  }

  std::map<std::string, worker_report> reports;
};

}  // namespace

// A customer that came first could otherwise keep the whole cell for as long as its tasks run.
TEST_CASE("lent room is reclaimed within a second, and no more than is needed") {
  full_cell cell;
  cell.AddJob("mine", 2, "b", seconds{10});
  CHECK(cell.StopsWithinSecond() == 2);
  CHECK(cell.log.Has("reason=preempted for=mine.0.0"));
}

// A stopped run takes a while to end. Each attempt until then considers other workers of a large
// pool, and would stop runs there for the same tasks.
TEST_CASE("a large pool stops no more runs than are needed either") {
  full_cell cell{true, 100, 80};
  cell.AddJob("mine", 2, "b", seconds{10});
  CHECK(cell.StopsWithinSecond() == 2);
}

TEST_CASE("room is reclaimed from runs without checkpoints, too, if their work is small enough") {
  full_cell cell{false};
  cell.AddJob("mine", 1, "b", seconds{10});
  CHECK(cell.StopsWithinSecond() == 1);
}

// Stops would discard work and the job would still be of no use.
TEST_CASE("nothing is preempted for a step that would be late all the same") {
  full_cell cell;
  cell.AddJob("late", 2, "b", seconds{10}, true, milliseconds{10'500});
  CHECK(cell.StopsWithinSecond() == 0);
}

// The runs have done more work than the step that would benefit has in all.
TEST_CASE("no more core-seconds are discarded than the step that benefits has") {
  full_cell cell;
  cell.AddJob("small", 1, "b", milliseconds{900});
  CHECK(cell.StopsWithinSecond() == 0);
}

// A customer beyond its rate could otherwise discard the work of all others.
TEST_CASE("nothing is preempted for work beyond the rate") {
  full_cell cell{true, 0.2};
  cell.AddJob("first", 1, "b", milliseconds{100});
  cell.AddJob("beyond", 1, "b", seconds{10});
  REQUIRE(cell.leader.Explain("beyond", cell.now).find("within_rate=0") != std::string::npos);
  CHECK(cell.StopsWithinSecond() == 0);
}

// Two customers could otherwise stop each other's runs in turn.
TEST_CASE("a customer reclaims no more than its share") {
  full_cell cell;
  cell.AddJob("mine", 8, "b", seconds{10});
  CHECK(cell.StopsWithinSecond() <= 4);
}

TEST_CASE("without customers in the configuration nothing is reclaimed") {
  scheduler_fixture fixture;
  (void)fixture.Submit("all", 8, 1'000, "a");
  (void)fixture.Store();
  (void)fixture.Starts();
  (void)fixture.Submit("mine", 2, 1'000, "b");
  (void)fixture.Store();
  fixture.AdvanceTime(seconds{1});
  (void)fixture.Starts();
  CHECK(fixture.stops.empty());
  CHECK(fixture.leader.Dump(fixture.now).find("\nshare ") == std::string::npos);
}

TEST_CASE("operators see what each customer uses, lends and borrows") {
  full_cell cell;
  cell.AddJob("mine", 1, "b", seconds{10});
  const auto dump = cell.leader.Dump(cell.now);
  CHECK(dump.find("share a pool=pool priority=2 cpu=8000 mb=800 accelerators=0 "
                  "used_permille=1000 entitled_permille=500 lent_permille=0 "
                  "borrowed_permille=500") != std::string::npos);
  CHECK(dump.find("share b pool=pool priority=2 cpu=0") != std::string::npos);
  CHECK(dump.find("lent_permille=500 borrowed_permille=0") != std::string::npos);
}

// An operator who is asked why a job waits has to see that its customer borrows.
TEST_CASE("a job says that it waits for its customer's share") {
  full_cell cell{true, 0.2};
  cell.AddJob("beyond", 1, "a", seconds{10});
  (void)cell.Starts();
  const auto why = cell.leader.Explain("beyond", cell.now);
  CHECK(why.find("share used_permille=1000 entitled_permille=500") != std::string::npos);
  CHECK(why.find("waits_for=customer_share") != std::string::npos);
}

// A new leader would otherwise treat every customer as using nothing.
TEST_CASE("a new leader recomputes the shares from the runs that workers report") {
  full_cell cell;
  cell.SaveRecords();
  new_leader next{cell};
  for (const auto& [worker, report] : cell.reports) {
    next.AddWorker(worker, report);
  }
  (void)next.Orders();
  CHECK(next.leader.Dump(next.now).find("share a pool=pool priority=2 cpu=8000") !=
        std::string::npos);
}

}  // namespace rosearch::sched
