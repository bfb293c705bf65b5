#include <catch2/catch.hpp>
#include <cstdint>
#include <cstdlib>
#include <iostream>

#include "rosearch/ownership/pair_world.h"

namespace rosearch::testing {

// Freezes, restarts, cuts, clock drift, late and doubled messages, outages of the log and of the VM
// list strike at any moment. Were two parties to hold the right at once, a customer's task would
// start in two places, or a VM be promised twice.
TEST_CASE("no faults give two parties the right", "[single-run][no-overcommit]") {
  pair_report all;
  for (std::uint64_t seed = 1; seed <= 800; ++seed) {
    CAPTURE(seed);
    const auto report = pair_world<full_rules>{seed}.Run(4000);
    INFO(report.breach);
    REQUIRE(report.breach.empty());
    REQUIRE(report.alive_at_end);
    for (const auto& [how, count] : report.events) all.events[how] += count;
    for (const auto& [which, count] : report.rulings) all.rulings[which] += count;
    all.acting_steps += report.acting_steps;
    all.steps += report.steps;
  }
  // A run in which hardly anybody acts would prove nothing.
  CHECK(all.acting_steps * 2 > all.steps);
  for (const auto how :
       {right_change::kClaimed, right_change::kTakenOver, right_change::kTransferred,
        right_change::kActivated, right_change::kResumed, right_change::kLost}) {
    CHECK(all.events[how] > 100);
  }
  for (const auto which : {wire::RULING_TAKEOVER, wire::RULING_EXCLUDED}) {
    CHECK(all.rulings[which] > 50);
  }
}

TEST_CASE("thousands of seeds", "[.soak]") {
  const char* const first = std::getenv("ROSEARCH_SOAK_FIRST");
  const char* const count = std::getenv("ROSEARCH_SOAK_SEEDS");
  const auto from = first == nullptr ? 1'000'000 : std::strtoull(first, nullptr, 10);
  const auto seeds = count == nullptr ? 5'000 : std::strtoull(count, nullptr, 10);
  int failed = 0;
  pair_report all;
  for (auto seed = from; seed < from + seeds; ++seed) {
    const auto report = pair_world<full_rules>{seed}.Run(4000);
    all.steps += report.steps;
    all.acting_steps += report.acting_steps;
    for (const auto& [how, times] : report.events) all.events[how] += times;
    for (const auto& [which, times] : report.rulings) all.rulings[which] += times;
    if (report.breach.empty() && report.alive_at_end) continue;
    ++failed;
    std::cout << "seed " << seed << (report.alive_at_end ? "" : " nobody acts at the end ")
              << report.breach << "\n";
  }
  std::cout << seeds << " seeds, " << all.steps << " steps, acting in " << all.acting_steps;
  for (const auto& [how, times] : all.events) {
    std::cout << ", change " << static_cast<int>(how) << ": " << times;
  }
  for (const auto& [which, times] : all.rulings) {
    std::cout << ", " << wire::ruling_Name(which) << ": " << times;
  }
  std::cout << "\n";
  CHECK(failed == 0);
}

}  // namespace rosearch::testing
