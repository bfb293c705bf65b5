#ifndef ROSEARCH_SCHED_CUSTOMER_ACCOUNTS_H_
#define ROSEARCH_SCHED_CUSTOMER_ACCOUNTS_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "rosearch/core/resources.h"
#include "rosearch/core/time.h"
#include "rosearch/sched/customer_rules.h"
#include "rosearch/sched/token_bucket.h"

namespace rosearch::sched {

/// What the runs of one customer use, and what they may use.
class customer_account {
 public:
  explicit customer_account(std::string name) : name_{std::move(name)} {}

  [[nodiscard]] const std::string& name() const noexcept { return name_; }
  [[nodiscard]] const resources& limit() const noexcept { return limit_; }
  [[nodiscard]] double weight() const noexcept { return weight_; }
  /// @return the resources of all its known runs that may be active.
  [[nodiscard]] const resources& used() const noexcept { return used_; }
  /// @return max resources of runs that a former leader may have started and that are not known.
  [[nodiscard]] const resources& unread() const noexcept { return unread_; }

  /// Applies a new limit and weight. Runs beyond a smaller limit go on.
  void Configure(const customer_rules& rules);
  void Charge(const resources& amount) { used_ = used_ + amount; }
  void Release(const resources& amount) { used_ = used_ - amount; }
  void SetUnread(const resources& amount) { unread_ = amount; }

  /// @return how many more tasks with this need may start now. A task may exceed the limit only
  ///         while less than half of the limit is used: otherwise, smaller tasks would keep a large
  ///         one waiting forever.
  [[nodiscard]] std::uint32_t CountStartable(const resources& need) const;
  /// @return whether this many tasks with this need may start together, within the limit.
  [[nodiscard]] bool MayStartTogether(const resources& need, std::uint32_t count) const;
  /// @return whether this many tasks could start together if nothing else ran.
  [[nodiscard]] bool CouldEverStartTogether(const resources& need, std::uint32_t count) const;

  /// Counts a new job against the rate to which the customer is entitled.
  /// @return whether the job is within the rate.
  bool TakeFromRate(time_point now) { return rate_.TryTake(now); }

 private:
  std::string name_;
  double weight_{1};
  resources limit_{};
  resources used_{};
  resources unread_{};
  token_bucket rate_;
};

/// The accounts of all customers that are configured or have jobs.
class customer_accounts {
 public:
  /// Applies the rules of a configuration. A customer that is no longer configured keeps its last
  /// limit, which its remaining jobs still obey.
  void Configure(const std::vector<customer_rules>& customers);
  /// @return the account of a customer, which is added if it is new; valid as long as this object.
  [[nodiscard]] customer_account& Open(const std::string& name);

  [[nodiscard]] auto begin() noexcept { return accounts_.begin(); }
  [[nodiscard]] auto end() noexcept { return accounts_.end(); }
  [[nodiscard]] auto begin() const noexcept { return accounts_.begin(); }
  [[nodiscard]] auto end() const noexcept { return accounts_.end(); }

 private:
  std::map<std::string, customer_account> accounts_;  ///< by name
};

}  // namespace rosearch::sched

#endif  // ROSEARCH_SCHED_CUSTOMER_ACCOUNTS_H_
