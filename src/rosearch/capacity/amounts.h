#ifndef ROSEARCH_CAPACITY_AMOUNTS_H_
#define ROSEARCH_CAPACITY_AMOUNTS_H_

#include <algorithm>
#include <cstdint>
#include <limits>

#include "rosearch/core/resources.h"
#include "rosearch/wire/common.pb.h"

namespace rosearch::internal {

/// @return the amounts of a message as the ledger counts them.
[[nodiscard]] inline resources FromWire(const wire::resource_amounts& amounts) {
  return {amounts.processors_milli(), amounts.memory_mb(), amounts.accelerators()};
}

/// @return the amounts as a message; what a VM lacks counts as 0.
[[nodiscard]] inline wire::resource_amounts ToWire(const resources& amounts) {
  static constexpr std::int64_t kMost = std::numeric_limits<std::uint32_t>::max();
  const auto part = [](std::int64_t value) {
    return static_cast<std::uint32_t>(std::clamp(value, std::int64_t{0}, kMost));
  };
  wire::resource_amounts message;
  message.set_processors_milli(part(amounts.processors_milli));
  message.set_memory_mb(part(amounts.memory_mb));
  message.set_accelerators(part(amounts.accelerators));
  return message;
}

}  // namespace rosearch::internal

#endif  // ROSEARCH_CAPACITY_AMOUNTS_H_
