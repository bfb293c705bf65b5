#include <catch2/catch.hpp>
#include <cmath>
#include <iostream>
#include <vector>

#include "rosearch/sched/cell_world.h"

// Replays a load whose estimates are off, in a cell that is full for some seconds, with and without
// calibrated run times.

namespace rosearch::sched {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kWorkers = 12;
/// Simulated runs take up to 1.6 times as long as the job's real run time.
constexpr double kMaxRunFactor = 1.6;

struct replayed_job {
  std::string id;
  duration objective{};  ///< by the real critical path
};

struct kind_of_work {
  std::string_view queue;
  double stretch;
  milliseconds latency_target;
  std::uint32_t tasks;
  std::int64_t processors_milli;
  double typical_ms;  ///< of real run times, which differ by a factor of two either way
};

constexpr kind_of_work kQuick{cell_world::kQueue, 1.5, milliseconds{250}, 8, 1'000, 700};
constexpr kind_of_work kLong{cell_world::kLongQueue, 2.2, milliseconds{1'200}, 8, 2'000, 4'000};

/// @return a number from -1 to 1.
double Signed(random_source& random) {
  return static_cast<double>(random.Between(-1'000, 1'000)) / 1'000;
}

duration Objective(const kind_of_work& kind, duration path) {
  return std::chrono::duration_cast<duration>(path * kind.stretch) + kind.latency_target;
}

/// @param max_error  declared estimates are off by up to this factor, either way.
replayed_job SubmitOne(cell_world& world, const kind_of_work& kind, double max_error,
                       random_source& random) {
  const double real_ms = kind.typical_ms * std::exp2(Signed(random));
  const double error = std::exp(std::log(max_error) * Signed(random));
  job_spec job;
  job.queue = kind.queue;
  job.steps.resize(1);
  job.steps[0].count = kind.tasks;
  job.steps[0].need = {kind.processors_milli, 1'000, 0};
  job.steps[0].estimate = milliseconds{std::llround(real_ms * error)};
  job.objective = Objective(kind, job.steps[0].estimate);
  const milliseconds path{std::llround(real_ms * kMaxRunFactor)};
  return {world.Submit(job, 1 / error), Objective(kind, path)};
}

double ShareInTime(const cell_world& world, const std::vector<replayed_job>& jobs) {
  const auto good = std::ranges::count_if(jobs, [&](const auto& job) {
    const auto took = world.CompletionTime(job.id);
    return world.Phase(job.id) == job_phase::kCompleted && took && *took <= job.objective;
  });
  return static_cast<double>(good) / static_cast<double>(jobs.size());
}

struct replay_result {
  double quick{0};
  double long_work{0};
};

/// Submits work of both kinds for 45 s; between 20 s and 30 s more than fits.
replay_result Replay(double max_error, const scheduler_settings& settings, std::uint64_t seed) {
  cell_world world{seed, {}, kWorkers, settings};
  random_source random{seed};
  world.Run(seconds{1});
  std::vector<replayed_job> quick;
  std::vector<replayed_job> long_work;
  constexpr int kRounds = 225;
  for (int round = 0; round < kRounds; ++round) {
    const bool burst = round >= 100 && round < 150;
    for (int at = 0; at < (burst ? 3 : 1); ++at) {
      quick.push_back(SubmitOne(world, kQuick, max_error, random));
    }
    if (burst || round % 3 == 0) {
      long_work.push_back(SubmitOne(world, kLong, max_error, random));
    }
    world.Run(milliseconds{200});
  }
  world.Run(seconds{60});
  CHECK(world.Violations().empty());
  return {ShareInTime(world, quick), ShareInTime(world, long_work)};
}

scheduler_settings Off() {
  scheduler_settings settings;
  settings.off.Add(mechanism::kEstimates);
  return settings;
}

/// Submits jobs of a single task for 20 s; for the last 10 s, two workers are slower.
/// @param large_every  one job in so many takes seven times as long; 0: none.
/// @return share of the other jobs of the last 10 s that completed within about three times their
///         time.
double SingleTasks(const scheduler_settings& settings, double slowdown, int large_every) {
  cell_world world{17, {}, kWorkers, settings};
  world.Run(seconds{1});
  std::vector<replayed_job> jobs;
  constexpr int kRounds = 1'000;
  for (int round = 0; round < kRounds; ++round) {
    if (round == kRounds / 2) {
      world.SetWorkerSlowdown(3, slowdown);
      world.SetWorkerSlowdown(7, slowdown);
    }
    job_spec job;
    job.steps.resize(1);
    job.steps[0].need = {1'000, 1'000, 0};
    job.steps[0].estimate = milliseconds{1'500};
    const bool large = large_every > 0 && round % large_every == 0;
    const auto id = world.Submit(job, large ? 7 : 1);
    if (round >= kRounds / 2 && !large) {
      jobs.push_back({id, milliseconds{5'000}});
    }
    world.Run(milliseconds{20});
  }
  world.Run(seconds{30});
  CHECK(world.Violations().empty());
  return ShareInTime(world, jobs);
}

struct comparison {
  replay_result with;
  replay_result without;
};

/// @return means over several seeds.
comparison Compare(double max_error) {
  constexpr int kSeeds = 4;
  comparison sum;
  for (int seed = 0; seed < kSeeds; ++seed) {
    for (const bool uses : {true, false}) {
      const auto result =
          Replay(max_error, uses ? scheduler_settings{} : Off(), 40 + static_cast<unsigned>(seed));
      auto& total = uses ? sum.with : sum.without;
      total.quick += result.quick / kSeeds;
      total.long_work += result.long_work / kSeeds;
    }
  }
  std::cout << "estimates off by up to a factor of " << max_error << ", in time: quick "
            << sum.with.quick << ", long " << sum.with.long_work
            << "; without calibrated run times quick " << sum.without.quick << ", long "
            << sum.without.long_work << '\n';
  return sum;
}

}  // namespace

// Ordered and admitted by declared estimates, jobs that are declared too short displace others, and
// jobs that are declared too long wait until they are late.
TEST_CASE("more jobs meet their real objective if estimates are off by up to nine tenths") {
  const auto result = Compare(10);
  CHECK(result.with.quick >= result.without.quick);
  CHECK(result.with.long_work > result.without.long_work + 0.03);
}

// Jobs of a single task have no siblings to compare with, so a slow worker would keep its runs.
TEST_CASE("slow workers are recognized by the run times of earlier jobs") {
  const double with = SingleTasks({}, 7, 0);
  const double without = SingleTasks(Off(), 7, 0);
  std::cout << "single tasks among slow workers, in time: " << with
            << ", without calibrated run times " << without << '\n';
  CHECK(with > without + 0.03);
}

// A job in a hundred takes seven times as long. Its worker is not slow, and a new start of the task
// would take as long again.
TEST_CASE("single tasks that take much longer don't cost jobs by being taken for slow runs") {
  const double with = SingleTasks({}, 1, 100);
  const double without = SingleTasks(Off(), 1, 100);
  std::cout << "single tasks, one in a hundred longer, in time: " << with
            << ", without calibrated run times " << without << '\n';
  CHECK(with >= without - 0.005);
}

// A correction of estimates that need none must not cost jobs.
TEST_CASE("calibrated run times cost nothing if estimates are accurate") {
  const auto result = Compare(1);
  CHECK(result.with.quick >= result.without.quick - 0.01);
  CHECK(result.with.long_work >= result.without.long_work - 0.01);
}

}  // namespace rosearch::sched
