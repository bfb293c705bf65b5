#ifndef ROSEARCH_SCHED_STEP_ADVICE_H_
#define ROSEARCH_SCHED_STEP_ADVICE_H_

#include <algorithm>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

#include "rosearch/core/time.h"

namespace rosearch::sched {

struct worker_state;

/// The advice received for one step: which workers may run it, which must not, and the state of the
/// query in flight. Whether a worker may run the step doesn't change during the step's lifetime;
/// only the tickets that prove it expire.
class step_advice {
 public:
  /// A worker that may run the step, and the ticket that a start order must carry as proof.
  struct allowance {
    worker_state* worker{nullptr};
    std::string ticket;
    time_point expires{};
  };

  /// Records that a worker may run the step, or replaces its ticket.
  void Allow(worker_state* worker, std::string ticket, time_point expires) {
    if (auto* const known = Find(worker)) {
      known->ticket = std::move(ticket);
      known->expires = expires;
    } else {
      allowed_.push_back({worker, std::move(ticket), expires});
    }
  }
  /// Records that a worker must not run the step.
  void Refuse(const std::string& worker) { refused_.insert(worker); }

  /// @return the allowance of a worker, whose ticket may have expired; null if it has none.
  [[nodiscard]] allowance* Find(const worker_state* worker) {
    const auto found = std::ranges::find(allowed_, worker, &allowance::worker);
    return found == allowed_.end() ? nullptr : &*found;
  }
  [[nodiscard]] const allowance* Find(const worker_state* worker) const {
    const auto found = std::ranges::find(allowed_, worker, &allowance::worker);
    return found == allowed_.end() ? nullptr : &*found;
  }
  [[nodiscard]] const std::vector<allowance>& Allowed() const { return allowed_; }
  [[nodiscard]] bool Refused(const std::string& worker) const { return refused_.contains(worker); }

  /// Removes a worker's allowance or refusal, which don't hold for a later incarnation.
  void ForgetWorker(const worker_state* worker, const std::string& id) {
    RemoveWorker(worker);
    refused_.erase(id);
  }
  /// Removes the allowance of a worker; call before the worker is destroyed.
  void RemoveWorker(const worker_state* worker) {
    std::erase_if(allowed_, [&](const auto& each) { return each.worker == worker; });
  }

  /// Records that a query was sent.
  /// @param by  deadline of the answer; after it the query counts as lost.
  void RecordQuery(time_point now, time_point by) {
    query_sent_at_ = now;
    answer_deadline_ = by;
  }
  /// Records that the query was answered or has been given up.
  void EndQuery() { answer_deadline_ = time_point{}; }
  /// @return whether a query is in flight and its deadline has not passed.
  [[nodiscard]] bool HasPendingQuery(time_point now) const { return now < answer_deadline_; }
  /// @return whether the deadline of an unanswered query has passed.
  [[nodiscard]] bool IsQueryOverdue(time_point now) const {
    return answer_deadline_ != time_point{} && now >= answer_deadline_;
  }
  /// @return the deadline of the unanswered query; zero if there is none.
  [[nodiscard]] time_point answer_deadline() const { return answer_deadline_; }
  /// @return when the newest query was sent.
  [[nodiscard]] time_point query_sent_at() const { return query_sent_at_; }

  /// Records that the step started a run, so that its last answer was of use.
  void RecordUse() { unused_answer_ = false; }
  void RecordAnswer() { unused_answer_ = true; }
  /// @return whether nothing has started since the last answer.
  [[nodiscard]] bool HasUnusedAnswer() const { return unused_answer_; }

  time_point next_query_at{};  ///< earliest time of the next query

 private:
  time_point query_sent_at_{};
  time_point answer_deadline_{};  ///< zero: no unanswered query
  bool unused_answer_{false};
  std::vector<allowance> allowed_;
  std::unordered_set<std::string> refused_;
};

}  // namespace rosearch::sched

#endif  // ROSEARCH_SCHED_STEP_ADVICE_H_
