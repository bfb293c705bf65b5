#include <algorithm>
#include <limits>
#include <tuple>

#include "rosearch/placement/policy.h"
#include "rosearch/placement/search.h"

namespace rosearch {
namespace {

using rack_counts = std::map<rack_id, std::int64_t>;

template <typename Map, typename Key>
std::int64_t CountAt(const Map& counts, const Key& key) {
  const auto found = counts.find(key);
  return found == counts.end() ? 0 : found->second;
}

/// A failure domain as a place for one more task of a group.
struct domain_choice {
  std::int64_t count{};
  std::int64_t least_load{};
  const internal::room_index::domain* place{};
  const rack_counts* racks{};
};

/// @return the failure domains with the fewest tasks of the group first; there are a handful.
std::vector<domain_choice> DomainsOf(const ledger& book, const internal::spread_counts& counts) {
  static const rack_counts none;
  std::vector<domain_choice> domains;
  for (const auto& [id, place] : book.index().domains()) {
    const auto racks = counts.racks.find(id);
    domains.push_back({CountAt(counts.domains, id), place.vms.begin()->load, &place,
                       racks == counts.racks.end() ? &none : &racks->second});
  }
  std::ranges::stable_sort(domains, {}, [](const domain_choice& each) {
    return std::tuple{each.count, each.least_load};
  });
  return domains;
}

/// @return the fewest tasks of the group that any rack of the failure domain has. Nearly always
///   some rack has none, which the numbers of racks tell without a look at each.
std::int64_t FewestInARack(const domain_choice& domain) {
  const auto& racks = domain.place->racks;
  if (domain.racks->size() < racks.size()) {
    return 0;
  }
  auto fewest = std::numeric_limits<std::int64_t>::max();
  for (const auto& [rack, vms] : racks) {
    fewest = std::min(fewest, CountAt(*domain.racks, rack));
  }
  return fewest;
}

/// A VM and how many tasks of the group its rack and the VM itself have.
struct vm_choice {
  const vm_state* vm{};
  std::tuple<std::int64_t, std::int64_t> counts;
};

/// Walks the VMs of a failure domain by load and ends at the first that can't be improved on.
vm_choice BestIn(const domain_choice& domain, const placement_request& request,
                 const internal::spread_counts& counts) {
  vm_choice best;
  const std::tuple ideal{FewestInARack(domain), std::int64_t{0}};
  for (const auto& each : domain.place->vms) {
    if (!internal::CanTake(request, *each.vm)) {
      continue;
    }
    const auto& facts = each.vm->facts;
    const std::tuple count{CountAt(*domain.racks, facts.rack), CountAt(counts.vms, facts.vm)};
    if (best.vm == nullptr || count < best.counts) {
      best = {each.vm, count};
    }
    if (best.counts <= ideal) {
      break;
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
    vm_choice best;
    std::int64_t in_domain = 0;
    for (const auto& domain : DomainsOf(book, *counts)) {
      if (best.vm != nullptr && domain.count > in_domain) {
        break;
      }
      const auto found = BestIn(domain, request, *counts);
      if (found.vm != nullptr && (best.vm == nullptr || found.counts < best.counts)) {
        best = found;
        in_domain = domain.count;
      }
    }
    return best.vm == nullptr ? std::nullopt : std::optional{best.vm->facts.vm};
  }
};

const policy_registrar kSpread{"spread", spread_out{}};

}  // namespace
}  // namespace rosearch
