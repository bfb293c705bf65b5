#ifndef ROSEARCH_SCHED_WAIT_VIEW_H_
#define ROSEARCH_SCHED_WAIT_VIEW_H_

#include <cstddef>
#include <string_view>

namespace rosearch::sched {

/// What a step waits for, in the terms of docs/OPERATIONS.md, and why workers can't run it.
struct wait_view {
  std::string_view what{};
  std::size_t unsettled{0};    ///< see `scheduler::OldRunsSettled`: workers without an answer yet
  std::size_t out_of_use{0};   ///< silent, draining, unlisted or not yet recorded
  std::size_t quarantined{0};  ///< excluded for a time after failures, slow runs or refusals
  std::size_t unfit{0};        ///< excluded by label, pool or per-worker limit
  std::size_t not_allowed{0};  ///< excluded by advice
  std::size_t no_room{0};
  std::size_t open{0};  ///< with room for a task of the step

  friend bool operator==(const wait_view&, const wait_view&) = default;
};

}  // namespace rosearch::sched

#endif  // ROSEARCH_SCHED_WAIT_VIEW_H_
