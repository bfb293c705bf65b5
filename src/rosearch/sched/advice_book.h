#ifndef ROSEARCH_SCHED_ADVICE_BOOK_H_
#define ROSEARCH_SCHED_ADVICE_BOOK_H_

#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "rosearch/core/time.h"
#include "rosearch/sched/order.h"

namespace rosearch::sched {

/// What is known of the workers that may run one step. Which workers may doesn't change while the
/// step lives; only the tickets that prove it expire.
class advice_book {
 public:
  /// Takes in one answer.
  /// @param named    the workers that were asked about.
  /// @param allowed  those of them that may run the step.
  /// @param expires  when the tickets lose their worth.
  void Learn(const std::vector<std::string>& named, const std::vector<advised_worker>& allowed,
             time_point expires) {
    for (const auto& worker : named) {
      refused_.insert(worker);
    }
    for (const auto& each : allowed) {
      refused_.erase(each.worker);
      tickets_[each.worker] = ticket{each.ticket, expires};
    }
  }

  /// @return the ticket for a worker, good until after `by`; null where there is none.
  [[nodiscard]] const std::string* Ticket(const std::string& worker, time_point by) const {
    const auto found = tickets_.find(worker);
    const bool good = found != tickets_.end() && found->second.expires > by;
    return good ? &found->second.text : nullptr;
  }

  /// @return whether the worker is known to be allowed; its ticket may have expired.
  [[nodiscard]] bool Allowed(const std::string& worker) const {
    return tickets_.contains(worker);
  }
  [[nodiscard]] bool Refused(const std::string& worker) const { return refused_.contains(worker); }

  /// Forgets one ticket that a worker didn't take.
  void Expire(const std::string& worker) {
    const auto found = tickets_.find(worker);
    if (found != tickets_.end()) {
      found->second.expires = time_point{};
    }
  }

  bool asking{false};         ///< a question is under way
  time_point ask_again_at{};  ///< no further question before

 private:
  struct ticket {
    std::string text;
    time_point expires;
  };
  std::unordered_map<std::string, ticket> tickets_;
  std::unordered_set<std::string> refused_;
};

}  // namespace rosearch::sched

#endif  // ROSEARCH_SCHED_ADVICE_BOOK_H_
