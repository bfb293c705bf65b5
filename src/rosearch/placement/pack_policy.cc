#include <limits>

#include "rosearch/placement/policy.h"
#include "rosearch/placement/search.h"

namespace rosearch {
namespace {

/// What one free unit costs if it is left over, in parts that can be added up.
struct waste_weights {
  std::int64_t processors{};
  std::int64_t memory{};
};

/// Scale of the integer arithmetic: one part in a thousand of the cell's mean VM.
constexpr std::int64_t kScale = 1000;
/// A part of which nothing is committed still weighs something, so that it breaks ties.
constexpr std::int64_t kLeastScarcity = 100;

/// @return the weight of one unit in billionths: leftover counts relative to the mean VM, and more
///   the scarcer that part is in the cell.
std::int64_t WeightOf(std::int64_t committed, std::int64_t held, std::int64_t vm_count) {
  if (held <= 0 || vm_count <= 0) {
    return 1;
  }
  const auto scarcity = kLeastScarcity + committed * kScale / held;
  const auto mean = std::max<std::int64_t>(1, held / vm_count);
  return std::max<std::int64_t>(1, scarcity * kScale * kScale / mean);
}

waste_weights WeightsOf(const ledger& book) {
  const auto held = book.TotalHeld();
  const auto committed = book.TotalCommitted();
  const auto count = static_cast<std::int64_t>(book.vm_count());
  return {WeightOf(committed.processors_milli, held.processors_milli, count),
          WeightOf(committed.memory_mb, held.memory_mb, count)};
}

/// Finds the least waste among VMs with equally many free accelerators. VMs come by free
/// processors, so that the search ends once these alone waste more than the best found.
const vm_state* BestOf(const internal::room_index::room_set& vms, const placement_request& request,
                       const waste_weights& weights) {
  const vm_state* best = nullptr;
  auto least = std::numeric_limits<std::int64_t>::max();
  const auto& needs = request.needs;
  for (auto each = vms.lower_bound(
           {needs.processors_milli, std::numeric_limits<std::int64_t>::min(), nullptr});
       each != vms.end(); ++each) {
    const auto processors = (each->processors_milli - needs.processors_milli) * weights.processors;
    if (processors >= least) {
      break;
    }
    if (each->memory_mb < needs.memory_mb) {
      continue;
    }
    const auto waste = processors + (each->memory_mb - needs.memory_mb) * weights.memory;
    if (waste < least && internal::CanTake(request, *each->vm)) {
      least = waste;
      best = each->vm;
    }
  }
  return best;
}

/// Best fit: the fewest free accelerators first, then the least waste of processors and memory.
/// Work without accelerators takes VMs that hold none as long as there are any, then those with the
/// fewest free ones: processors given away beside free accelerators leave these without use.
struct best_fit {
  [[nodiscard]] std::optional<vm_id> Choose(const ledger& book,
                                            const placement_request& request) const {
    if (!internal::MayFit(book, request)) {
      return std::nullopt;
    }
    const auto weights = WeightsOf(book);
    const auto accelerators = request.needs.accelerators;
    const auto& classes = book.index().rooms();
    for (auto each = classes.lower_bound({accelerators > 0, accelerators}); each != classes.end();
         ++each) {
      const auto* const vm = BestOf(each->second, request, weights);
      if (vm != nullptr) {
        return vm->facts.vm;
      }
    }
    return std::nullopt;
  }
};

const policy_registrar kPack{"pack", best_fit{}};

}  // namespace
}  // namespace rosearch
