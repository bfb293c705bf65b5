#ifndef ROSEARCH_DISPATCH_DISPATCH_SETTINGS_H_
#define ROSEARCH_DISPATCH_DISPATCH_SETTINGS_H_

#include <cstddef>
#include <cstdint>

#include "rosearch/core/time.h"
#include "rosearch/placement/vm_health.h"

namespace rosearch {

/// How requests wait and are tried again.
struct dispatch_settings {
  std::size_t queue_per_customer{512};  ///< more are refused at once
  std::uint32_t retry_percent{10};      ///< retries allowed for every hundred first tries
  std::uint32_t retry_reserve{3};       ///< retries allowed before there were first tries enough
  /// How long a slot stays taken after an attempt without an answer: the executor may still run it.
  duration linger{std::chrono::seconds{2}};
  /// What a request is taken to last until the first answers were timed.
  duration expected_service{std::chrono::milliseconds{20}};
  /// One kind is enough to suspect an executor: a service may have only one, and a kind that
  /// succeeds elsewhere is not at fault.
  vm_health_settings health{.least_jobs = 1};

  friend bool operator==(const dispatch_settings&, const dispatch_settings&) = default;
};

}  // namespace rosearch

#endif  // ROSEARCH_DISPATCH_DISPATCH_SETTINGS_H_
