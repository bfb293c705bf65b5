#ifndef ROSEARCH_SHARD_STANDBY_CHOICE_H_
#define ROSEARCH_SHARD_STANDBY_CHOICE_H_

#include <optional>
#include <vector>

#include "rosearch/core/time.h"
#include "rosearch/ownership/party.h"

namespace rosearch {

/// Which entry is to keep a copy of a shard: one of those that live, and another where it doesn't
/// acknowledge in time.
class standby_choice {
 public:
  /// @param candidates  entries that live and stay, the best first.
  /// @param behind      whether the present choice lacks something.
  /// @return whether another entry was chosen, or none where there was one.
  bool Choose(const std::vector<party>& candidates, bool behind, time_point now);

  void Reset();

  [[nodiscard]] const std::optional<party>& current() const noexcept { return current_; }

 private:
  bool Take(const party& next, time_point now);

  std::optional<party> current_;
  time_point give_up_at_{kNever};
  int missed_{0};  ///< choices in a row that lacked something for too long
};

}  // namespace rosearch

#endif  // ROSEARCH_SHARD_STANDBY_CHOICE_H_
