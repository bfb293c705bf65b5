#ifndef ROSEARCH_CELL_SHED_OFFER_H_
#define ROSEARCH_CELL_SHED_OFFER_H_

#include <cstdint>
#include <memory>
#include <string>

#include "rosearch/core/time.h"

namespace rosearch::cell {

/// A window of closed queues as it is appended to serialized ping replies.
struct shed_offer {
  std::uint64_t version{0};  ///< 0: none
  time_point send_until{};   ///< reading of `SuspendAwareNow`
  std::string window{};
  /// For pings that don't name this version; not null if there is a version.
  std::shared_ptr<const std::string> filter{};
};

}  // namespace rosearch::cell

#endif  // ROSEARCH_CELL_SHED_OFFER_H_
