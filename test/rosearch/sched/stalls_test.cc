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
  world.Run(seconds{5});
  CHECK(world.Log().Has("event=step_stall_ended job=" + id));
  CHECK(world.Leader().Counts(world.Now()).stalled_steps == 0);
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
