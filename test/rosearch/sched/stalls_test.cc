#include <algorithm>
#include <catch2/catch.hpp>
#include <set>
#include <string>

#include "rosearch/sched/cell_world.h"

namespace rosearch::sched {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

job_spec OneTask() {
  job_spec job;
  job.steps.resize(1);
  job.steps[0].need = {1'000, 1'000, 0};
  job.steps[0].estimate = milliseconds{300};
  return job;
}

/// A job without advice whose tasks may run only in the first of three racks.
job_spec InFirstRack(std::uint32_t count, const resources& need, milliseconds estimate) {
  job_spec job;
  job.queue = cell_world::kLongQueue;
  job.steps.resize(1);
  job.steps[0].count = count;
  job.steps[0].need = need;
  job.steps[0].estimate = estimate;
  job.steps[0].required_label = "r0";
  job.objective = seconds{120};
  return job;
}

constexpr std::size_t kWorkers = 12;  ///< four in each rack
constexpr resources kWorker{64'000, 128'000, 8};
/// A job that could run must not stand for as long as this.
constexpr duration kMaxStand = seconds{3};

/// A gang that needs all workers of the first rack whole.
job_spec WholeRackGang() {
  auto job = InFirstRack(4, {1'000, 1'000, 8}, seconds{5});
  job.steps[0].gang = true;
  return job;
}

/// Occupies one worker of the first rack, so that a gang which needs all of them reserves the rest.
void ReserveFirstRack(cell_world& world, seconds for_time) {
  world.Run(seconds{1});
  (void)world.Submit(InFirstRack(1, {1'000, 1'000, 1}, for_time));
  world.Run(milliseconds{100});
  (void)world.Submit(WholeRackGang());
  world.Run(seconds{2});
  REQUIRE(world.Log().Has("event=worker_reserved"));
}

/// @return whether a job was reported as stalled with this part in the line.
bool Stalled(const cell_world& world, const std::string& id, const std::string& part) {
  return std::ranges::any_of(world.Log().lines, [&](const std::string& line) {
    return line.find("event=step_stalled job=" + id + ' ') != std::string::npos &&
           line.find(part) != std::string::npos;
  });
}

}  // namespace

TEST_CASE("places are limited by the scarcest resource") {
  constexpr resources kRoom{16'000, 64'000, 3};
  CHECK(resources{4'000, 1'000, 0}.CountIn(kRoom) == 4);
  CHECK(resources{4'000, 1'000, 1}.CountIn(kRoom) == 3);
  CHECK(resources{1'000, 30'000, 0}.CountIn(kRoom) == 2);
  CHECK(resources{1'000, 1'000, 4}.CountIn(kRoom) == 0);
  CHECK(resources{1'000, 1'000, 0}.CountIn({-1'000, 64'000, 0}) == 0);
}

