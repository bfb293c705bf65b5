#ifndef ROSEARCH_SCHED_ADVICE_BOOK_H_
#define ROSEARCH_SCHED_ADVICE_BOOK_H_

#include <algorithm>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

#include "rosearch/core/time.h"

namespace rosearch::sched {

struct worker_state;

/// What is known of the workers that may run one step. Which workers may doesn't change while the
/// step lives; only the tickets that prove it expire.
class advice_book {
 public:
  /// A worker that may run the step, and the proof that it wants to see.
  struct allowance {
    worker_state* worker{nullptr};
    std::string ticket;
    time_point expires{};
  };

  /// Takes in that a worker may run the step.
  void Allow(worker_state* worker, std::string ticket, time_point expires) {
    if (auto* const known = Find(worker)) {
      known->ticket = std::move(ticket);
      known->expires = expires;
    } else {
      allowed_.push_back({worker, std::move(ticket), expires});
    }
  }
  /// Takes in that a worker must not run the step.
  void Refuse(const std::string& worker) { refused_.insert(worker); }

  /// @return what allows a worker; null where nothing does. Its ticket may have expired.
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

  /// Forgets a worker that is gone.
  void Drop(const worker_state* worker) {
    std::erase_if(allowed_, [&](const auto& each) { return each.worker == worker; });
  }

  /// Takes in that a question was asked.
  /// @param by  when its answer must be there; after that it is taken for lost.
  void Ask(time_point now, time_point by) {
    asked_at_ = now;
    answer_by_ = by;
  }
  /// Takes in that a question was answered, or never will be.
  void Answered() { answer_by_ = time_point{}; }
  /// @return whether the answer to a question may still come.
  [[nodiscard]] bool Asking(time_point now) const { return now < answer_by_; }
  /// @return whether a question is past the moment by which its answer had to be there.
  [[nodiscard]] bool Overdue(time_point now) const {
    return answer_by_ != time_point{} && now >= answer_by_;
  }
  /// @return when a question under way is taken for lost; zero where none is.
  [[nodiscard]] time_point answer_by() const { return answer_by_; }
  /// @return when the newest question was asked.
  [[nodiscard]] time_point asked_at() const { return asked_at_; }

  time_point ask_again_at{};  ///< no further question before

 private:
  time_point asked_at_{};
  time_point answer_by_{};  ///< zero: nothing is asked
  std::vector<allowance> allowed_;
  std::unordered_set<std::string> refused_;
};

}  // namespace rosearch::sched

#endif  // ROSEARCH_SCHED_ADVICE_BOOK_H_
