#ifndef ROSEARCH_BENCHMARK_CELL_H_
#define ROSEARCH_BENCHMARK_CELL_H_

#include <algorithm>
#include <string>
#include <vector>

#include "benchmark/baselines.h"
#include "rosearch/core/random_source.h"
#include "rosearch/placement/ledger.h"
#include "rosearch/placement/policy.h"

namespace rosearch::bench {

/// The cell of the aim: half its VMs as Calandria's (16 processors, 64 GB, eight to a rack), half
/// as Trinacria's (64 processors, 128 GB, six to a rack); 9 of 32 VMs hold 8 accelerators, which
/// makes about 1,700 on 760 VMs.
inline vm_facts VmOf(int number) {
  const bool large = number % 2 == 1;
  const bool accelerated = large && number % 32 < 18;
  const int position = number / 2;
  const int rack = position / (large ? 6 : 8);
  auto digits = std::to_string(number);
  digits.insert(0, 4 - std::min<std::size_t>(4, digits.size()), '0');
  const auto domain = std::string{large ? "t" : "c"} + std::to_string(rack % 3);
  return {vm_id{"vm" + digits},
          region_id{large ? "sicily" : "uruguay"},
          failure_domain_id{domain},
          rack_id{domain + "-" + std::to_string(rack)},
          {large ? 64000 : 16000, large ? 128000 : 64000, accelerated ? 8 : 0}};
}

inline ledger EmptyCell(int vms) {
  ledger book;
  for (int number = 0; number < vms; ++number) {
    book.SetVm(VmOf(number));
  }
  return book;
}

/// What the tasks of a run look like.
struct task_mix {
  std::int64_t processors_milli;  ///< mean
  double accelerated;             ///< share of the tasks that need 1 or 2 accelerators
};

/// @return the mix by which `tasks` tasks take `percent` of the processors and accelerators.
inline task_mix MixFor(const ledger& book, std::int64_t tasks, std::int64_t percent) {
  const auto held = book.TotalHeld();
  return {held.processors_milli * percent / 100 / tasks,
          static_cast<double>(held.accelerators * percent) / 150.0 / static_cast<double>(tasks)};
}

/// Draws a task: four in five small, the rest up to four times the mean; memory about 2.4 GB a
/// processor, off by up to a factor three.
inline commitment DrawTask(random_source& random, std::int64_t number, const task_mix& mix) {
  const bool large = random.Chance(0.2);
  const auto mean = mix.processors_milli;
  const auto processors = std::max<std::int64_t>(
      1, large ? random.Between(mean, mean * 4) : random.Between(mean / 4, mean));
  const auto memory = std::max<std::int64_t>(1, processors * random.Between(8, 40) / 10);
  const auto accelerators = random.Chance(mix.accelerated) ? random.Between(1, 2) : 0;
  return {"task-" + std::to_string(number),
          1,
          {processors, memory, accelerators},
          static_cast<std::uint32_t>(random.Between(0, 4)),
          random.Chance(0.6),
          "service-" + std::to_string(number % 200)};
}

inline placement_request RequestOf(const commitment& task) {
  return {task.needs, task.priority, false, {}, task.spread_group};
}

/// A policy of the product, or a baseline by its name.
inline policy MakePolicy(const std::string& name, const ledger& book) {
  if (name == "full_scan") {
    return policy{name, baseline::full_scan{}};
  }
  if (name == "random") {
    return policy{name, baseline::random_choice{{book, 11}}};
  }
  if (name == "two_choices") {
    return policy{name, baseline::two_choices{{book, 13}}};
  }
  struct registered {
    const policy* chosen;
    [[nodiscard]] std::optional<vm_id> Choose(const ledger& on,
                                              const placement_request& request) const {
      return chosen->Choose(on, request);
    }
  };
  return policy{name, registered{policy_registry::Find(name).value()}};
}

/// @return the value below which `share` of the samples lie; 0 where there are none.
template <typename T>
T Percentile(std::vector<T> samples, double share) {
  if (samples.empty()) {
    return {};
  }
  const auto at = std::min(samples.size() - 1,
                           static_cast<std::size_t>(share * static_cast<double>(samples.size())));
  std::ranges::nth_element(samples, samples.begin() + static_cast<std::ptrdiff_t>(at));
  return samples[at];
}

}  // namespace rosearch::bench

#endif  // ROSEARCH_BENCHMARK_CELL_H_
