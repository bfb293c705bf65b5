#ifndef ROSEARCH_CAPACITY_URGENT_QUEUE_H_
#define ROSEARCH_CAPACITY_URGENT_QUEUE_H_

#include <algorithm>
#include <functional>
#include <optional>
#include <utility>
#include <vector>

#include "rosearch/capacity/attempt_key.h"
#include "rosearch/core/id.h"
#include "rosearch/core/time.h"
#include "rosearch/wire/record.pb.h"

namespace rosearch::internal {

/// Urgent work that waits for the room of preempted tasks.
struct urgent_wait {
  attempt_key key;
  wire::placement_made made;  ///< with the VM on which room is being made
  time_point give_up_at{kNever};
};

/// Urgent work in the order in which it was asked for.
class urgent_queue {
 public:
  void Add(urgent_wait added) { waits_.push_back(std::move(added)); }

  /// @return the first that `fits`, taken out.
  template <std::predicate<const urgent_wait&> Predicate>
  [[nodiscard]] std::optional<urgent_wait> TakeFirst(Predicate fits) {
    const auto found = std::ranges::find_if(waits_, fits);
    if (found == waits_.end()) return std::nullopt;
    auto taken = std::move(*found);
    waits_.erase(found);
    return taken;
  }

  [[nodiscard]] bool Contains(const attempt_key& key) const {
    return std::ranges::find(waits_, key, &urgent_wait::key) != waits_.end();
  }
  /// @return whether room is being made on the VM.
  [[nodiscard]] bool WaitsFor(const vm_id& vm) const {
    return std::ranges::any_of(waits_,
                               [&vm](const auto& wait) { return wait.made.vm() == vm.value(); });
  }
  [[nodiscard]] std::size_t size() const noexcept { return waits_.size(); }
  void clear() noexcept { waits_.clear(); }

 private:
  std::vector<urgent_wait> waits_;
};

}  // namespace rosearch::internal

#endif  // ROSEARCH_CAPACITY_URGENT_QUEUE_H_
