#ifndef ROSEARCH_SCHED_CUSTOMER_RULES_H_
#define ROSEARCH_SCHED_CUSTOMER_RULES_H_

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "rosearch/core/resources.h"
#include "rosearch/sched/key_digest.h"

namespace rosearch::sched {

/// The operator's rules for one customer.
struct customer_rules {
  std::string name;
  double weight{1};   ///< share of a full cell, and jobs per second that it is entitled to
  resources limit{};  ///< max resources that its runs may use together; 0: not limited
  std::vector<key_digest> keys{};  ///< any of them identifies the customer

  friend bool operator==(const customer_rules&, const customer_rules&) = default;
};

/// Finds customers by their keys.
class customer_keys {
 public:
  customer_keys() = default;
  /// A key of two customers identifies the first of them; see `FindSharedKey`.
  explicit customer_keys(const std::vector<customer_rules>& customers);

  /// @return the name of the customer that has this key; null if there is none.
  [[nodiscard]] const std::string* Find(const key_digest& key) const;

  friend bool operator==(const customer_keys&, const customer_keys&) = default;

 private:
  std::unordered_map<key_digest, std::string, key_digest_hash> customer_of_key_;
};

/// @return the second customer with a key that an earlier one also has; null if there is none.
[[nodiscard]] const customer_rules* FindSharedKey(const std::vector<customer_rules>& customers);

}  // namespace rosearch::sched

#endif  // ROSEARCH_SCHED_CUSTOMER_RULES_H_
