#ifndef ROSEARCH_SCHED_ORDER_H_
#define ROSEARCH_SCHED_ORDER_H_

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "rosearch/core/time.h"
#include "rosearch/sched/cell_configuration.h"
#include "rosearch/sched/job_spec.h"

namespace rosearch::sched {

/// Order to start a run at a worker.
struct start_order {
  std::string worker;
  std::string address;
  std::string task;
  std::uint32_t run{0};
  std::shared_ptr<const job_spec> job;
  std::string checkpoint;  ///< checkpoint to resume from; empty: start from the beginning
  std::string ticket;      ///< proof of the advice that allows it; empty: none needed
  std::int64_t born{0};    ///< incarnation that it is sent to; see `worker_facts::born`
  time_point lease_end{};  ///< of the lease that it grants, by the leader's clock

  friend bool operator==(const start_order&, const start_order&) = default;
};

/// Order to stop a run at a worker. A start of that run which arrives later is refused.
struct stop_order {
  std::string worker;
  std::string address;
  std::string task;
  std::uint32_t run{0};
  std::int64_t born{0};  ///< incarnation that it is sent to; see `worker_facts::born`

  friend bool operator==(const stop_order&, const stop_order&) = default;
};

/// Order to limit a run to a percentage of its speed.
struct pace_order {
  std::string worker;
  std::string address;
  std::string task;
  std::uint32_t run{0};
  std::uint32_t percent{100};

  friend bool operator==(const pace_order&, const pace_order&) = default;
};

/// Query to the advice service: which of these workers may run a step.
struct advice_query {
  std::string step;  ///< JOB.OCCURRENCE.STEP
  std::vector<std::string> workers;
  advice_cost cost;
  std::uint32_t priority{0};
  time_point asked_at{};  ///< when the scheduler decided to send it

  friend bool operator==(const advice_query&, const advice_query&) = default;
};

/// @return how long the advice service takes to answer a query.
[[nodiscard]] inline duration QueryCost(const advice_query& query) {
  return query.cost.base + query.cost.per_worker * static_cast<int>(query.workers.size());
}

/// Beyond its expected duration, the answer to a query is waited for this long. An advice service
/// that is slow for a while, or that takes several processes for one caller, still answers in this
/// time; given up earlier, its answers would be lost and its queries repeated for nothing.
inline constexpr duration kMaxAdviceDelay = std::chrono::milliseconds{8'000};

/// Base cost above which queries are long. Lies between those of urgent work (40 ms) and of long
/// work (150 ms and more).
inline constexpr duration kLongQueryCost = std::chrono::milliseconds{100};

/// @return whether queries of this cost hold up a process for so long that they need a share of the
///         processes of their own.
[[nodiscard]] inline bool IsLongQuery(const advice_cost& cost) {
  return cost.base > kLongQueryCost;
}

using order = std::variant<start_order, stop_order, pace_order, advice_query>;

/// A worker that may run a step, and the ticket that a start order must carry as proof.
struct advised_worker {
  std::string worker;
  std::string ticket;

  friend bool operator==(const advised_worker&, const advised_worker&) = default;
};

}  // namespace rosearch::sched

#endif  // ROSEARCH_SCHED_ORDER_H_
