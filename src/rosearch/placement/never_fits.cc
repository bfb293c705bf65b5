#include "rosearch/placement/never_fits.h"

#include <algorithm>

namespace rosearch {
namespace {

/// @return the share of a need that is missing, in thousandths.
std::int64_t Share(std::int64_t missing, std::int64_t need) {
  return need > 0 ? missing * 1000 / need : 0;
}

resources MissingOn(const vm_state& vm, const resources& needs) {
  const auto lack = needs - vm.facts.holds;
  return {std::max<std::int64_t>(0, lack.processors_milli),
          std::max<std::int64_t>(0, lack.memory_mb), std::max<std::int64_t>(0, lack.accelerators)};
}

std::int64_t SharesOf(const resources& missing, const resources& needs) {
  return Share(missing.processors_milli, needs.processors_milli) +
         Share(missing.memory_mb, needs.memory_mb) +
         Share(missing.accelerators, needs.accelerators);
}

}  // namespace

bool NeverFits(const ledger& book, const resources& needs) {
  return std::ranges::none_of(
      book, [&needs](const auto& each) { return needs.FitsIn(each.second.facts.holds); });
}

std::optional<closest_vm> ClosestVm(const ledger& book, const resources& needs) {
  std::optional<closest_vm> best;
  std::int64_t least = 0;
  for (const auto& [id, vm] : book) {
    const auto missing = MissingOn(vm, needs);
    const auto shares = SharesOf(missing, needs);
    if (!best || shares < least) {
      best = closest_vm{id, missing};
      least = shares;
    }
  }
  return best;
}

}  // namespace rosearch
