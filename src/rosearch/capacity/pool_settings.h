#ifndef ROSEARCH_CAPACITY_POOL_SETTINGS_H_
#define ROSEARCH_CAPACITY_POOL_SETTINGS_H_

#include <chrono>

#include "rosearch/core/time.h"
#include "rosearch/placement/vm_health.h"

namespace rosearch {

/// The times by which a `vm_pool` works.
struct pool_settings {
  duration lease{std::chrono::seconds{20}};          ///< a task lives so long without renewal
  duration renew_interval{std::chrono::seconds{5}};  ///< one renewal of each worker
  duration transit{std::chrono::seconds{2}};         ///< a written command arrives by then or never
  double drift{0.01};                                ///< a worker's clock is at most so much slower
  /// Between exchanges while a stop or a start is awaited: from `first_poll` growing to `poll`.
  duration first_poll{std::chrono::milliseconds{100}};
  duration poll{std::chrono::seconds{1}};
  /// What an exchange that finds an end is worth, in seconds of one idle place.
  double look_worth{0.2};
  /// On average at most one exchange of a VM in so long only to find ends.
  duration look_every{std::chrono::milliseconds{500}};
  duration report_retry{std::chrono::seconds{1}};      ///< from a failed exchange to the next
  duration renew_limit{std::chrono::seconds{10}};      ///< no renewal after failing for so long
  duration event_retry{std::chrono::seconds{1}};       ///< until a final event is sent again
  duration remember{std::chrono::minutes{2}};          ///< an acknowledged end is kept so long
  duration checkpoint_limit{std::chrono::seconds{2}};  ///< from a checkpoint command to a stop
  duration urgent_limit{std::chrono::seconds{5}};  ///< urgent work waits so long for preempted room
  duration long_running{std::chrono::minutes{1}};  ///< declared longer: moved off a leaving VM
  /// After records were lost, home shards have asked by then for all that they still wait for.
  duration proof_span{std::chrono::minutes{10}};
  vm_health_settings health;

  friend bool operator==(const pool_settings&, const pool_settings&) = default;
};

/// @return how long after a command was written a lease that it granted may still hold.
[[nodiscard]] inline duration LeaseSpan(const pool_settings& settings) {
  const auto lease = static_cast<double>(settings.lease.count()) * (1 + settings.drift);
  return settings.transit + duration{static_cast<duration::rep>(lease) + 1};
}

}  // namespace rosearch

#endif  // ROSEARCH_CAPACITY_POOL_SETTINGS_H_
