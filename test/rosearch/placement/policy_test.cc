#include "rosearch/placement/policy.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <limits>
#include <map>
#include <set>
#include <tuple>

#include "rosearch/core/random_source.h"
#include "rosearch/placement/explain.h"
#include "rosearch/placement/never_fits.h"
#include "rosearch/placement/preemption.h"
#include "test/rosearch/placement/fixture.h"

namespace rosearch {
namespace {

placement_request Request(resources needs, std::string group = {}) {
  return {needs, 5, false, {}, std::move(group)};
}

/// A cell in which about half of everything is taken, some VMs are closed and some have nothing.
ledger RandomCell(random_source& random, int vms) {
  ledger book;
  for (int number = 0; number < vms; ++number) {
    const bool large = random.Chance(0.5);
    const resources holds{large ? 64000 : 16000, large ? 128000 : 64000,
                          random.Chance(0.4) ? random.Between(1, 8) : 0};
    book.SetVm(VmAt(number, holds, number % 3, number / 8));
  }
  for (int task = 0; task < vms * 10; ++task) {
    const auto vm = VmAt(static_cast<int>(random.Between(0, vms - 1)), {}).vm;
    const commitment added{"t" + std::to_string(task),
                           1,
                           {random.Between(0, 8000), random.Between(0, 20000),
                            random.Chance(0.3) ? random.Between(0, 4) : 0},
                           static_cast<std::uint32_t>(random.Between(0, 4)),
                           random.Chance(0.7),
                           "g" + std::to_string(task % 5)};
    (void)book.TryCommit(vm, added);
  }
  for (int number = 0; number < vms; ++number) {
    book.SetOpen(VmAt(number, {}).vm, random.Chance(0.9));
  }
  return book;
}

placement_request RandomRequest(random_source& random, int vms) {
  placement_request made{{random.Between(0, 60000), random.Between(0, 90000),
                          random.Chance(0.3) ? random.Between(0, 8) : 0},
                         5,
                         random.Chance(0.5),
                         {},
                         random.Chance(0.5) ? "g1" : ""};
  for (int count = 0; count < 3; ++count) {
    made.avoid.push_back(VmAt(static_cast<int>(random.Between(0, vms - 1)), {}).vm);
  }
  return made;
}

bool AnyFits(const ledger& book, const placement_request& request) {
  const auto lines = Explain(book, request);
  return std::ranges::any_of(
      lines, [](const vm_explanation& line) { return line.reason == pass_reason::kFits; });
}

}  // namespace

TEST_CASE("policies register themselves under the words of rules") {
  CHECK(policy_registry::Names() == std::vector<std::string>{"pack", "quick", "spread", "urgent"});
  const auto unknown = policy_registry::Find("best");
  REQUIRE(unknown.has_error());
  CHECK(unknown.error().kind == error_kind::kInvalidRequest);
}

// A search that ends too early leaves work waiting beside free VMs, and one that looks at a closed
// VM sends work to a target that leaves.
TEST_CASE("every policy finds an open VM with room whenever there is one", "[leaving-targets]") {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    random_source random{seed};
    auto book = RandomCell(random, 40);
    for (int count = 0; count < 50; ++count) {
      const auto request = RandomRequest(random, 40);
      const bool fits = AnyFits(book, request);
      for (const auto& name : policy_registry::Names()) {
        const auto chosen = PolicyOf(name).Choose(book, request);
        REQUIRE(chosen.has_value() == fits);
        if (chosen) {
          REQUIRE(book.IsOpen(*chosen));
          REQUIRE(std::ranges::find(request.avoid, *chosen) == request.avoid.end());
          REQUIRE(request.needs.FitsIn(book.Room(*chosen)));
        }
      }
    }
  }
}

