#include "rosearch/sched/placement_order.h"

#include <algorithm>
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
  mutable job_state job;
  mutable step_state step;
};

/// A pool of ten processors that customers "a" and "b" share equally.
struct shared_cell {
  shared_cell() {
    const std::vector<customer_rules> rules{{"a", 1, {}, {}}, {"b", 1, {}, {}}};
    customers.Configure(rules);
    shares.Configure(rules);
    shares.SetCapacities({{"pool", {10'000, 10'000, 0}}});
    a = &shares.Open(customers.Open("a"), "pool", 2);
    b = &shares.Open(customers.Open("b"), "pool", 2);
  }
  /// @return steps of both customers, sorted by rank.
  [[nodiscard]] std::vector<placement_queue::ranked_step> Sorted(
      const std::vector<const waiting_step*>& of_a, const std::vector<const waiting_step*>& of_b) {
    std::vector<placement_queue::ranked_step> sorted;
    const auto add = [&](const waiting_step& each, share_account* account) {
      each.job.share = account;
      sorted.emplace_back(each.Rank(), &each.step);
    };
    for (const auto* each : of_a) {
      add(*each, a);
    }
    for (const auto* each : of_b) {
      add(*each, b);
    }
    std::ranges::stable_sort(sorted, {}, [](const auto& each) { return each.first; });
    return sorted;
  }

  customer_accounts customers;
  fair_share shares;
  share_account* a{nullptr};
  share_account* b{nullptr};
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

// The customer with the earliest deadlines would otherwise get all the room in a surge of several.
TEST_CASE("work beyond the rate goes by the shares of the customers as they grow") {
  shared_cell cell;
  const waiting_step first{seconds{1}, 2, false};
  const waiting_step second{seconds{2}, 2, false};
  const waiting_step third{seconds{3}, 2, false};
  const waiting_step other{seconds{9}, 2, false};
  const waiting_step within{seconds{30}, 2, true};
  auto sorted = cell.Sorted({&first, &second, &third}, {&other, &within});
  placement_queue queue{sorted, true};
  CHECK(queue.Next() == &within.step);
  CHECK(queue.Next() == &first.step);
  cell.a->used = {2'000, 0, 0};  // `first` starts
  CHECK(queue.Next() == &other.step);
  cell.b->used = {9'000, 0, 0};  // `other` starts
  CHECK(queue.Next() == &second.step);
  CHECK(queue.Next() == &third.step);
  CHECK(queue.Next() == nullptr);
}

// Cells without customers, and the mechanism switched off, must keep the order of their ranks.
TEST_CASE("without shares the order is that of the ranks") {
  shared_cell cell;
  const waiting_step first{seconds{1}, 2, false};
  const waiting_step second{seconds{2}, 2, false};
  const waiting_step other{seconds{9}, 2, false};
  cell.a->used = {5'000, 0, 0};
  placement_queue queue{cell.Sorted({&first, &second}, {&other}), false};
  CHECK(queue.Next() == &first.step);
  CHECK(queue.Next() == &second.step);
  CHECK(queue.Next() == &other.step);
  CHECK(queue.Next() == nullptr);
}

}  // namespace rosearch::sched
