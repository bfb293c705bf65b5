#ifndef ROSEARCH_CELL_ADVICE_DISPATCHER_H_
#define ROSEARCH_CELL_ADVICE_DISPATCHER_H_

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "rosearch/core/time.h"
#include "rosearch/sched/order.h"

namespace rosearch::cell {

/// Distributes advice queries over the processes of the cell.
///
/// The advice service answers one query at a time per calling process. A query for long work takes
/// half a second, one for urgent work 25 ms. Through a single process, 30 steps per second would
/// queue for more than a second. Every process of the cell therefore serves as a helper that sends
/// queries, and a share of the helpers never sends long queries, so that urgent queries never
/// suffer head-of-line blocking by long ones.
///
/// Urgent queries are sent before long ones, and within each kind in the order of their due time:
/// the time of arrival plus a delay per level of priority. Strict priority order starves the lowest
/// priority, because steps query again each time their tickets expire: in one day, 130 queries
/// waited for 30 s and more.
class advice_dispatcher {
 public:
  /// A query and the helper that sends it.
  struct assignment {
    std::string helper;
    sched::advice_query query;

    friend bool operator==(const assignment&, const assignment&) = default;
  };

  /// Sets the addresses of the processes that may send queries; the first is this process.
  void SetHelpers(const std::vector<std::string>& helpers);

  /// Queues a query. It replaces a queued query of the same step and keeps that query's due time.
  void Add(sched::advice_query query, time_point now);

  /// @return the next query that a free helper can send; empty if there is none.
  [[nodiscard]] std::optional<assignment> TakeNext(time_point now);

  /// Marks a helper as free after its query was answered or timed out.
  void ReleaseHelper(const std::string& helper);

  /// @return how many more long queries could be sent at once.
  [[nodiscard]] std::size_t CountLongSlots(time_point now) const;

  /// @return the number of queued queries.
  [[nodiscard]] std::size_t CountQueued() const {
    return urgent_queries_.size() + long_queries_.size();
  }

  /// Delay of the due time per level of priority. Matches the duration of a long query, because a
  /// query in flight can hold up a more urgent one for that long anyway.
  static constexpr duration kDelayPerPriorityLevel = std::chrono::milliseconds{600};

  /// Grace period after the expected duration of a query. A helper that has not answered by then
  /// counts as free again, so that a lost answer does not block it for good. Longer than the
  /// timeout of the exchange itself, 0.84 s.
  static constexpr duration kAnswerGracePeriod = std::chrono::milliseconds{1'200};

 private:
  struct helper {
    std::string address;
    time_point busy_until{};
  };
  struct queued_query {
    sched::advice_query query;
    time_point due{};
  };
  using queue = std::deque<queued_query>;
  [[nodiscard]] helper* FindFreeHelper(bool long_query, time_point now);
  /// @return the number of helpers, first in the list, that send no long queries.
  [[nodiscard]] std::size_t CountUrgentOnlyHelpers() const;

  std::vector<helper> helpers_;
  queue urgent_queries_;
  queue long_queries_;
};

}  // namespace rosearch::cell

#endif  // ROSEARCH_CELL_ADVICE_DISPATCHER_H_
