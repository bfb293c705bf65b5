#ifndef ROSEARCH_CELL_FORMER_LEADERS_H_
#define ROSEARCH_CELL_FORMER_LEADERS_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "rosearch/core/time.h"

namespace rosearch::cell {

/// The leaders whose claims a process knows of, except those that have certainly stopped acting.
///
/// A leader that was replaced may act until some time after a newer one has fenced the store. The
/// claim alone doesn't limit it: the newer leader may fail before it fences. Each claim therefore
/// names the former leaders that its claimer knew, so that a process which reads only the newest
/// claim knows them all.
class former_leaders {
 public:
  /// Stands for leaders that are not known by name, as those before a claim without such a list.
  static constexpr const char* kUnknown = "";

  /// @param max_acting  max time for which a leader acts after a newer one has fenced it.
  explicit former_leaders(duration max_acting) : max_acting_{max_acting} {}

  /// Records that a process has claimed the epoch, or one before it.
  void OnClaim(std::uint64_t epoch, const std::string& address);
  /// Records that the leader of the epoch has fenced all earlier ones.
  void OnFenced(std::uint64_t epoch, time_point now);

  /// @return the addresses of the leaders before the epoch that may still act.
  [[nodiscard]] std::vector<std::string> Before(std::uint64_t epoch, time_point now) const;

 private:
  struct former_leader {
    std::uint64_t epoch{0};
    time_point acts_until{time_point::max()};  ///< max: it isn't known to be fenced
  };

  duration max_acting_;
  std::map<std::string, former_leader> leaders_;  ///< by address
};

}  // namespace rosearch::cell

#endif  // ROSEARCH_CELL_FORMER_LEADERS_H_
