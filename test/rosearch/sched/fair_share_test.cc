#include "rosearch/sched/fair_share.h"

#include <catch2/catch.hpp>

namespace rosearch::sched {
namespace {

constexpr resources kPool{100'000, 200'000, 10};

/// A cell with customers "a" of weight 1 and "b" of weight 3 in one pool.
struct two_customers {
  two_customers() {
    const std::vector<customer_rules> rules{{"a", 1, {}, {}}, {"b", 3, {}, {}}};
    customers.Configure(rules);
    shares.Configure(rules);
    shares.SetCapacities({{"pool", kPool}});
  }
  share_account& Open(const std::string& name, std::uint32_t priority = 2) {
    return shares.Open(customers.Open(name), "pool", priority);
  }

  customer_accounts customers;
  fair_share shares;
};

preemption_victim Victim(std::size_t index, double lost, bool checkpoints, bool near_end) {
  return {index, {2'000, 100, 0}, lost, checkpoints, near_end};
}

std::vector<std::size_t> Indexes(const std::vector<preemption_victim>& victims) {
  std::vector<std::size_t> indexes;
  indexes.reserve(victims.size());
  for (const auto& each : victims) {
    indexes.push_back(each.index);
  }
  std::ranges::sort(indexes);
  return indexes;
}

}  // namespace

// A customer that uses few processors but most accelerators would otherwise count as a small one.
TEST_CASE("a share is the largest fraction of any resource, by weight") {
  two_customers cell;
  auto& a = cell.Open("a");
  auto& b = cell.Open("b");
  a.used = {10'000, 20'000, 3};
  b.used = {60'000, 20'000, 3};
  CHECK(a.Share() == Approx(0.3));
  CHECK(b.Share() == Approx(0.2));
}

// A pool without accelerators must not make every share infinite.
TEST_CASE("a resource that the pool doesn't have counts for no share") {
  CHECK(DominantFraction({1'000, 0, 0}, {10'000, 10'000, 0}) == Approx(0.1));
  CHECK(DominantFraction({1'000, 0, 0}, {}) == 0);
}

// Urgent work of a customer must not count against its long work, nor one pool against another.
TEST_CASE("shares are separate for each pool and priority") {
  two_customers cell;
  cell.Open("a", 0).used = {50'000, 0, 0};
  CHECK(cell.Open("a", 2).Share() == 0);
  CHECK(cell.Open("a", 0).Share() == Approx(0.5));
}

TEST_CASE("a customer that uses more than its weight's part is over its share") {
  two_customers cell;
  auto& a = cell.Open("a");
  a.used = {24'000, 0, 0};
  CHECK_FALSE(cell.shares.IsOverShare(a));
  CHECK(cell.shares.FitsShare(a, {1'000, 0, 0}));
  CHECK_FALSE(cell.shares.FitsShare(a, {2'000, 0, 0}));
  a.used = {26'000, 0, 0};
  CHECK(cell.shares.IsOverShare(a));
}

// Workers leave: their former capacity must not make every customer look small.
TEST_CASE("accounts follow the capacity of their pool") {
  two_customers cell;
  auto& a = cell.Open("a");
  a.used = {10'000, 0, 0};
  cell.shares.SetCapacities({{"pool", {20'000, 1'000, 0}}});
  CHECK(a.Share() == Approx(0.5));
  cell.shares.SetCapacities({});
  CHECK(a.Share() == 0);
}

// Preemption that picks the largest runs discards whole runs without checkpoints or about to end.
TEST_CASE("victims save checkpoints, aren't near their end, and lose the least work") {
  const resources need{2'000, 100, 0};
  const std::vector<preemption_victim> victims{
      Victim(0, 1, false, false), Victim(1, 90, true, false), Victim(2, 50, true, false),
      Victim(3, 0, true, true)};
  CHECK(Indexes(ChooseVictims(victims, need, {}, 1'000)) == std::vector<std::size_t>{2});
  CHECK(Indexes(ChooseVictims(victims, need * 2, {}, 1'000)) == std::vector<std::size_t>{1, 2});
  CHECK(Indexes(ChooseVictims(victims, need * 3, {}, 1'000)) == std::vector<std::size_t>{0, 1, 2});
  CHECK(Indexes(ChooseVictims(victims, need * 5, {}, 1'000)).empty());
}

// A stop that doesn't pay off leaves everybody worse off.
TEST_CASE("no more work is lost than the budget allows") {
  const std::vector<preemption_victim> victims{Victim(0, 50, true, false)};
  CHECK(ChooseVictims(victims, {2'000, 100, 0}, {}, 50).empty());
  CHECK(ChooseVictims(victims, {2'000, 100, 0}, {}, 51).size() == 1);
}

// A large run makes room alone: the small ones chosen before it must not be stopped for nothing.
TEST_CASE("runs whose room isn't needed are spared") {
  std::vector<preemption_victim> victims{Victim(0, 1, true, false), Victim(1, 2, true, false)};
  victims[1].room = {8'000, 400, 0};
  CHECK(Indexes(ChooseVictims(victims, {8'000, 400, 0}, {}, 1'000)) == std::vector<std::size_t>{1});
}

}  // namespace rosearch::sched
