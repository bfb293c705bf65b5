#ifndef ROSEARCH_PLACEMENT_EXPLAIN_H_
#define ROSEARCH_PLACEMENT_EXPLAIN_H_

#include <string_view>
#include <vector>

#include "rosearch/core/id.h"
#include "rosearch/core/resources.h"
#include "rosearch/placement/ledger.h"
#include "rosearch/placement/placement_request.h"

namespace rosearch {

/// Why a VM can't take a request now.
enum class pass_reason {
  kFits,      ///< it can take it
  kTooSmall,  ///< it holds too little, also when empty
  kClosed,    ///< it takes no new work
  kAvoided,   ///< the request names it as one to avoid
  kNoRoom,    ///< other tasks occupy what is needed
};

/// One VM and why a request passes it over.
struct vm_explanation {
  vm_id vm;
  pass_reason reason{pass_reason::kFits};
  resources missing;  ///< what is lacking; 0 where there is enough

  friend bool operator==(const vm_explanation&, const vm_explanation&) = default;
};

/// @return the word for a reason in answers: fits, too_small, closed, avoided or no_room.
[[nodiscard]] std::string_view PassReasonName(pass_reason reason) noexcept;

/// @return one line for each VM, sorted by VM.
[[nodiscard]] std::vector<vm_explanation> Explain(const ledger& book,
                                                  const placement_request& request);

}  // namespace rosearch

#endif  // ROSEARCH_PLACEMENT_EXPLAIN_H_
