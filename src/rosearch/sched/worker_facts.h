#ifndef ROSEARCH_SCHED_WORKER_FACTS_H_
#define ROSEARCH_SCHED_WORKER_FACTS_H_

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "rosearch/core/resources.h"
#include "rosearch/core/time.h"

namespace rosearch::sched {

/// What a worker says of itself in the platform's registry.
struct worker_facts {
  std::string id;       ///< names one life of a worker; a restarted one has another
  std::string address;  ///< host:port
  std::string pool;
  std::string failure_domain;
  std::string kind;  ///< workers of one kind are about equally fast
  std::string rack;
  std::vector<std::string> labels;  ///< all, `kind` and `rack` among them
  resources capacity{};
  bool draining{false};        ///< it leaves: nothing new may start there
  duration least_time_left{};  ///< while draining: it stays at least so long

  /// @return whether it carries a label; the empty one is carried by all.
  [[nodiscard]] bool HasLabel(const std::string& label) const {
    return label.empty() || std::ranges::find(labels, label) != labels.end();
  }

  friend bool operator==(const worker_facts&, const worker_facts&) = default;
};

/// How a run ended, in the worker's own words.
enum class end_kind : std::uint8_t {
  kDone,
  kFailed,   ///< by its own fault or the worker's
  kStopped,  ///< on our order
  kLapsed,   ///< the worker's lease ran out
  kBroken,   ///< another member of its gang ended
  kAlone,    ///< the other members of its gang didn't come
  kLost,     ///< concluded by us: the worker's life is over, or its lease certainly lapsed
};

/// A run that is under way at a worker.
struct running_row {
  std::string task;
  std::uint32_t run{0};
  std::string checkpoint;    ///< newest; empty: none
  std::uint32_t percent{0};  ///< of its work done; of a service 100 once it serves
  std::uint32_t load{
      0};  ///< service: tail of response times in ms; else thousandths of a processor

  friend bool operator==(const running_row&, const running_row&) = default;
};

/// A run that ended at a worker and whose end we haven't acknowledged there.
struct ended_row {
  std::uint64_t number{0};  ///< rises with each end in one life of the worker, from 1
  std::string task;
  std::uint32_t run{0};
  end_kind how{end_kind::kLost};
  std::string checkpoint;

  friend bool operator==(const ended_row&, const ended_row&) = default;
};

/// A worker's answer to a watch: all that runs, and ends from the first unacknowledged one on.
struct worker_report {
  std::vector<running_row> running;
  std::vector<ended_row> ended;

  friend bool operator==(const worker_report&, const worker_report&) = default;
};

/// How an order to start a run was answered.
enum class start_outcome : std::uint8_t {
  kStarted,     ///< it runs, or ran already
  kNotSent,     ///< certainly never reached the worker
  kNoRoom,      ///< refused: would exceed the worker's capacity
  kBadTicket,   ///< refused: the advice has expired or doesn't hold
  kStaleFence,  ///< refused: the worker obeys a newer leader
  kStaleRun,    ///< refused: that run or a newer one was there before
  kTooLate,     ///< refused: the lease offered was over on arrival
  kUnhealthy,   ///< refused: the worker is unwell
  kRejected,    ///< refused for good
  kOtherLife,   ///< another life of the worker answered: the one meant is over
  kUnknown,     ///< no answer: it may run, now or seconds later
};

}  // namespace rosearch::sched

#endif  // ROSEARCH_SCHED_WORKER_FACTS_H_
