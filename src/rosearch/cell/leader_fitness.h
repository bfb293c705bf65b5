#ifndef ROSEARCH_CELL_LEADER_FITNESS_H_
#define ROSEARCH_CELL_LEADER_FITNESS_H_

#include <cstdint>

namespace rosearch::cell {

/// What a process has for leading a cell. Answers entries of unequal size: a leader with too little
/// processor time, or with a slow link, restores the state and reads the workers so slowly that its
/// peers replace it before it serves.
struct leader_fitness {
  std::uint32_t processor_milli{0};  ///< thousandths of a processor; 0: it is about to stop
  std::uint32_t link_mbps{0};        ///< rate of its network link in Mbit/s; 0: not known

  /// Needed by a leader of 350 workers.
  static constexpr std::uint32_t kMinProcessorMilli = 200;
  /// 350 workers answer a new leader with about 1 MB in a moment, and then again each second.
  static constexpr std::uint32_t kMinLinkMbps = 50;

  /// @return whether it can lead hundreds of workers.
  [[nodiscard]] constexpr bool IsFit() const noexcept {
    return processor_milli >= kMinProcessorMilli && (link_mbps == 0 || link_mbps >= kMinLinkMbps);
  }

  friend bool operator==(const leader_fitness&, const leader_fitness&) = default;
};

}  // namespace rosearch::cell

#endif  // ROSEARCH_CELL_LEADER_FITNESS_H_
