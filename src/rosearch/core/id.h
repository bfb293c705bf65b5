#ifndef ROSEARCH_CORE_ID_H_
#define ROSEARCH_CORE_ID_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace rosearch {

/// Strongly typed string identifier: ids with different tags are different types.
/// @tparam Tag  an empty type for each kind of id.
template <typename Tag>
class basic_id {
 public:
  basic_id() = default;
  explicit basic_id(std::string value) : value_{std::move(value)} {}

  /// @return the text of the id, as used in settings, messages and logs.
  [[nodiscard]] const std::string& value() const noexcept { return value_; }
  [[nodiscard]] bool empty() const noexcept { return value_.empty(); }

  friend auto operator<=>(const basic_id&, const basic_id&) = default;
  friend std::ostream& operator<<(std::ostream& out, const basic_id& id) {
    return out << id.value_;
  }

 private:
  std::string value_;
};

using customer_id = basic_id<struct customer_tag>;
using entry_id = basic_id<struct entry_tag>;
using failure_domain_id = basic_id<struct failure_domain_tag>;
using rack_id = basic_id<struct rack_tag>;
using region_id = basic_id<struct region_tag>;
using request_id = basic_id<struct request_tag>;
using task_id = basic_id<struct task_tag>;
using vm_id = basic_id<struct vm_tag>;

/// Zero-based index of a shard within the cell.
using shard_number = std::uint32_t;

/// Number of times that a shard has been assigned. Zero: never assigned.
using epoch_number = std::uint64_t;

/// Random number chosen at each process start, to tell a restarted entry from its predecessor.
using incarnation_number = std::uint64_t;

/// The version of a configuration. Zero: none published yet.
using config_version = std::uint64_t;

}  // namespace rosearch

template <typename Tag>
struct std::hash<rosearch::basic_id<Tag>> {
  [[nodiscard]] std::size_t operator()(const rosearch::basic_id<Tag>& id) const noexcept {
    return std::hash<std::string>{}(id.value());
  }
};

#endif  // ROSEARCH_CORE_ID_H_
