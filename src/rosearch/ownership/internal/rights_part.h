#ifndef ROSEARCH_OWNERSHIP_INTERNAL_RIGHTS_PART_H_
#define ROSEARCH_OWNERSHIP_INTERNAL_RIGHTS_PART_H_

#include <cstdint>
#include <map>
#include <string_view>

#include "rosearch/core/time.h"
#include "rosearch/ownership/assignment.h"
#include "rosearch/wire/pair.pb.h"

namespace rosearch::internal {

enum class rights_stage {
  kClaiming,  // owner: waits for consents
  kOwn,       // owner: acts by its own right
  kGranted,   // owner: acts only while the witness renews
  kIdle,      // witness: never activated
  kRenewing,  // witness: activated
  kActing,    // witness: took over
  kStopped,   // never acts at this epoch again
};

[[nodiscard]] constexpr std::string_view StageName(rights_stage stage) noexcept {
  constexpr std::string_view kNames[]{"claiming", "own",    "granted", "idle",
                                      "renewing", "acting", "stopped"};
  return kNames[static_cast<int>(stage)];
}

// What this process is at one epoch of the shard.
struct rights_part {
  assignment what;
  bool is_owner{};
  rights_stage stage{};
  bool resigned{};       // the witness resigned, seen from either side
  bool handed_over{};    // owner: the right went to the witness; witness: received it
  bool may_take_over{};  // witness: the arbiter ruled so
  time_point granted_until{time_point::min()};
  time_point promise_until{time_point::min()};
  std::map<std::uint64_t, time_point> sent;  // renewals without an answer
};

// What a party said about itself when it consented to the claim that is pending.
struct rights_consent {
  epoch_number settled{};
  epoch_number activated{};
  epoch_number resigned{};
  epoch_number excluded{};
};

// Since when the VM list has not shown a party, and when the newest such list was asked for.
struct rights_absence {
  time_point since;
  time_point asked_at;
};

}  // namespace rosearch::internal

#endif  // ROSEARCH_OWNERSHIP_INTERNAL_RIGHTS_PART_H_
