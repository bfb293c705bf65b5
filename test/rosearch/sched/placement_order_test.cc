#include "rosearch/sched/placement_order.h"

#include <catch2/catch.hpp>

#include "rosearch/sched/job_spec.h"

namespace rosearch::sched {
namespace {

using std::chrono::seconds;

constexpr time_point kNow{seconds{1'000}};

/// A waiting step of a job with an objective of 10 s.
struct waiting_step {
  explicit waiting_step(duration left, std::uint32_t priority = 2, bool within_rate = true,
                        bool service = false) {
    spec.service = service;
    job_spec made;
    made.objective = seconds{10};
    made.within_rate = within_rate;
    job.spec = std::make_shared<const job_spec>(made);
    job.predicted.objective = made.objective;
    job.priority = priority;
    job.finish_by = kNow + left;
    step.job = &job;
    step.spec = &spec;
  }
  waiting_step(const waiting_step&) = delete;
  waiting_step& operator=(const waiting_step&) = delete;

  [[nodiscard]] placement_rank Rank(const scheduler_settings& settings = {}) const {
    return RankOf(step, settings, kNow);
  }

  step_spec spec;
  job_state job;
  step_state step;
};

}  // namespace

TEST_CASE("services come first, then priorities, then deadlines") {
  const waiting_step service{seconds{9}, 1, true, true};
  const waiting_step quick{seconds{9}, 0};
  const waiting_step soon{seconds{3}};
  const waiting_step later{seconds{8}};
  CHECK(service.Rank() < quick.Rank());
  CHECK(quick.Rank() < soon.Rank());
  CHECK(soon.Rank() < later.Rank());
}

TEST_CASE("jobs that are late by more than twice their objective come last of all") {
  const waiting_step hopeless{-seconds{21}, 0};
  const waiting_step late{-seconds{19}, 2};
  CHECK(late.Rank() < hopeless.Rank());
}

// A customer that sends many times its rate must not make the jobs of the others late.
TEST_CASE("jobs within their customer's rate come before those beyond") {
  const waiting_step beyond{seconds{1}, 2, false};
  const waiting_step within{seconds{9}, 2, true};
  const waiting_step urgent_beyond{seconds{9}, 0, false};
  CHECK(within.Rank() < beyond.Rank());
  CHECK(urgent_beyond.Rank() < within.Rank());
  scheduler_settings without;
  without.off.Add(mechanism::kRateOrder);
  CHECK(beyond.Rank(without) < within.Rank(without));
}

}  // namespace rosearch::sched
