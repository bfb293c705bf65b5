#ifndef ROSEARCH_CAPACITY_HOLD_TABLE_H_
#define ROSEARCH_CAPACITY_HOLD_TABLE_H_

#include <map>
#include <optional>
#include <vector>

#include "rosearch/capacity/attempt_key.h"
#include "rosearch/core/id.h"
#include "rosearch/core/time.h"
#include "rosearch/wire/record.pb.h"

namespace rosearch {

/// Room kept for one task of a gang until the home shard commits it.
struct hold {
  wire::placement_made made;
  time_point until{kNever};
};

/// The holds of a shard. Not journaled: a hold that a takeover drops is refused at its commit.
class hold_table {
 public:
  void Add(const attempt_key& key, hold added) { holds_[key] = std::move(added); }
  /// @return the hold, taken out of the table.
  [[nodiscard]] std::optional<hold> Take(const attempt_key& key);
  /// @return the hold, valid until the next change, or null.
  [[nodiscard]] const hold* Find(const attempt_key& key) const;
  /// @return the holds whose deadline is not after `now`, sorted.
  [[nodiscard]] std::vector<attempt_key> Lapsed(time_point now) const;
  /// @return the holds on a VM, sorted.
  [[nodiscard]] std::vector<attempt_key> On(const vm_id& vm) const;
  void clear() noexcept { holds_.clear(); }

  [[nodiscard]] auto begin() const noexcept { return holds_.begin(); }
  [[nodiscard]] auto end() const noexcept { return holds_.end(); }

 private:
  std::map<attempt_key, hold> holds_;
};

}  // namespace rosearch

#endif  // ROSEARCH_CAPACITY_HOLD_TABLE_H_
