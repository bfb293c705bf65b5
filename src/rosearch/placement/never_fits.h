#ifndef ROSEARCH_PLACEMENT_NEVER_FITS_H_
#define ROSEARCH_PLACEMENT_NEVER_FITS_H_

#include <optional>

#include "rosearch/core/id.h"
#include "rosearch/core/resources.h"
#include "rosearch/placement/ledger.h"

namespace rosearch {

/// The VM that comes closest to holding a task.
struct closest_vm {
  vm_id vm;
  resources missing;  ///< what the VM holds too little of, 0 where it holds enough

  friend bool operator==(const closest_vm&, const closest_vm&) = default;
};

/// @return whether the task is larger than every VM, also when that VM is empty. Closed VMs count:
///   they may open again.
[[nodiscard]] bool NeverFits(const ledger& book, const resources& needs);

/// @return the VM that lacks the smallest share of the needs; nothing where there is no VM.
[[nodiscard]] std::optional<closest_vm> ClosestVm(const ledger& book, const resources& needs);

}  // namespace rosearch

#endif  // ROSEARCH_PLACEMENT_NEVER_FITS_H_
