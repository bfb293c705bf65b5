#ifndef ROSEARCH_CAPACITY_PLACEMENT_RECORD_H_
#define ROSEARCH_CAPACITY_PLACEMENT_RECORD_H_

#include <cstdint>
#include <limits>
#include <optional>

#include "rosearch/core/id.h"
#include "rosearch/core/time.h"
#include "rosearch/wire/record.pb.h"

namespace rosearch {

/// The home shard of a task that was found on a worker and that no home shard has asked for yet.
inline constexpr shard_number kUnknownHome = std::numeric_limits<shard_number>::max();

/// How far a placement has come.
enum class placement_phase {
  kJournaling,  ///< its record isn't durable yet: no start was sent
  kStarting,    ///< durable; a start is queued or was sent
  kRunning,     ///< the worker reported it running
};

/// Why a placement is being stopped.
enum class stop_cause {
  kNone,
  kCancelled,  ///< the home shard asked for it
  kPreempted,  ///< urgent work needs the room
  kDrained,    ///< its VM is leaving
};

/// One attempt whose resources are committed on a VM.
struct placement_record {
  wire::placement_made made;
  placement_phase phase{placement_phase::kJournaling};
  bool home_known{true};     ///< false: found on a worker, its home shard has not asked yet
  bool journaled{false};     ///< a `placement_made` was written, durable or not
  bool rated{false};         ///< counted by `vm_health`
  bool start_queued{false};  ///< durable, and waiting for the next exchange
  /// The last moment at which a start may have been written; none: certainly not sent.
  std::optional<time_point> start_sent;
  stop_cause stopping{stop_cause::kNone};
  time_point stop_at{kNever};  ///< a checkpoint becomes a stop
  std::uint32_t peak_memory_mb{};
  std::uint32_t peak_processors_milli{};
};

}  // namespace rosearch

#endif  // ROSEARCH_CAPACITY_PLACEMENT_RECORD_H_
