#ifndef ROSEARCH_SCHED_FAIR_SHARE_H_
#define ROSEARCH_SCHED_FAIR_SHARE_H_

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "rosearch/core/resources.h"
#include "rosearch/core/time.h"
#include "rosearch/sched/customer_accounts.h"
#include "rosearch/sched/customer_rules.h"

namespace rosearch::sched {

/// @return the largest fraction of any resource of `capacity` that `used` takes; a resource that
///         the pool doesn't have is left out.
[[nodiscard]] double DominantFraction(const resources& used, const resources& capacity);

/// What the runs of one customer use of a pool at one priority.
struct share_account {
  const customer_account* customer{nullptr};
  const resources* capacity{nullptr};  ///< of the pool
  resources used{};

  /// @return its dominant fraction divided by the customer's weight. The customer with the smallest
  ///         share is served first.
  [[nodiscard]] double Share() const {
    return DominantFraction(used, *capacity) / customer->weight();
  }
};

/// Weighted dominant-resource fairness among the customers of a pool and priority.
///
/// Addresses a surge from one or several customers when more work is waiting than fits. Each
/// customer is entitled to its weight's part of the pool. What it doesn't use is lent to others,
/// and is reclaimed for work within its rate.
///
/// Holds only what follows from the known runs, so that a new leader recomputes it.
class fair_share {
 public:
  /// Applies the customers of a configuration.
  void Configure(const std::vector<customer_rules>& customers);
  /// @return whether shares among customers apply.
  [[nodiscard]] bool Enabled() const { return total_weight_ > 0; }
  /// Sets the capacity of each pool; a pool that isn't named has none.
  void SetCapacities(const std::map<std::string, resources>& capacities);
  /// @return the account of a customer, which is added if it is new; valid as long as this object.
  [[nodiscard]] share_account& Open(const customer_account& customer, const std::string& pool,
                                    std::uint32_t priority);

  /// @return the part of a pool that a customer is entitled to.
  [[nodiscard]] double Entitlement(const customer_account& customer) const;
  /// @return whether a customer uses more than it is entitled to.
  [[nodiscard]] bool IsOverShare(const share_account& account) const;
  /// @return whether a customer stays within what it is entitled to if it also uses `more`.
  [[nodiscard]] bool FitsShare(const share_account& account, const resources& more) const;

  struct key {
    std::string pool;
    std::uint32_t priority{0};
    std::string customer;

    friend auto operator<=>(const key&, const key&) = default;
  };
  /// @return all accounts, by pool, priority and customer.
  [[nodiscard]] const std::map<key, share_account>& Accounts() const { return accounts_; }

 private:
  double total_weight_{0};
  std::map<std::string, resources> capacities_;  ///< by pool; entries are never removed
  std::map<key, share_account> accounts_;
};

/// A run that may be preempted.
struct preemption_victim {
  std::size_t index{0};  ///< position in the caller's list of runs
  resources room{};      ///< freed by its stop
  double lost_work{0};   ///< processors (thousandths) times ms that its stop discards
  bool checkpoints{false};
  bool near_end{false};

  friend bool operator==(const preemption_victim&, const preemption_victim&) = default;
};

/// Chooses the runs to preempt on one worker for a task: runs that save checkpoints first, runs
/// near their end last, then those that lose the least work.
/// @param free    room that is free without preemption.
/// @param budget  max work that may be lost.
/// @return positions in the caller's list; empty if the task doesn't get room within the budget.
[[nodiscard]] std::vector<preemption_victim> ChooseVictims(std::vector<preemption_victim> victims,
                                                           const resources& need,
                                                           const resources& free, double budget);

}  // namespace rosearch::sched

#endif  // ROSEARCH_SCHED_FAIR_SHARE_H_
