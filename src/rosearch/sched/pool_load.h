#ifndef ROSEARCH_SCHED_POOL_LOAD_H_
#define ROSEARCH_SCHED_POOL_LOAD_H_

#include <cstdint>
#include <map>

#include "rosearch/core/time.h"

namespace rosearch::sched {

/// Capacity and load of a pool, over the workers that take work; processors in thousandths.
struct pool_load {
  double capacity{0};
  double free{0};                             ///< not in use
  double services{0};                         ///< used by services
  std::map<std::uint32_t, double> running{};  ///< used by other runs, by priority
  /// Work of waiting tasks except services, in thousandths of a processor times ms, by priority.
  std::map<std::uint32_t, double> waiting{};
  time_point measure_again_at{};

  friend bool operator==(const pool_load&, const pool_load&) = default;
};

}  // namespace rosearch::sched

#endif  // ROSEARCH_SCHED_POOL_LOAD_H_
