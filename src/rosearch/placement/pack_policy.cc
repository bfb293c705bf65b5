#include <algorithm>
#include <limits>

#include "rosearch/placement/policy.h"
#include "rosearch/placement/search.h"

namespace rosearch {
namespace {

using room_class = internal::room_index::room_class;
using room_set = internal::room_index::room_set;

/// How scarce a part is in the cell, in thousandths: its committed share, and a little more, so
/// that a part of which nothing is committed still breaks ties.
struct scarcity {
  std::int64_t processors{};
  std::int64_t memory{};
};

constexpr std::int64_t kWhole = 1000;
constexpr std::int64_t kLeast = 100;
constexpr auto kSmallest = std::numeric_limits<std::int64_t>::min();

std::int64_t ScarcityOf(std::int64_t committed, std::int64_t held) {
  return kLeast + (held > 0 ? committed * kWhole / held : 0);
}

scarcity ScarcityIn(const ledger& book) {
  const auto held = book.TotalHeld();
  const auto committed = book.TotalCommitted();
  return {ScarcityOf(committed.processors_milli, held.processors_milli),
          ScarcityOf(committed.memory_mb, held.memory_mb)};
}

/// The VM with the least waste so far.
struct best_so_far {
  const vm_state* vm{};
  std::int64_t waste{std::numeric_limits<std::int64_t>::max()};
};

/// @return what a leftover costs: its share of what the VM holds, times how scarce it is.
std::int64_t Waste(std::int64_t left, std::int64_t held, std::int64_t scarce) {
  return left * kWhole * scarce / std::max<std::int64_t>(1, held);
}

/// Looks for less waste among the VMs of one class. They come by free processors, so that the
/// search ends once these alone waste more than the best found.
void Improve(best_so_far& best, const room_class& size, const room_set& vms,
             const placement_request& request, const scarcity& scarce) {
  const auto& needs = request.needs;
  const internal::by_room::key least_room{needs.processors_milli, kSmallest, nullptr};
  for (auto each = vms.lower_bound(least_room); each != vms.end(); ++each) {
    const auto processors = Waste(each->processors_milli - needs.processors_milli,
                                  size.held_processors_milli, scarce.processors);
    if (processors >= best.waste) {
      return;
    }
    if (each->memory_mb < needs.memory_mb) {
      continue;
    }
    const auto waste =
        processors + Waste(each->memory_mb - needs.memory_mb, size.held_memory_mb, scarce.memory);
    if (waste < best.waste && internal::CanTake(request, *each->vm)) {
      best = {each->vm, waste};
    }
  }
}

/// Best fit: the fewest free accelerators first, then the least waste of processors and memory.
/// Processors given away beside free accelerators leave these without use, so that work without
/// accelerators takes VMs that hold none, or none that is free, as long as one has room.
struct best_fit {
  [[nodiscard]] std::optional<vm_id> Choose(const ledger& book,
                                            const placement_request& request) const {
    if (!internal::MayFit(book, request)) {
      return std::nullopt;
    }
    const auto scarce = ScarcityIn(book);
    const auto& classes = book.index().rooms();
    best_so_far best;
    auto free_accelerators = request.needs.accelerators;
    for (auto each = classes.lower_bound({free_accelerators, kSmallest, kSmallest});
         each != classes.end(); ++each) {
      if (each->first.free_accelerators != free_accelerators && best.vm != nullptr) {
        break;
      }
      free_accelerators = each->first.free_accelerators;
      Improve(best, each->first, each->second, request, scarce);
    }
    return best.vm == nullptr ? std::nullopt : std::optional{best.vm->facts.vm};
  }
};

const policy_registrar kPack{"pack", best_fit{}};

}  // namespace
}  // namespace rosearch
