#ifndef ROSEARCH_DISPATCH_QUEUED_REQUEST_H_
#define ROSEARCH_DISPATCH_QUEUED_REQUEST_H_

#include <cstdint>
#include <string>

#include "rosearch/core/id.h"
#include "rosearch/core/time.h"

namespace rosearch {

/// A request that waits for a slot.
struct queued_request {
  std::uint64_t ticket{};  ///< unique within the shard as long as the request lives
  customer_id customer;
  std::string kind;          ///< requests of one kind fail alike where the fault is their own
  std::uint32_t priority{};  ///< a larger number goes first among those of one customer
  time_point deadline;       ///< must have started by then
  bool idempotent{};
  std::uint32_t retries{};  ///< at most so many tries after the first

  friend bool operator==(const queued_request&, const queued_request&) = default;
};

}  // namespace rosearch

#endif  // ROSEARCH_DISPATCH_QUEUED_REQUEST_H_
