#include <algorithm>
#include <catch2/catch.hpp>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "process/cell.h"

namespace rosearch::test {
namespace {

// An entry's VM is paused for longer than its right holds, its shards go to others, and it wakes up
// in the middle of what it was about to do. Where it then sends a start, a VM gets more than it
// holds or a task runs in two places: a user sees two copies of a result, or work starved.
TEST_CASE("a frozen owner starts nothing when it wakes", "[no-overcommit][single-run]") {
  cell cell;
  cell.UntilWitnessed();
  int victim = 0;
  std::set<shard_number> owned;
  cell.Until("an owner that is not handing over", [&] {
    victim = cell.OwnerOfVm("worker-1");
    owned = victim == 0 ? std::set<shard_number>{} : cell.OwnedBy(victim);
    return !owned.empty();
  });
  const int alive = victim % 3 + 1;
  REQUIRE(cell.Submit(alive, "before", 8, 3000).status == 202);
  cell.Until("running tasks", [&] { return cell.Running() == 8; });
  // More than fits: starts stand in line in the owner while it freezes.
  REQUIRE(cell.Submit(alive, "line", 60, 400).status == 202);
  cell.Freeze(victim);
  cell.Until("successors", [&] {
    return std::ranges::all_of(owned, [&](shard_number shard) { return cell.Owner(shard) != 0; });
  });
  std::string meanwhile = "meanwhile";
  while (!owned.contains(cell.Home(meanwhile))) {
    meanwhile += '-';
  }
  REQUIRE(cell.Submit(alive, meanwhile, 8, 300).status == 202);
  cell.Until("starts by a successor",
             [&] { return cell.Starts("calandria/" + meanwhile + '#') > 0; });
  cell.Thaw(victim);
  REQUIRE(cell.Submit(alive, "after", 8, 300).status == 202);
  const std::vector<std::pair<std::string, int>> jobs{
      {"before", 8}, {"line", 60}, {meanwhile, 8}, {"after", 8}};
  for (const auto& [job, count] : jobs) {
    cell.Until("end of job " + job,
               [&, name = job, tasks = count] { return cell.JobEnded(alive, name, tasks); });
    CHECK(cell.Starts("calandria/" + job + '#') == count);
  }
  cell.CheckWorkers();
}

// The log is down for a while and an entry dies in that time. All that runs must go on and what was
// accepted must end; callers of requests notice nothing, and urgent work is still taken in.
TEST_CASE("an entry dies while the log is down", "[single-run][whole-answer]") {
  cell cell{{.entries = 4, .shards = 4}};
  cell.UntilWitnessed();
  REQUIRE(cell.Submit(1, "running", 16, 9500).status == 202);
  REQUIRE(cell.Submit(1, "accepted", 24, 300).status == 202);
  cell.Until("running tasks", [&] { return cell.Starts("calandria/running#") == 16; });
  cell.Fault("log", R"({"down":true})");
  cell.Until("the outage at all entries", [&] { return cell.LogDownEverywhere(); });
  const int victim = cell.SettledOwner(cell.Home("running"));
  const int alive = victim % 4 + 1;
  cell.Lose(victim);
  for (int number = 0; number < 12; ++number) {
    const auto answer = cell.Quote(alive, R"({"litres":1})").get();
    INFO(ToText(answer));
    CHECK(answer.outcome == "done");
  }
  cell.Until("a shard with a witness", [&] { return !cell.Witnessed().empty(); });
  std::string urgent = "urgent-0";
  for (int number = 0; !cell.Witnessed().contains(cell.Home(urgent)); ++number) {
    urgent = "urgent-" + std::to_string(number);
  }
  const auto taken = cell.Submit(alive, urgent, 1, 200, R"(,"urgent":true)");
  INFO(ToText(taken));
  CHECK(taken.status == 202);
  cell.Until("end of the urgent job", [&] { return cell.JobEnded(alive, urgent, 1); });
  cell.Until("end of the accepted job", [&] { return cell.JobEnded(alive, "accepted", 24); });
  cell.Until("end of what ran", [&] { return cell.JobEnded(alive, "running", 16); });
  for (const auto& [job, count] : {std::pair{"running", 16}, {"accepted", 24}}) {
    INFO(job << ' ' << cell.Ask(alive, "GET", std::string{"/v1/jobs/calandria/"} + job).body);
    CHECK(cell.Outcomes(alive, job, "done") == count);
    CHECK(cell.Starts(std::string{"calandria/"} + job + '#') == count);
  }
  cell.CheckWorkers();
}

}  // namespace
}  // namespace rosearch::test