namespace {

using score = std::vector<std::int64_t>;

/// Free accelerators, then the leftovers as shares of the VM times how scarce the part is.
score PackScore(const ledger& book, const vm_state& vm, const resources& needs) {
  const auto left = vm.Room() - needs;
  const auto waste = [](std::int64_t part, std::int64_t held, std::int64_t used, std::int64_t all) {
    return part * 1000 * (100 + used * 1000 / all) / held;
  };
  const auto used = book.TotalCommitted();
  const auto all = book.TotalHeld();
  const auto& holds = vm.facts.holds;
  return {left.accelerators,
          waste(left.processors_milli, holds.processors_milli, used.processors_milli,
                all.processors_milli) +
              waste(left.memory_mb, holds.memory_mb, used.memory_mb, all.memory_mb)};
}

/// Tasks of the group in the failure domain, in the rack and on the VM, counted one by one.
score SpreadScore(const ledger& book, const vm_state& vm, const std::string& group) {
  score counts{0, 0, 0};
  for (const auto& [id, other] : book) {
    const auto here = std::ranges::count(other.tasks, group, &commitment::spread_group);
    const bool in_domain = other.facts.failure_domain == vm.facts.failure_domain;
    counts[0] += in_domain ? here : 0;
    counts[1] += in_domain && other.facts.rack == vm.facts.rack ? here : 0;
    counts[2] += id == vm.facts.vm ? here : 0;
  }
  return counts;
}

/// @return the smallest score over the VMs that can take the request.
template <typename Score>
score LeastOf(const ledger& book, const placement_request& request, Score score_of) {
  score least{std::numeric_limits<std::int64_t>::max()};
  for (const auto& line : Explain(book, request)) {
    if (line.reason == pass_reason::kFits) {
      least = std::min(least, score_of(*book.FindVm(line.vm)));
    }
  }
  return least;
}

}  // namespace

// The index lets a search end early. Where it ends too early, work goes to a worse VM: packing and
// spreading get worse, and nothing else shows it.
TEST_CASE("the indexed search finds what a look at every VM finds") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    random_source random{seed};
    auto book = RandomCell(random, 40);
    for (int count = 0; count < 50; ++count) {
      auto request = RandomRequest(random, 40);
      request.needs.processors_milli /= 4;
      request.needs.memory_mb /= 4;
      request.spread_group = "g" + std::to_string(random.Between(0, 5));
      const auto pack = [&](const vm_state& vm) { return PackScore(book, vm, request.needs); };
      const auto spread = [&](const vm_state& vm) {
        return SpreadScore(book, vm, request.spread_group);
      };
      const auto packed = PolicyOf("pack").Choose(book, request);
      REQUIRE((!packed || pack(*book.FindVm(*packed)) == LeastOf(book, request, pack)));
      const auto apart = PolicyOf("spread").Choose(book, request);
      REQUIRE((!apart || request.spread_group == "g5" ||
               spread(*book.FindVm(*apart)) == LeastOf(book, request, spread)));
    }
  }
}

TEST_CASE("pack keeps accelerators for the work that needs them") {
  ledger book;
  book.SetVm(VmAt(1, {64000, 128000, 8}));
  book.SetVm(VmAt(2, {64000, 128000, 2}));
  book.SetVm(VmAt(3, {64000, 128000, 0}));
  struct row {
    resources needs;
    int vm;
  };
  const std::vector<row> rows{
      {{1000, 1000, 0}, 3}, {{1000, 1000, 1}, 2}, {{1000, 1000, 3}, 1}, {{64000, 1, 0}, 2}};
  for (std::size_t index = 0; index < rows.size(); ++index) {
    const auto chosen = PolicyOf("pack").Choose(book, Request(rows[index].needs));
    REQUIRE(chosen == VmAt(rows[index].vm, {}).vm);
    if (index == 0) {
      REQUIRE(book.TryCommit(*chosen, TaskOf("t", rows[index].needs)));
    }
  }
}

