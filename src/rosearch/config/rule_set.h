#ifndef ROSEARCH_CONFIG_RULE_SET_H_
#define ROSEARCH_CONFIG_RULE_SET_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "rosearch/config/rule.h"
#include "rosearch/core/id.h"

namespace rosearch::config {

/// Ordered rules, of which the first that matches decides.
///
/// Rules are indexed by customer, class and exact label, so that a look-up reads only rules that
/// agree in these three, plus those that name no exact label.
class rule_set {
 public:
  rule_set() = default;

  /// @param rules  in the order in which they are tried.
  explicit rule_set(std::vector<rule> rules);

  /// @return the first rule that matches; null where none does. Lives as long as this set.
  [[nodiscard]] const rule* Match(const work_kind& work) const noexcept;

  /// @return the rule before `index` that matches all that the rule there matches; null where none.
  [[nodiscard]] const rule* CoveredBy(std::size_t index) const noexcept;

  [[nodiscard]] const std::vector<rule>& rules() const noexcept { return rules_; }

  friend bool operator==(const rule_set& left, const rule_set& right) {
    return left.rules_ == right.rules_;
  }

 private:
  using positions = std::vector<std::uint32_t>;

  /// Rules for one customer and one class, as ascending positions in `rules_`.
  struct bucket {
    std::map<std::string, positions, std::less<>> by_label;
    positions others;
  };
  using customer_index = std::array<bucket, kWorkClasses>;

  void Add(customer_index& index, std::uint32_t position);
  [[nodiscard]] const rule* First(const positions& exact, const positions& others,
                                  const work_kind& work) const noexcept;

  std::vector<rule> rules_;
  std::map<customer_id, customer_index> by_customer_;
  customer_index any_customer_;  ///< only the rules that name no customer
};

}  // namespace rosearch::config

#endif  // ROSEARCH_CONFIG_RULE_SET_H_
