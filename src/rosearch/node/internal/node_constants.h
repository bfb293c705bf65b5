#ifndef ROSEARCH_NODE_INTERNAL_NODE_CONSTANTS_H_
#define ROSEARCH_NODE_INTERNAL_NODE_CONSTANTS_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "rosearch/core/id.h"
#include "rosearch/core/time.h"
#include "rosearch/journal/record_id.h"

namespace rosearch {
namespace internal {

inline const journal::stream_id kControlStream{"control"};

inline journal::stream_id ShardStream(shard_number shard) {
  return journal::stream_id{"shard-" + std::to_string(shard)};
}

/// The log counts as up while the control stream was read so lately, besides the time that one read
/// may wait.
inline constexpr duration kLogUpFor = std::chrono::seconds{2};

/// A claim that has not led to a right by then is tried again.
inline constexpr duration kClaimAgain = std::chrono::seconds{5};

/// A shard that nobody says it serves for so long is claimed although its owner or witness lives: a
/// witness that was never activated can't take over, and a claimant may die before it acts. Longer
/// than a takeover takes, because a claim makes the witness give its copy of the state up.
inline constexpr duration kUnservedFor = std::chrono::seconds{8};

/// Between two looks at who may keep a shard's state: well below the time after which an entry
/// counts as silent.
inline constexpr duration kTellPeers = std::chrono::milliseconds{200};

/// A record that moves a shard is waited for so long, with calls sent elsewhere. After that the
/// owner takes calls again: the log is slow or down.
inline constexpr duration kTransferWait = std::chrono::seconds{2};

/// A cell that starts waits so long for its members to be heard before any of them claims.
inline constexpr duration kSettleFirst = std::chrono::milliseconds{1500};

/// An owner that stops waits so long for a witness to hand its shard to. Without one, the shard is
/// claimed through the log once this entry is gone.
inline constexpr duration kWaitForWitness = std::chrono::seconds{5};

/// A published version is on the way to a peer by the log for no longer than this.
inline constexpr duration kLogTells = std::chrono::seconds{2};

/// Until a peer that is still behind is sent the configuration again.
inline constexpr duration kOfferAgain = std::chrono::seconds{3};

/// Farewell messages are repeated so often: one that is lost costs its peers a lapse.
inline constexpr std::uint32_t kFarewells = 3;

}  // namespace internal

}  // namespace rosearch

#endif  // ROSEARCH_NODE_INTERNAL_NODE_CONSTANTS_H_
