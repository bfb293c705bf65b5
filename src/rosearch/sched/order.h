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

/// Start one run at a worker.
struct start_order {
  std::string worker;
  std::string address;
  std::string task;
  std::uint32_t run{0};
  std::shared_ptr<const job_spec> job;
  std::string checkpoint;  ///< resume from here; empty: from the beginning
  std::string ticket;      ///< proves the advice that allows it; empty: none needed

  friend bool operator==(const start_order&, const start_order&) = default;
};

/// Stop one run at a worker; also makes sure that it can't begin there later.
struct stop_order {
  std::string worker;
  std::string address;
  std::string task;
  std::uint32_t run{0};

  friend bool operator==(const stop_order&, const stop_order&) = default;
};

/// Let a run work at a share of its speed.
struct pace_order {
  std::string worker;
  std::string address;
  std::string task;
  std::uint32_t run{0};
  std::uint32_t percent{100};

  friend bool operator==(const pace_order&, const pace_order&) = default;
};

/// Ask which of these workers may run a step.
struct advice_query {
  std::string step;  ///< JOB.OCCURRENCE.STEP
  std::vector<std::string> workers;
  advice_cost cost;
  std::uint32_t priority{0};

  friend bool operator==(const advice_query&, const advice_query&) = default;
};

/// @return how long the advice service works at a question.
[[nodiscard]] inline duration CostOf(const advice_query& query) {
  return query.cost.base + query.cost.per_worker * static_cast<int>(query.workers.size());
}

using order = std::variant<start_order, stop_order, pace_order, advice_query>;

/// A worker that may run a step, with the proof that the worker wants to see.
struct advised_worker {
  std::string worker;
  std::string ticket;

  friend bool operator==(const advised_worker&, const advised_worker&) = default;
};

}  // namespace rosearch::sched

#endif  // ROSEARCH_SCHED_ORDER_H_
