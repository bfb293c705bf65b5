#ifndef ROSEARCH_SCHED_WATCH_REQUEST_H_
#define ROSEARCH_SCHED_WATCH_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string>

#include "rosearch/core/time.h"

namespace rosearch::sched {

/// Parameters of the next watch of a worker.
struct watch_request {
  std::string worker;
  std::string address;
  std::uint64_t acked_end{0};  ///< ends up to this number are stored; the worker may discard them
  duration wait{};  ///< how long the worker may delay its answer until a run ends (long polling)
  std::int64_t born{0};  ///< incarnation that it is sent to; see `worker_facts::born`
  /// The end of the lease that it grants, by the leader's clock; nothing: it grants none.
  std::optional<time_point> lease_end{};

  friend bool operator==(const watch_request&, const watch_request&) = default;
};

/// Why a watch returned no report.
enum class watch_failure : std::uint8_t {
  kNoAnswer,
  kOtherIncarnation,  ///< another incarnation of the worker answered
  kStaleFence,        ///< the worker has accepted a newer leader's fence
};

}  // namespace rosearch::sched

#endif  // ROSEARCH_SCHED_WATCH_REQUEST_H_
