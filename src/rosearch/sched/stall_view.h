#ifndef ROSEARCH_SCHED_STALL_VIEW_H_
#define ROSEARCH_SCHED_STALL_VIEW_H_

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "rosearch/core/time.h"

namespace rosearch::sched {

/// State of a step's advice.
enum class advice_phase : std::uint8_t {
  kNotNeeded,
  kInFlight,        ///< a query was sent and its answer isn't due yet
  kOverdue,         ///< the answer is overdue; the query counts as lost
  kNoProcess,       ///< no process is free to send a long query
  kBackingOff,      ///< the next query may not be sent yet
  kNothingPending,  ///< no query is in flight and nothing keeps the next one back
};

/// @return the name of a phase in log lines.
[[nodiscard]] constexpr std::string_view AdvicePhaseName(advice_phase phase) noexcept {
  constexpr std::string_view kNames[]{"not_needed", "in_flight",   "overdue",
                                      "no_process", "backing_off", "nothing_pending"};
  return kNames[static_cast<std::size_t>(phase)];
}

/// What keeps a step from starting although workers have free room for it. Counts workers with
/// room for at least one of its tasks that advice has not refused, each under every reason that
/// applies to it.
struct stall_view {
  std::size_t wanted{0};    ///< tasks that have to start together: all of a gang, otherwise one
  std::size_t places{0};    ///< tasks that fit into the free room
  std::size_t workers{0};   ///< workers with room
  std::size_t reserved{0};  ///< their room is reserved for other steps
  std::size_t urgent_reserve{0};  ///< their room is reserved for urgent work
  std::size_t quarantined{0};     ///< excluded for a time after failures, slow runs or refusals
  std::size_t not_ready{0};       ///< not yet recorded, or with runs of unknown size
  std::size_t not_advised{0};     ///< no advice about them yet
  std::size_t no_ticket{0};       ///< allowed, but the ticket has expired
  advice_phase advice{advice_phase::kNotNeeded};
  duration asked_ago{};  ///< time since the newest advice query; zero if there was none

  /// @return whether there is room for twice the tasks that have to start together.
  [[nodiscard]] bool HasAmpleRoom() const noexcept { return places >= 2 * wanted; }

  friend bool operator==(const stall_view&, const stall_view&) = default;
};

}  // namespace rosearch::sched

#endif  // ROSEARCH_SCHED_STALL_VIEW_H_
