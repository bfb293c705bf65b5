#ifndef ROSEARCH_CELL_PREDECESSOR_WATCH_H_
#define ROSEARCH_CELL_PREDECESSOR_WATCH_H_

#include <cstddef>
#include <set>
#include <string>
#include <vector>

namespace rosearch::cell {

/// Tells a new leader when its predecessors have certainly lost their proof of leadership.
///
/// A predecessor that is cut off from the store may act for `leadership_proof_settings::
/// max_unconfirmed` while a majority of the processes follows it. It doesn't once its own process
/// follows the new leader or is gone, or once so many others do that the rest is no majority. A
/// third is allowed to be missing, not half, since a predecessor may know processes that joined or
/// left lately.
class predecessor_watch {
 public:
  predecessor_watch() = default;
  /// @param predecessors  addresses of the former leaders that may still act.
  /// @param members       addresses of all processes that the new leader knows, without itself.
  /// @param is_current    whether the members are those that a leader knew lately.
  predecessor_watch(const std::vector<std::string>& predecessors,
                    const std::vector<std::string>& members, bool is_current);

  /// Records that a process follows the new leader, or runs no more.
  void OnFollows(const std::string& process);

  [[nodiscard]] bool HaveStopped() const;
  /// @return the processes of which neither is known.
  [[nodiscard]] std::vector<std::string> Missing() const;

 private:
  std::set<std::string> predecessors_;  ///< that are still missing
  std::set<std::string> members_;       ///< that are still missing
  std::size_t processes_{1};            ///< all, with the new leader
  bool is_current_{false};
};

}  // namespace rosearch::cell

#endif  // ROSEARCH_CELL_PREDECESSOR_WATCH_H_
