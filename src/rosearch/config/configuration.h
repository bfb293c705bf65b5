#ifndef ROSEARCH_CONFIG_CONFIGURATION_H_
#define ROSEARCH_CONFIG_CONFIGURATION_H_

#include <boost/json/object.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "rosearch/config/fault.h"
#include "rosearch/config/rule_set.h"
#include "rosearch/config/schema.h"
#include "rosearch/core/id.h"
#include "rosearch/core/resources.h"
#include "rosearch/core/time.h"

namespace rosearch::config {

/// The most that one customer may use of the cell.
struct quota {
  resources most;
  std::uint32_t max_queued{0};   ///< requests and tasks that wait
  std::uint32_t max_running{0};  ///< requests and tasks that run

  friend bool operator==(const quota&, const quota&) = default;
};

/// One customer of the cell.
struct customer {
  customer_id name;
  std::uint32_t weight{1};  ///< its share against the others' when all want more than there is
  config::quota quota;

  friend bool operator==(const customer&, const customer&) = default;
};

/// Limits that hold for all customers.
struct limits {
  std::uint32_t retry_percent{0};  ///< retries for each hundred first tries
  std::uint32_t max_tasks_per_job{0};
  std::uint32_t max_payload_bytes{0};
  duration request_deadline{};  ///< of requests whose rule gives none
  duration gang_hold{};         ///< how long room is held for the rest of a gang
  duration urgent_start{};      ///< by when urgent work starts

  friend bool operator==(const limits&, const limits&) = default;
};

/// What operators publish: customers, rules and limits. Immutable.
class configuration {
 public:
  /// Without customers and rules: all work is refused.
  configuration() = default;
  configuration(std::vector<customer> customers, rule_set rules, limits bounds);

  /// @return the customer of that name; null where there is none. Lives as long as this object.
  [[nodiscard]] const customer* FindCustomer(const customer_id& name) const noexcept;

  /// @return the first rule that matches; null where none does. Lives as long as this object.
  [[nodiscard]] const rule* Match(const work_kind& work) const noexcept {
    return rules_.Match(work);
  }

  [[nodiscard]] const std::vector<customer>& customers() const noexcept { return customers_; }
  [[nodiscard]] const rule_set& rules() const noexcept { return rules_; }
  [[nodiscard]] const limits& bounds() const noexcept { return bounds_; }

  /// @return the document with every key present.
  [[nodiscard]] boost::json::object ToJson() const;

  friend bool operator==(const configuration& left, const configuration& right) {
    return left.customers_ == right.customers_ && left.rules_ == right.rules_ &&
           left.bounds_ == right.bounds_;
  }

 private:
  std::vector<customer> customers_;
  std::map<customer_id, std::size_t> by_name_;
  rule_set rules_;
  limits bounds_;
};

/// @return the keys of a published document.
[[nodiscard]] const schema& ConfigurationSchema() noexcept;

/// @param text  JSON.
/// @return the configuration, and every fault of the text at once.
[[nodiscard]] checked<configuration> ParseConfiguration(std::string_view text);

/// @return what changes from one configuration to the other, a line for each key, in order of keys.
[[nodiscard]] std::vector<std::string> Diff(const configuration& from, const configuration& to);

}  // namespace rosearch::config

#endif  // ROSEARCH_CONFIG_CONFIGURATION_H_
