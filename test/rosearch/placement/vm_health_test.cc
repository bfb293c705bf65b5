#include "rosearch/placement/vm_health.h"

#include <catch2/catch.hpp>

#include "rosearch/core/random_source.h"

namespace rosearch {
namespace {

using std::chrono::seconds;

const vm_id kBad{"vm-bad"};

time_point At(int second) { return time_point{seconds{second}}; }

vm_id Peer(int number) { return vm_id{"vm" + std::to_string(number)}; }

void Run(vm_health& health, const vm_id& vm, const std::string& job, bool failed, time_point now) {
  health.OnStarted(vm, job, now);
  if (failed) {
    health.OnFailed(vm, job, now);
  } else {
    health.OnSucceeded(vm, job, now);
  }
}

/// Nine good peers that ran ten tasks each.
vm_health WithPeers() {
  vm_health health;
  for (int number = 0; number < 90; ++number) {
    Run(health, Peer(number % 9), "job" + std::to_string(number % 7), false, At(0));
  }
  return health;
}

}  // namespace

// A worker's disk or network is broken, so that everything it starts fails within a second. As it
// is always free, it attracts the next task, and customers see one task after the other fail.
TEST_CASE("a VM that fails everything is paused, probed one at a time and trusted again") {
  auto health = WithPeers();
  int sent = 0;
  for (; sent < 50 && health.MayTake(kBad, At(1)); ++sent) {
    Run(health, kBad, "job" + std::to_string(sent % 7), true, At(1));
  }
  CHECK(sent == 4);
  CHECK(health.ConditionOf(kBad, At(30)) == vm_condition::kSuspect);
  CHECK(health.Tick(At(30)) == std::vector<vm_id>{kBad});
  CHECK(health.Tick(At(31)) == std::vector<vm_id>{kBad});
  REQUIRE(health.MayTake(kBad, At(31)));
  health.OnStarted(kBad, "job1", At(31));
  CHECK_FALSE(health.MayTake(kBad, At(31)));
  health.OnFailed(kBad, "job1", At(32));
  CHECK(health.ProbeAt(kBad) == At(32 + 60));
  for (int probe = 0; probe < 3; ++probe) {
    REQUIRE(health.MayTake(kBad, At(92 + probe)));
    CHECK(health.ConditionOf(kBad, At(92 + probe)) == vm_condition::kProbing);
    Run(health, kBad, "job1", false, At(92 + probe));
  }
  CHECK(health.ConditionOf(kBad, At(95)) == vm_condition::kHealthy);
}

// A customer submits a job whose program is broken. Each VM that tries it sees it fail, and if
// that condemned the VMs, one customer's fault would close the cell for everybody.
TEST_CASE("a job that fails on every VM condemns none") {
  auto health = WithPeers();
  for (int round = 0; round < 40; ++round) {
    for (int number = 0; number < 9; ++number) {
      Run(health, Peer(number), round % 2 == 0 ? "broken" : "broken too", true, At(round));
    }
  }
  for (int number = 0; number < 9; ++number) {
    CHECK(health.ConditionOf(Peer(number), At(41)) == vm_condition::kHealthy);
  }
}

// What tasks depend on fails for all of them: every VM fails as often as its peers, and pausing
// them would add an outage of ours to that of the platform.
TEST_CASE("VMs that fail as often as their peers go on") {
  random_source random{7};
  vm_health health;
  for (int task = 0; task < 2000; ++task) {
    const auto vm = Peer(static_cast<int>(random.Between(0, 8)));
    Run(health, vm, "job" + std::to_string(task % 11), random.Chance(0.6), At(task / 10));
  }
  int paused = 0;
  for (int number = 0; number < 9; ++number) {
    paused += health.ConditionOf(Peer(number), At(200)) == vm_condition::kHealthy ? 0 : 1;
  }
  CHECK(paused <= 1);
}

TEST_CASE("one job alone and few failures suspect nobody") {
  auto health = WithPeers();
  for (int count = 0; count < 20; ++count) {
    Run(health, kBad, "job1", true, At(count));
  }
  CHECK(health.MayTake(kBad, At(21)));
  Run(health, Peer(1), "job1", true, At(22));
  Run(health, Peer(1), "job2", true, At(22));
  CHECK(health.MayTake(Peer(1), At(23)));
}

TEST_CASE("a probe that goes on running counts, and one that was abandoned makes way") {
  auto health = WithPeers();
  for (int count = 0; count < 4; ++count) {
    Run(health, kBad, "job" + std::to_string(count), true, At(0));
  }
  REQUIRE(health.ConditionOf(kBad, At(30)) == vm_condition::kProbing);
  health.OnStarted(kBad, "job1", At(30));
  health.OnAbandoned(kBad, "job1");
  REQUIRE(health.MayTake(kBad, At(31)));
  for (int probe = 0; probe < 3; ++probe) {
    health.OnStarted(kBad, "service", At(31 + probe * 60));
    health.Tick(At(31 + probe * 60 + 60));
  }
  CHECK(health.ConditionOf(kBad, At(212)) == vm_condition::kHealthy);
  for (int count = 0; count < 4; ++count) {
    Run(health, kBad, "job" + std::to_string(count), true, At(300));
  }
  health.Remove(kBad);
  CHECK(health.MayTake(kBad, At(300)));
}

}  // namespace rosearch
