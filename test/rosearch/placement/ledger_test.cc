#include "rosearch/placement/ledger.h"

#include <catch2/catch.hpp>
#include <vector>

#include "rosearch/core/random_source.h"
#include "test/rosearch/placement/fixture.h"

namespace rosearch {
namespace {

const vm_id kVm{"vm001"};

ledger OneVm(resources holds) {
  ledger book;
  book.SetVm(VmAt(1, holds));
  return book;
}

/// Recomputes from the list of commitments what the ledger keeps as sums.
void CheckSums(const ledger& book) {
  resources all;
  std::size_t count = 0;
  resources room;
  for (const auto& [id, vm] : book) {
    resources here;
    for (const auto& each : book.CommitmentsOn(id)) {
      here = here + each.needs;
      ++count;
      REQUIRE(book.VmOf(each.task, each.attempt) == id);
    }
    REQUIRE(here == vm.committed);
    REQUIRE(book.Room(id) == vm.facts.holds - here);
    all = all + here;
    room = vm.open ? room + vm.Room() : room;
  }
  REQUIRE(count == book.size());
  REQUIRE(all == book.TotalCommitted());
  REQUIRE(room == book.TotalRoom());
}

}  // namespace

TEST_CASE("a commitment is taken only where it fits in every part", "[no-overcommit]") {
  struct row {
    resources needs;
    bool fits;
  };
  const std::vector<row> rows{{{4000, 8000, 1}, true}, {{4001, 1, 0}, false},
                              {{1, 8001, 0}, false},   {{1, 1, 2}, false},
                              {{0, 0, 0}, true},       {{4000, 8000, 0}, true}};
  for (const auto& [needs, fits] : rows) {
    auto book = OneVm({4000, 8000, 1});
    CHECK(book.TryCommit(kVm, TaskOf("t", needs)) == fits);
    CHECK(book.size() == (fits ? 1 : 0));
    CheckSums(book);
  }
}

// A VM is replaced by a smaller one while its tasks run, or an operator takes memory from it. Its
// tasks go on, but a scheduler that starts one more would break all of them.
TEST_CASE("a VM that shrank takes no more until enough has ended", "[no-overcommit]") {
  auto book = OneVm({4000, 8000, 0});
  REQUIRE(book.TryCommit(kVm, TaskOf("a", {3000, 6000, 0})));
  book.SetVm(VmAt(1, {2000, 8000, 0}));
  CHECK(book.Room(kVm).processors_milli == -1000);
  CHECK_FALSE(book.TryCommit(kVm, TaskOf("b", {0, 1, 0})));
  book.Free("a", 1);
  CHECK(book.TryCommit(kVm, TaskOf("b", {2000, 1, 0})));
}

// After a takeover the workers report what runs, and it may exceed what the list says a VM holds.
// Forgetting it would let the next task start beside it.
TEST_CASE("what was adopted counts, also beyond what the VM holds", "[no-overcommit]") {
  auto book = OneVm({4000, 8000, 0});
  book.SetOpen(kVm, false);
  book.ForceCommit(kVm, TaskOf("a", {3000, 1, 0}));
  book.ForceCommit(kVm, TaskOf("a", {3000, 1, 0}));
  CHECK(book.size() == 1);
  book.ForceCommit(kVm, TaskOf("b", {3000, 1, 0}), true);
  book.SetOpen(kVm, true);
  CHECK_FALSE(book.TryCommit(kVm, TaskOf("c", {0, 1, 0})));
  CheckSums(book);
}

TEST_CASE("a breach of the ledger ends the process", "[no-overcommit]") {
  auto book = OneVm({4000, 8000, 0});
  book.SetVm(VmAt(2, {4000, 8000, 0}));
  REQUIRE(book.TryCommit(kVm, TaskOf("a", {3000, 1, 0})));
  CHECK(EndsProcess([&] { book.ForceCommit(kVm, TaskOf("b", {3000, 1, 0})); }));
  CHECK(EndsProcess([&] { book.ForceCommit(vm_id{"vm002"}, TaskOf("a", {3000, 1, 0}), true); }));
  CHECK(EndsProcess([&] { (void)book.TryCommit(vm_id{"vm002"}, TaskOf("a", {1, 1, 0})); }));
  CHECK(EndsProcess([&] { (void)book.TryCommit(kVm, TaskOf("b", {-1, 1, 0})); }));
  CHECK(EndsProcess([&] { book.ForceCommit(vm_id{"none"}, TaskOf("b", {1, 1, 0}), true); }));
  CHECK(EndsProcess([&] { book.RemoveVm(kVm); }));
  CHECK_FALSE(EndsProcess([&] { book.RemoveVm(vm_id{"vm002"}); }));
}

// Any mix of starts, ends, restarts, drains, replaced and shrunken VMs, in any order. If one order
// left a sum or an index wrong, a VM would later be given more than it holds.
TEST_CASE("the ledger stays right under random changes", "[no-overcommit][leaving-targets]") {
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    random_source random{seed};
    ledger book;
    std::vector<std::string> running;
    std::map<vm_id, bool> shrank;
    for (int step = 0; step < 600; ++step) {
      const auto number = static_cast<int>(random.Between(0, 11));
      const auto vm = VmAt(number, {}, 0, 0).vm;
      const auto action = random.Between(0, 9);
      if (action == 0) {
        const resources holds{random.Between(0, 8) * 1000, random.Between(0, 8) * 1000,
                              random.Between(0, 2)};
        book.SetVm(VmAt(number, holds, number % 3, static_cast<int>(random.Between(0, 1))));
      } else if (action == 1) {
        book.SetOpen(vm, random.Chance(0.6));
      } else if (action == 2 && book.CommitmentsOn(vm).empty()) {
        book.RemoveVm(vm);
      } else if (action <= 4 && !running.empty()) {
        const auto at = static_cast<std::size_t>(
            random.Between(0, static_cast<std::int64_t>(running.size()) - 1));
        book.Free(running[at], 1);
        running.erase(running.begin() + static_cast<std::ptrdiff_t>(at));
      } else {
        const resources needs{random.Between(0, 3000), random.Between(0, 3000),
                              random.Between(0, 1)};
        const auto name = "t" + std::to_string(step);
        const bool may = book.IsOpen(vm) && needs.FitsIn(book.Room(vm));
        const bool done = book.TryCommit(vm, TaskOf(name, needs, 0, false, "g"));
        REQUIRE(done == may);
        if (done) {
          running.push_back(name);
          REQUIRE(book.FindVm(vm)->committed.FitsIn(book.FindVm(vm)->facts.holds));
        }
      }
      CheckSums(book);
    }
    for (const auto& name : running) {
      book.Free(name, 1);
    }
    CHECK(book.SpreadOf("g") == nullptr);
    CHECK(book.TotalCommitted() == resources{});
  }
}

}  // namespace rosearch
