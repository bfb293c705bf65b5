#ifndef ROSEARCH_API_OPERATOR_VIEWS_H_
#define ROSEARCH_API_OPERATOR_VIEWS_H_

#include <boost/json/object.hpp>
#include <string>

#include "rosearch/api/entry_access.h"
#include "rosearch/core/resources.h"
#include "rosearch/net/http_server.h"

namespace rosearch {

/// What operators look at and order at one entry: configuration, quotas and VMs.
class operator_views {
 public:
  /// @param access  outlives the views.
  explicit operator_views(const entry_access& access) noexcept : access_{access} {}

  [[nodiscard]] http_response Configuration() const;
  [[nodiscard]] http_response History() const;
  [[nodiscard]] http_response CheckConfiguration(const http_call& call) const;
  [[nodiscard]] http_response Quotas() const;
  [[nodiscard]] http_response Vms() const;
  /// Orders a VM to take no new work, or withdraws that.
  [[nodiscard]] http_response Drain(const std::string& vm, bool leaving) const;

 private:
  const entry_access& access_;
};

/// @return amounts as answers show them.
[[nodiscard]] boost::json::object AmountsJson(const resources& amounts);

}  // namespace rosearch

#endif  // ROSEARCH_API_OPERATOR_VIEWS_H_
