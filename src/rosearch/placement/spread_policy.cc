#include <functional>
#include <tuple>

#include "rosearch/placement/policy.h"
#include "rosearch/placement/search.h"

namespace rosearch {
namespace {

template <typename Map, typename Key>
std::int64_t CountAt(const Map& counts, const Key& key) {
  const auto found = counts.find(key);
  return found == counts.end() ? 0 : found->second;
}

/// A rack as a place for one more task of a group; the smallest is the best.
struct rack_choice {
  std::int64_t in_domain{};
  std::int64_t in_rack{};
  std::int64_t least_load{};
  std::size_t position{};  ///< in the order of names
  const internal::room_index::load_set* vms{};

  [[nodiscard]] auto Rank() const { return std::tie(in_domain, in_rack, least_load, position); }
  friend bool operator>(const rack_choice& a, const rack_choice& b) { return a.Rank() > b.Rank(); }
};

std::vector<rack_choice> RacksOf(const ledger& book, const internal::spread_counts& counts) {
  std::vector<rack_choice> racks;
  racks.reserve(book.index().racks().size());
  const failure_domain_id* domain = nullptr;
  std::int64_t in_domain = 0;
  for (const auto& [key, vms] : book.index().racks()) {
    if (domain == nullptr || *domain != key.first) {
      domain = &key.first;
      in_domain = CountAt(counts.domains, key.first);
    }
    racks.push_back({in_domain, CountAt(counts.racks, key), vms.begin()->load, racks.size(), &vms});
  }
  return racks;
}

const vm_state* BestIn(const internal::room_index::load_set& vms, const placement_request& request,
                       const internal::spread_counts& counts) {
  const vm_state* best = nullptr;
  std::int64_t fewest = 0;
  for (const auto& each : vms) {
    if (!internal::CanTake(request, *each.vm)) {
      continue;
    }
    const auto count = CountAt(counts.vms, each.vm->facts.vm);
    if (best == nullptr || count < fewest) {
      best = each.vm;
      fewest = count;
    }
  }
  return best;
}

/// Keeps the tasks of a group apart: the failure domain with the fewest of them, then the rack,
/// then the VM; equal ones by load. Without a group it is the least loaded VM.
struct spread_out {
  [[nodiscard]] std::optional<vm_id> Choose(const ledger& book,
                                            const placement_request& request) const {
    if (!internal::MayFit(book, request)) {
      return std::nullopt;
    }
    const auto* const counts = book.SpreadOf(request.spread_group);
    if (counts == nullptr) {
      const auto* const vm = internal::FirstByLoad(book.index().loads(), request);
      return vm == nullptr ? std::nullopt : std::optional{vm->facts.vm};
    }
    auto racks = RacksOf(book, *counts);
    // A heap instead of a sorted list: nearly always the first rack or two have room.
    std::ranges::make_heap(racks, std::greater<>{});
    for (; !racks.empty(); racks.pop_back()) {
      std::ranges::pop_heap(racks, std::greater<>{});
      const auto* const vm = BestIn(*racks.back().vms, request, *counts);
      if (vm != nullptr) {
        return vm->facts.vm;
      }
    }
    return std::nullopt;
  }
};

const policy_registrar kSpread{"spread", spread_out{}};

}  // namespace
}  // namespace rosearch
