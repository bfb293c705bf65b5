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

/// A worker's entry in the platform's registry.
struct worker_facts {
  std::string id;       ///< a restarted worker may keep its id; see `born`
  std::string address;  ///< host:port
  std::string pool;
  std::string failure_domain;
  std::string kind;  ///< workers of the same kind have similar speed
  std::string rack;
  std::vector<std::string> labels;  ///< all labels, including `kind` and `rack`
  resources capacity{};
  bool draining{false};      ///< it is leaving: nothing new may start there
  duration min_time_left{};  ///< while draining: min time until it leaves
  /// Start of the incarnation in Unix ms. A higher one is a restart under the same id. 0: not
  /// reported, so the id has a single incarnation.
  std::int64_t born{0};

  /// @return whether the worker has a label; true for the empty label.
  [[nodiscard]] bool HasLabel(const std::string& label) const {
    return label.empty() || std::ranges::find(labels, label) != labels.end();
  }

  friend bool operator==(const worker_facts&, const worker_facts&) = default;
};

/// How a run ended, as reported by the worker.
enum class end_kind : std::uint8_t {
  kDone,
  kFailed,           ///< through a fault of the task or of the worker
  kStopped,          ///< on the scheduler's order
  kLeaseExpired,     ///< the worker's lease expired
  kGangMemberEnded,  ///< another member of its gang ended
  kGangIncomplete,   ///< the other members of its gang didn't start
  kLost,  ///< concluded by the scheduler: the worker restarted, or its lease has certainly expired
};

/// An active run in a worker's report.
struct running_row {
  std::string task;
  std::uint32_t run{0};
  std::string checkpoint;    ///< newest checkpoint; empty: none
  std::uint32_t percent{0};  ///< progress; of a service 100 once it serves
  /// Service: tail response time in ms; other runs: processors, in thousandths.
  std::uint32_t load{0};

  friend bool operator==(const running_row&, const running_row&) = default;
};

/// An ended run in a worker's report whose end hasn't been acknowledged yet.
struct ended_row {
  std::uint64_t number{0};  ///< counts the ends of one worker incarnation, from 1
  std::string task;
  std::uint32_t run{0};
  end_kind how{end_kind::kLost};
  std::string checkpoint;

  friend bool operator==(const ended_row&, const ended_row&) = default;
};

/// A worker's answer to a watch: all active runs, and all unacknowledged ends in order.
struct worker_report {
  std::vector<running_row> running;
  std::vector<ended_row> ended;
  std::int64_t born{0};  ///< see `worker_facts::born`
  bool whole{true};      ///< every row could be read; if not, the report can't be relied on

  friend bool operator==(const worker_report&, const worker_report&) = default;
};

/// Result of a start order.
enum class start_outcome : std::uint8_t {
  kStarted,           ///< it runs, or had already been started
  kNotSent,           ///< certainly never reached the worker
  kNoRoom,            ///< refused: would exceed the worker's capacity
  kBadTicket,         ///< refused: the ticket has expired or isn't valid
  kStaleFence,        ///< refused: the worker has accepted a newer leader's fence
  kStaleRun,          ///< refused: the worker has seen that run or a newer one
  kTooLate,           ///< refused: the lease in the order had expired on arrival
  kUnhealthy,         ///< refused: the worker reports bad health
  kRejected,          ///< refused permanently
  kOtherIncarnation,  ///< another incarnation of the worker answered: the addressed one is gone
  kUnknown,           ///< no answer: it may be running, or start seconds later
};

}  // namespace rosearch::sched

#endif  // ROSEARCH_SCHED_WORKER_FACTS_H_
