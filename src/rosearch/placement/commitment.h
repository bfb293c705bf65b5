#ifndef ROSEARCH_PLACEMENT_COMMITMENT_H_
#define ROSEARCH_PLACEMENT_COMMITMENT_H_

#include <cstdint>
#include <string>

#include "rosearch/core/resources.h"

namespace rosearch {

/// What one attempt of a task takes of its VM, as declared.
struct commitment {
  std::string task;
  std::uint32_t attempt{};
  resources needs;
  std::uint32_t priority{};  ///< a larger number is more important
  bool preemptible{};        ///< may be checkpointed and stopped for more important work
  std::string spread_group;  ///< empty: counted for no group

  friend bool operator==(const commitment&, const commitment&) = default;
};

}  // namespace rosearch

#endif  // ROSEARCH_PLACEMENT_COMMITMENT_H_
