#ifndef ROSEARCH_PLACEMENT_SEARCH_H_
#define ROSEARCH_PLACEMENT_SEARCH_H_

#include <algorithm>

#include "rosearch/placement/ledger.h"
#include "rosearch/placement/placement_request.h"

namespace rosearch::internal {

/// @return whether the request names the VM as one to avoid.
[[nodiscard]] inline bool IsAvoided(const placement_request& request, const vm_id& vm) {
  return std::ranges::find(request.avoid, vm) != request.avoid.end();
}

/// @return whether an open VM can take the request as it is.
[[nodiscard]] inline bool CanTake(const placement_request& request, const vm_state& vm) {
  return request.needs.FitsIn(vm.Room()) && !IsAvoided(request, vm.facts.vm);
}

/// @return false where certainly no open VM has room: most decisions in a full cell end here.
[[nodiscard]] inline bool MayFit(const ledger& book, const placement_request& request) {
  return request.needs.FitsIn(book.LargestRoom());
}

/// @return the first VM by load, then name, that can take the request, or null.
[[nodiscard]] inline const vm_state* FirstByLoad(const room_index::load_set& vms,
                                                 const placement_request& request) {
  const auto found = std::ranges::find_if(
      vms, [&request](const by_load::key& each) { return CanTake(request, *each.vm); });
  return found == vms.end() ? nullptr : found->vm;
}

}  // namespace rosearch::internal

#endif  // ROSEARCH_PLACEMENT_SEARCH_H_
