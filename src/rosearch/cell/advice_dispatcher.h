#ifndef ROSEARCH_CELL_ADVICE_DISPATCHER_H_
#define ROSEARCH_CELL_ADVICE_DISPATCHER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
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
///
/// A helper sends its next query only when the one before has ended, however late: the service
/// works on a query that its caller has given up, too, so sending it again at once would fill the
/// service with work that nobody waits for. A query whose answer is late is sent a second time,
/// through a helper that answers in time if there is one (a hedged request).
class advice_dispatcher {
 public:
  /// A query and the helper that sends it.
  struct assignment {
    std::uint64_t number{0};  ///< of the query; both copies of a hedged one have the same
    std::string helper;
    sched::advice_query query;
    bool hedge{false};  ///< a second copy of a query whose answer is late

    friend bool operator==(const assignment&, const assignment&) = default;
  };

  /// Sets the addresses of the processes that may send queries; the first is this process.
  void SetHelpers(const std::vector<std::string>& helpers);

  /// Queues a query. It replaces a queued query of the same step and keeps that query's due time.
  /// While a query of the step is in flight, that one's answer serves the step.
  void Add(sched::advice_query query, time_point now);

  /// @return the next query that a free helper can send; empty if there is none.
  [[nodiscard]] std::optional<assignment> TakeNext(time_point now);

  /// Records the end of an assignment, and that its helper is free.
  /// @param answered  whether the service answered.
  /// @return whether this ends the query: it is the first answer, or the last copy without one.
  [[nodiscard]] bool OnEnd(const assignment& ended, bool answered, time_point now);

  /// @return how many more long queries could be sent at once.
  [[nodiscard]] std::size_t CountLongSlots(time_point now) const;

  /// @return the number of queued queries.
  [[nodiscard]] std::size_t CountQueued() const {
    return urgent_queries_.size() + long_queries_.size();
  }

  /// Delay of the due time per level of priority. Matches the duration of a long query, because a
  /// query in flight can hold up a more urgent one for that long anyway.
  static constexpr duration kDelayPerPriorityLevel = std::chrono::milliseconds{600};

  /// An answer that is later than this beyond the expected duration of its query is late.
  static constexpr duration kLateAfter = std::chrono::milliseconds{800};

  /// Grace period after the last moment at which an answer is waited for. A helper whose exchange
  /// has not ended by then counts as free again, so that a lost callback does not block it for
  /// good.
  static constexpr duration kEndGracePeriod = std::chrono::milliseconds{400};

  /// How long a helper that didn't answer in time is not used while others are; doubles each time,
  /// up to `kMaxSilentPause`.
  static constexpr duration kMinSilentPause = std::chrono::milliseconds{2'000};
  static constexpr duration kMaxSilentPause = std::chrono::milliseconds{16'000};

 private:
  struct helper {
    std::string address;
    time_point busy_until{};
    std::uint32_t late_answers{0};  ///< consecutive ones, or answers that didn't come
    time_point retry_at{};          ///< with late answers: not used before, while others are
  };
  struct queued_query {
    sched::advice_query query;
    time_point due{};
  };
  /// A query that was sent and has no answer yet.
  struct sent_query {
    sched::advice_query query;
    std::string helper;  ///< of its first copy
    time_point late_at{};
    time_point forget_at{};   ///< all its copies have ended by then
    std::uint32_t copies{1};  ///< in flight
    bool is_late{false};
    bool hedged{false};
  };
  using queue = std::deque<queued_query>;
  [[nodiscard]] static bool IsProven(const helper& each, time_point now) {
    return each.late_answers == 0 || now >= each.retry_at;
  }
  [[nodiscard]] helper* Find(const std::string& address);
  /// @return a free helper, preferably one that answers in time.
  [[nodiscard]] helper* FindFreeHelper(bool long_query, time_point now);
  /// @return the first helper that sends queries of this kind.
  [[nodiscard]] std::size_t FirstHelper(bool long_query) const;
  /// @return the number of helpers, first in the list, that send no long queries.
  [[nodiscard]] std::size_t CountUrgentOnlyHelpers() const;
  void MarkLate(const std::string& address, time_point now);
  void MarkLateQueries(time_point now);
  [[nodiscard]] std::optional<assignment> TakeHedge(time_point now);
  /// @return until when the helper is busy at most.
  static time_point Occupy(helper& by, const sched::advice_query& query, time_point now);

  std::vector<helper> helpers_;
  queue urgent_queries_;
  queue long_queries_;
  std::map<std::uint64_t, sent_query> sent_;  ///< by number
  std::uint64_t last_number_{0};
};

}  // namespace rosearch::cell

#endif  // ROSEARCH_CELL_ADVICE_DISPATCHER_H_
