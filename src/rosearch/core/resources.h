#ifndef ROSEARCH_CORE_RESOURCES_H_
#define ROSEARCH_CORE_RESOURCES_H_

#include <algorithm>
#include <compare>
#include <cstdint>
#include <limits>

namespace rosearch {

/// Resources that a VM has or a task needs.
struct resources {
  std::int64_t processors_milli{0};  ///< thousandths of a processor
  std::int64_t memory_mb{0};         ///< megabytes
  std::int64_t accelerators{0};      ///< whole accelerators

  /// @return whether no component exceeds that of `room`.
  [[nodiscard]] constexpr bool FitsIn(const resources& room) const noexcept {
    return processors_milli <= room.processors_milli && memory_mb <= room.memory_mb &&
           accelerators <= room.accelerators;
  }

  /// @return how many tasks that each need this fit into `room`; 0 if it is overcommitted.
  [[nodiscard]] constexpr std::int64_t CountIn(const resources& room) const noexcept {
    const auto fitting = [](std::int64_t need, std::int64_t free) {
      return need > 0 ? free / need : std::numeric_limits<std::int64_t>::max();
    };
    const auto count =
        std::min({fitting(processors_milli, room.processors_milli),
                  fitting(memory_mb, room.memory_mb), fitting(accelerators, room.accelerators)});
    return FitsIn(room) ? count : 0;
  }

  friend constexpr resources operator+(const resources& a, const resources& b) noexcept {
    return {a.processors_milli + b.processors_milli, a.memory_mb + b.memory_mb,
            a.accelerators + b.accelerators};
  }
  friend constexpr resources operator-(const resources& a, const resources& b) noexcept {
    return {a.processors_milli - b.processors_milli, a.memory_mb - b.memory_mb,
            a.accelerators - b.accelerators};
  }
  friend constexpr resources operator*(const resources& each, std::int64_t count) noexcept {
    return {each.processors_milli * count, each.memory_mb * count, each.accelerators * count};
  }
  friend constexpr bool operator==(const resources&, const resources&) = default;
};

}  // namespace rosearch

#endif  // ROSEARCH_CORE_RESOURCES_H_
