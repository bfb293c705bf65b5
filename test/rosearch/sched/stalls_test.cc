#include <catch2/catch.hpp>

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
job_spec InFirstRack(std::uint32_t count, const resources& need, seconds estimate) {
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
  world.Run(seconds{1});
  (void)world.Submit(InFirstRack(1, {1'000, 1'000, 1}, seconds{20}));
  world.Run(milliseconds{100});
  auto gang = InFirstRack(4, {1'000, 1'000, 8}, seconds{5});
  gang.steps[0].gang = true;
  (void)world.Submit(std::move(gang));
  world.Run(seconds{2});
  REQUIRE(world.Log().Has("event=worker_reserved"));
  const auto id = world.Submit(InFirstRack(1, {1'000, 1'000, 1}, seconds{30}));
  world.Run(kMaxStand);
  CHECK(world.RunningCount(id) == 1);
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
