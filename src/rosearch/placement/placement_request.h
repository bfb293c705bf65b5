#ifndef ROSEARCH_PLACEMENT_PLACEMENT_REQUEST_H_
#define ROSEARCH_PLACEMENT_PLACEMENT_REQUEST_H_

#include <cstdint>
#include <string>
#include <vector>

#include "rosearch/core/id.h"
#include "rosearch/core/resources.h"

namespace rosearch {

/// What a policy must know of a task to choose its VM.
struct placement_request {
  resources needs;
  std::uint32_t priority{};  ///< a larger number is more important
  bool urgent{};             ///< may preempt less important work
  std::vector<vm_id> avoid;  ///< VMs that must not be chosen
  std::string spread_group;  ///< tasks of one group are kept apart by the `spread` policy

  friend bool operator==(const placement_request&, const placement_request&) = default;
};

}  // namespace rosearch

#endif  // ROSEARCH_PLACEMENT_PLACEMENT_REQUEST_H_
