// Replays of a surge: three customers send six times their rate to a cell that is about four fifths
// full, beside customers within their rates.
#include <algorithm>
#include <catch2/catch.hpp>
#include <iostream>

#include "rosearch/sched/cell_world.h"

namespace rosearch::sched {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kWorkers = 24;  // 432 processors in all
constexpr int kCustomers = 12;
constexpr int kSurging = 3;
constexpr int kSurgeFactor = 6;
/// Per customer: one quick job a second and one long job in four, which is its rate.
constexpr double kWeight = 1.25;

job_spec Job(int customer, bool is_long) {
  job_spec job;
  job.customer = "c" + std::to_string(customer);
  job.queue = is_long ? cell_world::kLongQueue : cell_world::kQueue;
  job.steps.resize(1);
  job.steps[0].count = is_long ? 7 : 10;
  job.steps[0].need = {is_long ? 1'600 : 1'200, is_long ? 4'000 : 2'000, 0};
  job.steps[0].estimate = milliseconds{is_long ? 4'500 : 750};
  job.steps[0].checkpoints = is_long;
  // Long enough for the slowest task, which takes 1.6 times its estimate, and a wait.
  job.objective = milliseconds{is_long ? 12'000 : 1'800};
  return job;
}

job_spec Service() {
  job_spec job;
  job.queue = cell_world::kLongQueue;
  job.steps.resize(1);
  job.steps[0].count = 20;
  job.steps[0].need = {1'500, 2'000, 0};
  job.steps[0].estimate = seconds{10};
  job.steps[0].service = true;
  return job;
}

struct surge_result {
  double in_time{0};  ///< share of the jobs of customers within their rates
  double surging_in_time{0};
  milliseconds median_start{};  ///< of customers within their rates
  double busy_before{0};        ///< share of the processors in use when the surge begins
  double lost_core_seconds{0};
};

surge_result Surge(const scheduler_settings& settings, std::uint64_t seed) {
  world_options options;
  options.checkpoint_interval = seconds{1};
  options.advice_allowed_tenths = 5;
  for (int at = 0; at < kCustomers; ++at) {
    options.customers.push_back({"c" + std::to_string(at), kWeight, {}, {}});
  }
  cell_world world{seed, {}, kWorkers, settings, options};
  world.Run(seconds{1});
  for (int at = 0; at < 3; ++at) {
    (void)world.Submit(Service());
  }
  std::vector<std::string> within;
  std::vector<std::string> surging;
  surge_result result;
  constexpr int kSurgeFrom = 15;
  constexpr int kSurgeUntil = 20;
  constexpr int kLast = 28;
  for (int second = 0; second < kLast; ++second) {
    const bool surge = second >= kSurgeFrom && second < kSurgeUntil;
    if (second == kSurgeFrom) {
      result.busy_before = world.BusyShare();
    }
    for (int part = 0; part < kCustomers; ++part) {
      const bool surges = surge && part < kSurging;
      for (int copy = 0; copy < (surges ? kSurgeFactor : 1); ++copy) {
        auto& list = part < kSurging ? surging : within;
        const auto submit = [&](bool is_long) {
          const auto id = world.Submit(Job(part, is_long));
          if (second >= kSurgeFrom) {
            list.push_back(id);
          }
        };
        submit(false);
        if ((second + part) % 4 == 0) {
          submit(true);
        }
      }
      world.Run(milliseconds{1'000 / kCustomers});
    }
  }
  world.Run(seconds{60});
  CHECK(world.Violations().empty());
  CHECK(world.Unfinished().empty());
  const auto in_time = [&](const auto& ids) {
    const auto good = std::ranges::count_if(ids, [&](const auto& id) {
      const auto took = world.CompletionTime(id);
      return took && world.Phase(id) == job_phase::kCompleted && *took <= world.Objective(id);
    });
    return static_cast<double>(good) / static_cast<double>(ids.size());
  };
  result.in_time = in_time(within);
  result.surging_in_time = in_time(surging);
  std::vector<duration> delays;
  delays.reserve(within.size());
  for (const auto& id : within) {
    delays.push_back(world.StartDelay(id).value_or(duration::max()));
  }
  std::ranges::sort(delays);
  result.median_start = std::chrono::duration_cast<milliseconds>(delays[delays.size() / 2]);
  result.lost_core_seconds = world.LostCoreSeconds();
  return result;
}

void Print(const char* what, const surge_result& result) {
  std::cout << "surge of three customers, " << what << ": in time " << result.in_time
            << " (surging customers " << result.surging_in_time << "), median wait for a start "
            << result.median_start.count() << " ms, core-seconds lost " << result.lost_core_seconds
            << ", cell in use before " << result.busy_before << '\n';
}

}  // namespace

// Three customers send six times their rate for five seconds. Without shares, admission refuses the
// jobs of all customers alike, and preemption discards the work of customers within their rates.
TEST_CASE("a surge of some customers leaves the others in time") {
  const std::uint64_t seed = GENERATE(21, 22, 23);
  scheduler_settings without;
  without.off.Add(mechanism::kShares);
  const auto ours = Surge({}, seed);
  const auto baseline = Surge(without, seed);
  Print("shares", ours);
  Print("without", baseline);
  CHECK(ours.busy_before > 0.7);
  CHECK(ours.busy_before < 0.9);
  CHECK(ours.in_time >= 0.95);
  CHECK(ours.median_start < milliseconds{100});
  CHECK(ours.in_time >= baseline.in_time);
}

}  // namespace rosearch::sched
