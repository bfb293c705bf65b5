#include "rosearch/sched/customer_accounts.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

#include "rosearch/core/random_source.h"

namespace rosearch::sched {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr resources kTask{2'000, 100, 0};

customer_account Account(const resources& limit, double weight = 1) {
  customer_account account{"a"};
  account.Configure({"a", weight, limit, {}});
  return account;
}

}  // namespace

TEST_CASE("an account without a limit allows any number of tasks") {
  const customer_account account{"a"};
  CHECK(account.CountStartable(kTask) > 1'000'000);
  CHECK(account.MayStartTogether(kTask, 1'000'000));
}

TEST_CASE("the scarcest resource bounds the tasks of a customer") {
  auto account = Account({10'000, 300, 0});
  CHECK(account.CountStartable(kTask) == 3);
  account.Charge(kTask);
  account.Charge(kTask);
  CHECK(account.CountStartable(kTask) == 1);
  account.Charge(kTask);
  CHECK(account.CountStartable(kTask) == 0);
  account.Release(kTask);
  CHECK(account.CountStartable(kTask) == 1);
}

TEST_CASE("a limit on accelerators doesn't bind tasks without any") {
  auto account = Account({0, 0, 1});
  account.Charge({100, 0, 5});
  CHECK(account.CountStartable(kTask) > 1'000'000);
  CHECK(account.CountStartable({100, 0, 1}) == 0);
}

// A task larger than what small tasks of its customer leave of the limit would wait forever.
TEST_CASE("a large task starts while less than half of the limit is used") {
  auto account = Account({10'000, 0, 0});
  account.Charge({4'900, 0, 0});
  CHECK(account.CountStartable({20'000, 0, 0}) == 1);
  account.Charge({100, 0, 0});
  CHECK(account.CountStartable({20'000, 0, 0}) == 0);
}

TEST_CASE("the members of a gang start only within the limit") {
  auto account = Account({10'000, 0, 0});
  CHECK(account.MayStartTogether(kTask, 5));
  CHECK_FALSE(account.MayStartTogether(kTask, 6));
  CHECK_FALSE(account.CouldEverStartTogether(kTask, 6));
  account.Charge(kTask);
  CHECK_FALSE(account.MayStartTogether(kTask, 5));
  CHECK(account.CouldEverStartTogether(kTask, 5));
}

// Runs of a former leader that no worker has reported yet use the limit as well.
TEST_CASE("what may run unread counts against the limit") {
  auto account = Account({10'000, 0, 0});
  account.SetUnread({8'000, 0, 0});
  CHECK(account.CountStartable(kTask) == 1);
  account.SetUnread({});
  CHECK(account.CountStartable(kTask) == 5);
}

TEST_CASE("a limit that is lowered holds for new starts, and one that is raised too") {
  auto account = Account({10'000, 0, 0});
  for (int at = 0; at < 5; ++at) {
    account.Charge(kTask);
  }
  account.Configure({"a", 1, {3'000, 0, 0}, {}});
  CHECK(account.CountStartable(kTask) == 0);
  account.Configure({"a", 1, {14'000, 0, 0}, {}});
  CHECK(account.CountStartable(kTask) == 2);
  account.Configure({"a", 1, {10'000, 0, 0}, {}});
  CHECK(account.CountStartable(kTask) == 0);
}

TEST_CASE("a customer that is no longer configured keeps its last limit") {
  customer_accounts accounts;
  accounts.Configure({{"a", 1, {2'000, 0, 0}, {}}});
  accounts.Configure({{"b", 1, {}, {}}});
  accounts.Open("a").Charge(kTask);
  CHECK(accounts.Open("a").CountStartable(kTask) == 0);
}

TEST_CASE("random charges never exceed the limit by more than one task") {
  for (std::uint64_t seed = 1; seed <= 2'000; ++seed) {
    random_source random{seed};
    const auto amount = [&](std::int64_t most) { return random.Between(1, most); };
    resources limit{amount(50'000), amount(5'000), 0};
    auto account = Account(limit);
    std::vector<resources> running;
    for (int step = 0; step < 60; ++step) {
      if (random.Between(0, 9) == 0) {
        limit = {amount(50'000), amount(5'000), 0};
        account.Configure({"a", 1, limit, {}});
      }
      if (!running.empty() && random.Between(0, 2) == 0) {
        account.Release(running.back());
        running.pop_back();
        continue;
      }
      const resources need{amount(9'000), amount(900), 0};
      resources used;
      for (const auto& each : running) {
        used = used + each;
      }
      REQUIRE(account.used() == used);
      const auto startable = account.CountStartable(need);
      const bool fits = (used + need).FitsIn(limit);
      if (startable > 0) {
        account.Charge(need);
        running.push_back(need);
        REQUIRE((fits || 2 * used.processors_milli < limit.processors_milli ||
                 2 * used.memory_mb < limit.memory_mb));
        REQUIRE(used.processors_milli <= limit.processors_milli);
        REQUIRE(used.memory_mb <= limit.memory_mb);
      } else {
        REQUIRE_FALSE(fits);
      }
    }
  }
}

TEST_CASE("a customer may send its rate, in bursts of up to five seconds") {
  auto account = Account({}, 2);
  time_point now{seconds{100}};
  int taken = 0;
  while (account.TakeFromRate(now)) {
    ++taken;
  }
  CHECK(taken == 10);
  now += milliseconds{499};
  CHECK_FALSE(account.TakeFromRate(now));
  now += milliseconds{1};
  CHECK(account.TakeFromRate(now));
  now += seconds{60};
  for (taken = 0; account.TakeFromRate(now); ++taken) {
  }
  CHECK(taken == 10);
}

}  // namespace rosearch::sched
