#include <catch2/catch.hpp>

#include "rosearch/sched/cell_world.h"

namespace rosearch::sched {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

step_spec Step(std::uint32_t count, std::int64_t processors, milliseconds estimate) {
  step_spec step;
  step.count = count;
  step.need = {processors, processors * 3, 0};
  step.estimate = estimate;
  return step;
}

job_spec Quick(random_source& random) {
  job_spec job;
  job.steps.push_back(Step(static_cast<std::uint32_t>(random.Between(1, 10)),
                           random.Between(500, 3'000), milliseconds{600}));
  if (random.Chance(0.5)) {
    job.steps.push_back(
        Step(static_cast<std::uint32_t>(random.Between(1, 6)), 1'000, milliseconds{500}));
    job.steps.back().after = {0};
  }
  return job;
}

job_spec Long(random_source& random) {
  job_spec job;
  job.queue = cell_world::kLongQueue;
  job.steps.push_back(Step(static_cast<std::uint32_t>(random.Between(2, 12)),
                           random.Between(1'000, 6'000), milliseconds{4'000}));
  job.steps.back().checkpoints = random.Chance(0.7);
  job.steps.back().gang = random.Chance(0.1);
  job.steps.back().per_worker_limit = random.Chance(0.2) ? 1 : 0;
  return job;
}

job_spec Service() {
  job_spec job;
  job.queue = cell_world::kLongQueue;
  job.steps.push_back(Step(4, 1'500, milliseconds{300}));
  job.steps.back().service = true;
  return job;
}

void PlayDay(std::uint64_t seed, const world_faults& faults) {
  INFO("seed " << seed);
  cell_world world{seed, faults, 12};
  random_source random{seed + 1};
  world.Run(seconds{1});
  (void)world.Submit(Service());
  std::vector<std::string> ids;
  for (int at = 0; at < 120; ++at) {
    ids.push_back(world.Submit(random.Chance(0.15) ? Long(random) : Quick(random)));
    if (random.Chance(0.05)) {
      world.Cancel(ids[static_cast<std::size_t>(random.Between(0, at))]);
    }
    world.Run(milliseconds{random.Between(20, 350)});
  }
  world.Calm();
  world.Run(seconds{90});
  for (const auto& broken : world.Broken()) {
    FAIL_CHECK(broken);
  }
  for (const auto& id : world.Unfinished()) {
    FAIL_CHECK("never ended " << id);
  }
  CHECK(world.Starts() > 100);
}

}  // namespace

TEST_CASE("a calm day keeps every promise") {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    PlayDay(seed, {});
  }
}

// Answers to orders are lost and orders are carried out seconds late. A caller would notice work
// that is done twice, or a worker that is overloaded.
TEST_CASE("lost answers and late orders never make a task run twice") {
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    world_faults faults;
    faults.answer_lost = 0.08;
    faults.order_late = 0.05;
    faults.run_fails = 0.05;
    PlayDay(seed, faults);
  }
}

// The store refuses appends, or stores them without saying so. A caller would notice a job that was
// refused and runs, or one that was accepted and is unknown.
TEST_CASE("a store that refuses or says nothing costs no job") {
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    world_faults faults;
    faults.store_refuses = 0.15;
    faults.store_silent = 0.1;
    faults.store_drops = 0.1;
    faults.run_fails = 0.03;
    PlayDay(seed, faults);
  }
}

// The leader dies every few seconds, and workers die or are out of reach while it does. The next
// leader knows only what is stored and what workers list. A caller would notice a job that starts
// over, or never ends.
TEST_CASE("leaders that die hand over without running anything twice") {
  for (std::uint64_t seed = 1; seed <= 16; ++seed) {
    world_faults faults;
    faults.leader_dies = 0.08;
    faults.worker_cut = 0.01;
    faults.worker_dies = 0.005;
    faults.answer_lost = 0.03;
    faults.run_fails = 0.1;
    PlayDay(seed, faults);
  }
}

// Answers to questions for advice are lost with the process that asked. A caller would notice a job
// that is accepted and never starts, in a cell with room for it.
TEST_CASE("lost answers to questions for advice keep no job waiting for ever") {
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    world_faults faults;
    faults.advice_lost = 0.25;
    faults.run_fails = 0.05;
    PlayDay(seed, faults);
  }
}

namespace {

void PlayTroubledDays(std::uint64_t first, std::uint64_t last) {
  for (std::uint64_t seed = first; seed <= last; ++seed) {
    world_faults faults;
    faults.leader_dies = 0.04;
    faults.worker_cut = 0.01;
    faults.worker_dies = 0.005;
    faults.answer_lost = 0.04;
    faults.order_late = 0.03;
    faults.run_fails = 0.08;
    faults.store_refuses = 0.05;
    faults.store_silent = 0.04;
    faults.store_drops = 0.04;
    PlayDay(seed, faults);
  }
}

}  // namespace

TEST_CASE("all troubles together keep every promise") { PlayTroubledDays(1, 30); }

// By hand, with the tag [many].
TEST_CASE("all troubles together over many seeds", "[.][many]") { PlayTroubledDays(1'000, 1'600); }

}  // namespace rosearch::sched
