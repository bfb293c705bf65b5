#ifndef ROSEARCH_DISPATCH_EXECUTOR_FACTS_H_
#define ROSEARCH_DISPATCH_EXECUTOR_FACTS_H_

#include <algorithm>
#include <cstdint>
#include <string>

#include "rosearch/core/id.h"

namespace rosearch {

/// An executor of quick requests.
struct executor_facts {
  vm_id vm;
  std::string address;            ///< IP number and port
  std::uint32_t slots{8};         ///< requests that it runs at once
  std::uint32_t connections{60};  ///< connections that it takes

  /// @return how many requests may be with it at once: each takes a slot and a connection.
  [[nodiscard]] std::uint32_t Capacity() const noexcept { return std::min(slots, connections); }

  friend bool operator==(const executor_facts&, const executor_facts&) = default;
};

}  // namespace rosearch

#endif  // ROSEARCH_DISPATCH_EXECUTOR_FACTS_H_
