#ifndef ROSEARCH_SCHED_MECHANISM_H_
#define ROSEARCH_SCHED_MECHANISM_H_

#include <bitset>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace rosearch::sched {

/// A mechanism that can be switched off, so that what it is worth can be measured.
enum class mechanism : std::uint8_t {
  kAdmission,      ///< jobs that can't be done in time are refused
  kReserve,        ///< a share of each worker is kept for urgent work
  kPreemption,     ///< urgent work stops what checkpoints
  kPacking,        ///< long work fills workers up, urgent work spreads
  kHealth,         ///< workers that fail or hang are left alone
  kAdviceAhead,    ///< workers without room are asked about, too
  kReservation,    ///< a step that waits long reserves workers that it may run on
  kRescue,         ///< runs far slower than their siblings are moved
  kSpeeds,         ///< quick work prefers workers that are fast, long work the others
  kHopelessLast,   ///< jobs that are far too late go behind all others
  kAdviceByAll,    ///< all processes ask for advice, not the leader alone
  kBatchesBeside,  ///< batches go to the store beside one another
  kSecondWay,      ///< what can't be reached directly is reached by way of a peer
  kEarlyElection,  ///< a leader is suspected once its connection breaks
  kRelays,         ///< peers make a large cell's exchanges with workers
};

inline constexpr std::size_t kMechanisms = 15;

/// Mechanisms that are switched off.
class mechanism_set {
 public:
  void Add(mechanism which) { bits_.set(static_cast<std::size_t>(which)); }
  [[nodiscard]] bool Has(mechanism which) const {
    return bits_.test(static_cast<std::size_t>(which));
  }

  friend bool operator==(const mechanism_set&, const mechanism_set&) = default;

 private:
  std::bitset<kMechanisms> bits_;
};

/// @return the mechanism that settings call so; nothing where there is none.
[[nodiscard]] std::optional<mechanism> MechanismNamed(std::string_view name);

}  // namespace rosearch::sched

#endif  // ROSEARCH_SCHED_MECHANISM_H_