TEST_CASE("pack takes the VM that wastes the least of what is scarce") {
  ledger book;
  book.SetVm(VmAt(1, {10000, 90000, 0}));
  book.SetVm(VmAt(2, {14000, 20000, 0}));
  book.SetVm(VmAt(3, {90000, 90000, 0}));
  // Memory is nearly all committed, processors hardly: VM 2 wastes more processors, less memory.
  REQUIRE(book.TryCommit(VmAt(3, {}).vm, TaskOf("t", {1000, 89000, 0})));
  CHECK(PolicyOf("pack").Choose(book, Request({8000, 15000, 0})) == VmAt(2, {}).vm);
}

TEST_CASE("quick takes the least loaded VM") {
  ledger book;
  for (int number = 1; number <= 3; ++number) {
    book.SetVm(VmAt(number, {16000, 64000, 0}));
  }
  REQUIRE(book.TryCommit(VmAt(1, {}).vm, TaskOf("a", {8000, 1, 0})));
  REQUIRE(book.TryCommit(VmAt(2, {}).vm, TaskOf("b", {1, 30000, 0})));
  CHECK(PolicyOf("quick").Choose(book, Request({1, 1, 0})) == VmAt(3, {}).vm);
}

// A failure domain, a rack or a VM goes. A service whose replicas all stood there is gone with it.
TEST_CASE("spread keeps a group apart over failure domains, racks and VMs") {
  ledger book;
  for (int number = 0; number < 24; ++number) {
    book.SetVm(VmAt(number, {16000, 64000, 0}, number % 3, number / 3 % 4));
  }
  std::map<failure_domain_id, int> domains;
  std::map<std::string, int> racks;
  std::map<vm_id, int> vms;
  for (int replica = 0; replica < 24; ++replica) {
    const auto chosen = PolicyOf("spread").Choose(book, Request({1000, 1000, 0}, "web"));
    REQUIRE(chosen);
    REQUIRE(book.TryCommit(
        *chosen, TaskOf("r" + std::to_string(replica), {1000, 1000, 0}, 0, false, "web")));
    const auto& facts = book.FindVm(*chosen)->facts;
    const auto most_apart = [](const auto& counts) {
      std::set<int> numbers;
      for (const auto& [place, number] : counts) {
        numbers.insert(number);
      }
      return *numbers.rbegin() - *numbers.begin() <= 1;
    };
    ++domains[facts.failure_domain];
    ++racks[facts.failure_domain.value() + "/" + facts.rack.value()];
    ++vms[*chosen];
    CHECK(most_apart(domains));
    CHECK(most_apart(racks));
    CHECK(most_apart(vms));
  }
  CHECK(std::tuple{domains.size(), racks.size(), vms.size()} == std::tuple{3U, 12U, 24U});
}

TEST_CASE("a request larger than every VM is told at once what is missing") {
  ledger book;
  CHECK(NeverFits(book, {1, 1, 0}));
  CHECK_FALSE(ClosestVm(book, {1, 1, 0}));
  book.SetVm(VmAt(1, {16000, 64000, 0}));
  book.SetVm(VmAt(2, {64000, 128000, 2}));
  book.SetOpen(VmAt(2, {}).vm, false);
  CHECK_FALSE(NeverFits(book, {64000, 128000, 2}));
  CHECK(NeverFits(book, {1, 1, 3}));
  CHECK(ClosestVm(book, {70000, 1, 2}) == closest_vm{VmAt(2, {}).vm, {6000, 0, 0}});
}

TEST_CASE("explain names the reason for each VM") {
  ledger book;
  for (int number = 1; number <= 5; ++number) {
    book.SetVm(VmAt(number, {number == 1 ? 1000 : 4000, 8000, 0}));
  }
  book.SetOpen(VmAt(2, {}).vm, false);
  REQUIRE(book.TryCommit(VmAt(4, {}).vm, TaskOf("t", {3000, 1, 0})));
  auto request = Request({2000, 1000, 0});
  request.avoid = {VmAt(3, {}).vm};
  const std::vector<vm_explanation> expected{{VmAt(1, {}).vm, pass_reason::kTooSmall, {1000, 0, 0}},
                                             {VmAt(2, {}).vm, pass_reason::kClosed, {}},
                                             {VmAt(3, {}).vm, pass_reason::kAvoided, {}},
                                             {VmAt(4, {}).vm, pass_reason::kNoRoom, {1000, 0, 0}},
                                             {VmAt(5, {}).vm, pass_reason::kFits, {}}};
  CHECK(Explain(book, request) == expected);
  CHECK(PassReasonName(pass_reason::kTooSmall) == "too_small");
}

