#include "rosearch/placement/explain.h"

#include <algorithm>

#include "rosearch/placement/search.h"

namespace rosearch {
namespace {

resources Missing(const resources& needs, const resources& there) {
  const auto lack = needs - there;
  return {std::max<std::int64_t>(0, lack.processors_milli),
          std::max<std::int64_t>(0, lack.memory_mb), std::max<std::int64_t>(0, lack.accelerators)};
}

vm_explanation ExplainOne(const vm_state& vm, const placement_request& request) {
  const auto& needs = request.needs;
  const auto& id = vm.facts.vm;
  if (!needs.FitsIn(vm.facts.holds)) {
    return {id, pass_reason::kTooSmall, Missing(needs, vm.facts.holds)};
  }
  if (!vm.open) {
    return {id, pass_reason::kClosed, {}};
  }
  if (internal::IsAvoided(request, id)) {
    return {id, pass_reason::kAvoided, {}};
  }
  const auto missing = Missing(needs, vm.Room());
  return {id, missing == resources{} ? pass_reason::kFits : pass_reason::kNoRoom, missing};
}

}  // namespace

std::string_view PassReasonName(pass_reason reason) noexcept {
  switch (reason) {
    case pass_reason::kFits:
      return "fits";
    case pass_reason::kTooSmall:
      return "too_small";
    case pass_reason::kClosed:
      return "closed";
    case pass_reason::kAvoided:
      return "avoided";
    case pass_reason::kNoRoom:
      return "no_room";
  }
  return "no_room";
}

std::vector<vm_explanation> Explain(const ledger& book, const placement_request& request) {
  std::vector<vm_explanation> all;
  all.reserve(book.vm_count());
  for (const auto& [id, vm] : book) {
    all.push_back(ExplainOne(vm, request));
  }
  return all;
}

}  // namespace rosearch
