#include "rosearch/placement/policy.h"
#include "rosearch/placement/search.h"

namespace rosearch {
namespace {

/// Takes the least loaded VM. `urgent` chooses alike; where it finds nothing, the caller goes on
/// with `PlanPreemption`.
struct least_loaded {
  [[nodiscard]] std::optional<vm_id> Choose(const ledger& book,
                                            const placement_request& request) const {
    if (!internal::MayFit(book, request)) {
      return std::nullopt;
    }
    const auto* const vm = internal::FirstByLoad(book.index().loads(), request);
    return vm == nullptr ? std::nullopt : std::optional{vm->facts.vm};
  }
};

const policy_registrar kQuick{"quick", least_loaded{}};
const policy_registrar kUrgent{"urgent", least_loaded{}};

}  // namespace
}  // namespace rosearch