// Urgent work arrives in a full cell. Without preemption it waits behind batch work for hours;
// with too much of it, work is lost that could have gone on.
TEST_CASE("preemption stops the least that makes room") {
  struct row {
    std::string name;
    std::vector<std::pair<int, commitment>> running;
    std::uint32_t priority;
    int vm;  // 0: no plan
    std::vector<std::string> victims;
  };
  const resources half{2000, 1, 0};
  const resources whole{4000, 1, 0};
  const std::vector<row> rows{
      {"fits as it is", {{1, TaskOf("a", whole, 0, true)}}, 9, 2, {}},
      {"lowest priority",
       {{1, TaskOf("a", whole, 3, true)}, {2, TaskOf("b", whole, 2, true)}},
       9,
       2,
       {"b"}},
      {"fewest victims",
       {{1, TaskOf("a", half, 2, true)},
        {1, TaskOf("b", half, 2, true)},
        {2, TaskOf("c", whole, 2, true)}},
       9,
       2,
       {"c"}},
      {"both halves where it must be",
       {{1, TaskOf("a", half, 1, true)},
        {1, TaskOf("b", half, 2, true)},
        {2, TaskOf("c", whole, 3, true)}},
       9,
       1,
       {"a", "b"}},
      {"not its own priority",
       {{1, TaskOf("a", whole, 9, true)}, {2, TaskOf("b", whole, 9, true)}},
       9,
       0,
       {}},
      {"only preemptible work",
       {{1, TaskOf("a", whole, 0, false)}, {2, TaskOf("b", whole, 5, true)}},
       9,
       2,
       {"b"}},
  };
  for (const auto& each : rows) {
    INFO(each.name);
    ledger book;
    book.SetVm(VmAt(1, {4000, 8000, 0}));
    book.SetVm(VmAt(2, {4000, 8000, 0}));
    for (const auto& [vm, task] : each.running) {
      REQUIRE(book.TryCommit(VmAt(vm, {}).vm, task));
    }
    placement_request request{{3000, 1, 0}, each.priority, true, {}, {}};
    const auto plan = PlanPreemption(book, request);
    REQUIRE(plan.has_value() == (each.vm != 0));
    if (plan) {
      CHECK(plan->vm == VmAt(each.vm, {}).vm);
      std::vector<std::string> victims;
      std::ranges::transform(plan->victims, std::back_inserter(victims), &commitment::task);
      CHECK(victims == each.victims);
    }
    request.urgent = false;
    CHECK_FALSE(PlanPreemption(book, request));
  }
}

TEST_CASE("a preemption plan always makes room and spares nobody's better", "[no-overcommit]") {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    random_source random{seed};
    auto book = RandomCell(random, 20);
    for (int count = 0; count < 30; ++count) {
      auto request = RandomRequest(random, 20);
      request.priority = static_cast<std::uint32_t>(random.Between(0, 5));
      request.urgent = true;
      const auto plan = PlanPreemption(book, request);
      REQUIRE((plan && plan->victims.empty()) == AnyFits(book, request));
      if (!plan) {
        continue;
      }
      REQUIRE(book.IsOpen(plan->vm));
      auto room = book.Room(plan->vm);
      for (const auto& victim : plan->victims) {
        REQUIRE(victim.preemptible);
        REQUIRE(victim.priority < request.priority);
        REQUIRE(book.VmOf(victim.task, victim.attempt) == plan->vm);
        room = room + victim.needs;
      }
      REQUIRE(request.needs.FitsIn(room));
      for (const auto& victim : plan->victims) {
        REQUIRE_FALSE(request.needs.FitsIn(room - victim.needs));
      }
    }
  }
}

}  // namespace rosearch
