#ifndef ROSEARCH_SCHED_CELL_CONFIGURATION_H_
#define ROSEARCH_SCHED_CELL_CONFIGURATION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "rosearch/core/time.h"
#include "rosearch/sched/customer_rules.h"

namespace rosearch::sched {

/// Cost of an advice query: the answer takes `base`, plus `per_worker` for each worker named.
struct advice_cost {
  duration base{};
  duration per_worker{};
  duration ticket_life{};  ///< how long the tickets of an answer are valid

  friend bool operator==(const advice_cost&, const advice_cost&) = default;
};

/// The operator's rules for one job queue.
struct queue_rules {
  std::string name;           ///< display name; may change, since `Key` identifies the queue
  std::string host;           ///< callers' Host header, in lower case
  std::string path_prefix;    ///< prefix of callers' paths; the longest match wins
  std::string pool;           ///< pool whose workers run its tasks
  std::uint32_t priority{0};  ///< 0 is the highest
  std::uint32_t max_attempts{1};
  double stretch{1};                    ///< objective: estimate of the critical path times this,
  duration latency_target{};            ///< plus this
  std::optional<advice_cost> advice{};  ///< set: only advised workers may run its steps
  bool requires_key{false};             ///< callers must show a key of a customer

  /// @return the identity of the queue: host and path prefix.
  [[nodiscard]] std::string Key() const { return host + path_prefix; }

  friend bool operator==(const queue_rules&, const queue_rules&) = default;
};

/// The operator's rules for one worker pool.
struct pool_rules {
  std::string name;
  bool guards_capacity{false};  ///< its workers refuse tasks that exceed their capacity
  bool standby{false};          ///< its machines are powered off

  friend bool operator==(const pool_rules&, const pool_rules&) = default;
};

/// Limits that protect the process from slow or broken callers.
struct client_limits {
  std::uint32_t max_header_bytes{16U << 10U};
  std::uint32_t max_body_bytes{256U << 10U};
  duration header_timeout{std::chrono::seconds{3}};
  duration idle_timeout{std::chrono::seconds{15}};

  friend bool operator==(const client_limits&, const client_limits&) = default;
};

/// One version of the operator's configuration.
struct cell_configuration {
  std::uint64_t version{0};  ///< 0: none yet
  std::vector<queue_rules> queues;
  std::vector<pool_rules> pools;
  client_limits limits;
  std::vector<customer_rules> customers;
  customer_keys keys;  ///< of `customers`

  /// @return the queue that matches a caller's host and path; null if there is none.
  [[nodiscard]] const queue_rules* Match(std::string_view host, std::string_view path) const;

  /// @return the queue with that `queue_rules::Key`; null if there is none.
  [[nodiscard]] const queue_rules* Find(std::string_view key) const;

  friend bool operator==(const cell_configuration&, const cell_configuration&) = default;
};

}  // namespace rosearch::sched

#endif  // ROSEARCH_SCHED_CELL_CONFIGURATION_H_
