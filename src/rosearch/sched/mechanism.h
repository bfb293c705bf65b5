#ifndef ROSEARCH_SCHED_MECHANISM_H_
#define ROSEARCH_SCHED_MECHANISM_H_

#include <bitset>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace rosearch::sched {

/// A mechanism that can be disabled to measure its effect.
enum class mechanism : std::uint8_t {
  kAdmission,          ///< refuses jobs that can't meet their objective
  kReserve,            ///< reserves a share of each worker for urgent work
  kPreemption,         ///< urgent work preempts runs that checkpoint
  kPacking,            ///< packs long work tightly and spreads urgent work
  kHealth,             ///< quarantines workers whose runs fail or hang
  kAdviceAhead,        ///< requests advice about workers without room as well
  kReservation,        ///< steps that wait long reserve workers
  kRescue,             ///< moves runs that are far slower than their siblings
  kSpeeds,             ///< places short work on fast workers, long work on the others
  kHopelessLast,       ///< serves jobs that are far past their objective last
  kAdviceByAll,        ///< all processes send advice queries, not only the leader
  kConcurrentBatches,  ///< writes batches to the store concurrently
  kAlternateRoute,     ///< reaches unreachable destinations through a peer
  kEarlyElection,      ///< suspects the leader as soon as its connection breaks
  kRelays,             ///< peers handle the worker traffic of a large cell
  kAdviceSlots,        ///< chooses the workers of a long advice query when a process can send it
  kRateOrder,          ///< serves jobs within their customer's rate before others
  kEstimates,          ///< predicts run times from declared estimates and ended runs
  kStarvation,         ///< opens room that is otherwise kept back to starved steps
};

inline constexpr std::size_t kMechanismCount = 19;

/// A set of mechanisms.
class mechanism_set {
 public:
  void Add(mechanism which) { bits_.set(static_cast<std::size_t>(which)); }
  [[nodiscard]] bool Has(mechanism which) const {
    return bits_.test(static_cast<std::size_t>(which));
  }

  friend bool operator==(const mechanism_set&, const mechanism_set&) = default;

 private:
  std::bitset<kMechanismCount> bits_;
};

/// @return the mechanism with that name in the settings; nothing if there is none.
[[nodiscard]] std::optional<mechanism> FindMechanism(std::string_view name);

}  // namespace rosearch::sched

#endif  // ROSEARCH_SCHED_MECHANISM_H_
