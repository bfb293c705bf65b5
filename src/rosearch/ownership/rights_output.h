#ifndef ROSEARCH_OWNERSHIP_RIGHTS_OUTPUT_H_
#define ROSEARCH_OWNERSHIP_RIGHTS_OUTPUT_H_

#include <string_view>
#include <vector>

#include "rosearch/core/id.h"
#include "rosearch/ownership/assignment.h"
#include "rosearch/ownership/party.h"
#include "rosearch/wire/pair.pb.h"

namespace rosearch {

/// How this process came to the right to act.
enum class right_change {
  kClaimed,      ///< by its own claim, with all consents
  kTakenOver,    ///< as the witness, the owner's right having lapsed
  kTransferred,  ///< the former holder gave it up to this process
  kActivated,    ///< the witness's first renewal after own right; nobody acted in between
  kResumed,      ///< it lapsed and came back: recover as after a takeover
  kLost,         ///< it lapsed or was given up
};

/// @return the word for a change in logs and dumps.
[[nodiscard]] constexpr std::string_view RightChangeName(right_change change) noexcept {
  constexpr std::string_view kNames[]{"claimed",   "taken_over", "transferred",
                                      "activated", "resumed",    "lost"};
  return kNames[static_cast<int>(change)];
}

/// One change of the right to act, in the order in which they happened.
struct right_event {
  right_change change{};
  epoch_number epoch{};
  /// The epoch whose witness this process was, where nobody acted after that owner: its copy of
  /// that epoch is whole. Zero where there is none.
  epoch_number copied_epoch{};

  friend bool operator==(const right_event&, const right_event&) = default;
};

/// A ruling that this process gave as arbiter, or received as owner or witness.
struct right_ruling {
  wire::ruling ruling{};
  epoch_number epoch{};
  bool as_arbiter{};

  friend bool operator==(const right_ruling&, const right_ruling&) = default;
};

/// A message for the process that runs `to`.
struct pair_envelope {
  party to;
  wire::pair_message message;
};

/// What one input leads to. The caller sends, appends and reports it, and clears it.
struct rights_output {
  std::vector<pair_envelope> messages;
  std::vector<assignment> appends;  ///< to the control stream
  std::vector<right_event> events;
  std::vector<right_ruling> rulings;  ///< new to this process
};

}  // namespace rosearch

#endif  // ROSEARCH_OWNERSHIP_RIGHTS_OUTPUT_H_