// Guards against a stalled job that leaves no trace, although the cell is idle.
TEST_CASE("a step whose advice doesn't come is reported as stalled") {
  world_faults faults;
  faults.advice_answer_lost = 1;
  cell_world world{1, faults, 6};
  world.Run(seconds{1});
  const auto id = world.Submit(OneTask());
  world.Run(milliseconds{3'000});
  const auto counts = world.Leader().Counts(world.Now());
  CHECK(counts.stalled_steps == 1);
  CHECK(counts.oldest_stall > milliseconds{1'500});
  CHECK(world.Log().Has("event=step_stalled job=" + id));
  CHECK(world.Log().Has("advice=in_flight"));
  world.ClearFaults();
  world.Run(scheduler_settings{}.advice_timeout);
  CHECK(world.Log().Has("event=step_stall_ended job=" + id));
  CHECK(world.Leader().Counts(world.Now()).stalled_steps == 0);
}

// Guards against a job that stands beside idle workers, because a gang that waits for its last
// worker has reserved them.
TEST_CASE("a reservation that can't be used yet keeps no job standing") {
  cell_world world{1, {}, kWorkers, {}, {.worker = kWorker, .has_urgent_queue = false}};
  ReserveFirstRack(world, seconds{20});
  const auto id = world.Submit(InFirstRack(1, {1'000, 1'000, 1}, seconds{30}));
  world.Run(kMaxStand);
  CHECK(world.RunningCount(id) == 1);
  CHECK(Stalled(world, id, " workers=4 reserved=4 "));
}

// Guards against a service of which most tasks stand, because one of them has started.
TEST_CASE("a reservation that can't be used yet keeps no task of a service standing") {
  cell_world world{1, {}, kWorkers, {}, {.worker = kWorker, .has_urgent_queue = false}};
  ReserveFirstRack(world, seconds{40});
  auto service = InFirstRack(8, {1'000, 1'000, 1}, seconds{30});
  service.steps[0].service = true;
  const auto id = world.Submit(std::move(service));
  world.Run(kMaxStand);
  CHECK(world.RunningCount(id) == 8);
}

TEST_CASE("a reservation that can't be used yet keeps no task on leftover processors standing") {
  cell_world world{1, {}, kWorkers, {}, {.worker = kWorker, .has_urgent_queue = false}};
  ReserveFirstRack(world, seconds{40});
  auto job = InFirstRack(1, {1'000, 1'000, 1}, seconds{30});
  job.steps[0].uses_leftover = true;
  const auto id = world.Submit(std::move(job));
  world.Run(kMaxStand);
  CHECK(world.RunningCount(id) == 1);
}

// Guards against a gang whose reserved workers are used by one small job after the other.
TEST_CASE("small jobs that stall one after the other keep no gang from its workers") {
  cell_world world{1, {}, kWorkers, {}, {.worker = kWorker, .has_urgent_queue = false}};
  world.Run(seconds{1});
  (void)world.Submit(InFirstRack(1, {1'000, 1'000, 1}, seconds{4}));
  world.Run(milliseconds{100});
  const auto gang = world.Submit(WholeRackGang());
  for (int at = 0; at < 40 && world.RunningCount(gang) == 0; ++at) {
    (void)world.Submit(InFirstRack(1, {1'000, 1'000, 1}, seconds{4}));
    world.Run(milliseconds{500});
  }
  CHECK(world.RunningCount(gang) == 4);
}

// Guards against steps that are never checked, because too many others wait before them.
TEST_CASE("a stalled step is found behind many that wait for room") {
  constexpr std::size_t kManyWorkers = 760;
  cell_world world{1, {}, kManyWorkers, {}, {.worker = {10'000, 128'000, 0}}};
  world.Run(seconds{1});
  (void)world.Submit(InFirstRack(4, {8'500, 1'000, 0}, seconds{60}));
  world.Run(milliseconds{500});
  for (int at = 0; at < 40; ++at) {
    (void)world.Submit(InFirstRack(1, {9'000, 1'000, 0}, seconds{5}));
  }
  const auto id = world.Submit(InFirstRack(1, {1'000, 1'000, 0}, seconds{5}));
  world.Run(kMaxStand);
  CHECK(world.RunningCount(id) == 1);
}

// Guards against a job that stands because jobs which fail by their own fault ran before it.
TEST_CASE("workers left alone for failures keep no job standing") {
  cell_world world{1, {}, kWorkers, {}, {.worker = kWorker, .has_urgent_queue = false}};
  world.Run(seconds{1});
  world.SetFaults({.run_fails = 1});
  for (int at = 0; at < 12; ++at) {
    (void)world.Submit(InFirstRack(4, {8'000, 1'000, 0}, seconds{1}));
  }
  world.Run(seconds{4});
  world.ClearFaults();
  const auto id = world.Submit(InFirstRack(1, {1'000, 1'000, 0}, seconds{5}));
  world.Run(kMaxStand);
  CHECK(world.RunningCount(id) == 1);
  CHECK(Stalled(world, id, " left_alone=4 "));
}

// Guards against a job that fails for good, because it was sent to workers which fail everything.
TEST_CASE("a starved task doesn't risk its last attempt on a failing worker") {
  scheduler_settings settings;
  settings.quarantine = seconds{8};
  cell_world world{1, {}, kWorkers, settings, {.worker = kWorker, .has_urgent_queue = false}};
  for (const std::size_t at : {0, 4, 5, 6}) {
    world.MakeWorkerFail(at);
  }
  world.Run(seconds{1});
  for (int at = 0; at < 4; ++at) {
    (void)world.Submit(InFirstRack(4, {8'000, 1'000, 0}, milliseconds{500}));
  }
  world.Run(seconds{2});
  const auto id = world.Submit(InFirstRack(1, {1'000, 1'000, 0}, milliseconds{300}));
  world.Run(seconds{5});
  CHECK(world.Phase(id) != job_phase::kFailed);
}

// Guards against a job that stands beside room which is reserved for urgent work that doesn't come.
TEST_CASE("the reserve for urgent work keeps no job standing") {
  cell_world world{1, {}, kWorkers, {}, {.worker = {10'000, 128'000, 0}}};
  world.Run(seconds{1});
  (void)world.Submit(InFirstRack(4, {8'500, 1'000, 0}, seconds{60}));
  world.Run(milliseconds{500});
  const auto id = world.Submit(InFirstRack(1, {1'000, 1'000, 0}, seconds{5}));
  world.Run(kMaxStand);
  CHECK(world.RunningCount(id) == 1);
  CHECK(Stalled(world, id, " workers=4 reserved=0 urgent_reserve=4 "));
}

// Guards against a job that stands because all workers that may run it were slow before.
TEST_CASE("workers left alone for slow runs keep no job standing") {
  scheduler_settings settings;
  settings.quarantine = seconds{8};
  cell_world world{1, {}, kWorkers, settings, {.worker = kWorker, .has_urgent_queue = false}};
  // The first rack holds w1 to w4; the world numbers workers in the order of their ids as texts.
  for (const std::size_t at : {0, 4, 5, 6}) {
    world.SetWorkerSlowdown(at, 12);
  }
  world.Run(seconds{1});
  auto wide = InFirstRack(24, {30'000, 1'000, 0}, seconds{2});
  wide.steps[0].required_label.clear();
  (void)world.Submit(std::move(wide));
  world.Run(seconds{3});
  REQUIRE(world.Log().Has("event=worker_slow"));
  const auto id = world.Submit(InFirstRack(1, {1'000, 1'000, 0}, seconds{5}));
  world.Run(kMaxStand);
  CHECK(world.RunningCount(id) == 1);
  CHECK(Stalled(world, id, " workers=4 reserved=0 urgent_reserve=0 left_alone=4 "));
}

// Guards against a task that is ordered from one worker again and again, while others are idle.
TEST_CASE("a task whose order a worker never answers goes to another worker") {
  cell_world world{1, {}, kWorkers, {}, {.worker = kWorker, .has_urgent_queue = false}};
  world.Run(seconds{1});
  world.SetFaults({.order_delayed = 1});
  (void)world.Submit(InFirstRack(1, {1'000, 1'000, 0}, seconds{5}));
  world.Run(seconds{6});
  std::set<std::string> workers;
  for (const auto& line : world.Log().lines) {
    const auto at = line.find(" worker=");
    if (line.find("event=run_ordered ") != std::string::npos && at != std::string::npos) {
      workers.insert(line.substr(at + 8, line.find(' ', at + 8) - at - 8));
    }
  }
  CHECK(workers.size() > 1);
}

// Guards against an accepted job that can never run, since its gang needs more accelerators than
// all workers have.
TEST_CASE("a gang with too many accelerators for the pool is refused") {
  cell_world world{1, {}, 2, {}, {.worker = kWorker, .has_urgent_queue = false}};
  world.Run(seconds{1});
  const auto gang = [](std::uint32_t members) {
    auto job = InFirstRack(members, {1'000, 1'000, 8}, seconds{5});
    job.steps[0].gang = true;
    return job;
  };
  CHECK_FALSE(world.Refused(world.Submit(gang(2))));
  CHECK(world.Refused(world.Submit(gang(3))));
}

// Guards against alarms in a cell that is full.
TEST_CASE("a step that waits for room is not stalled") {
  cell_world world{1, {}, 1, {}, {.worker = {1'000, 4'000, 0}, .advice_allowed_tenths = 10}};
  world.Run(seconds{1});
  for (int at = 0; at < 10; ++at) {
    auto job = OneTask();
    job.objective = seconds{60};
    (void)world.Submit(std::move(job), 3);
  }
  world.Run(seconds{4});
  CHECK_FALSE(world.Unfinished().empty());
  CHECK_FALSE(world.Log().Has("event=step_stalled"));
}

}  // namespace rosearch::sched
