#include "rosearch/cell/predecessor_watch.h"

namespace rosearch::cell {

predecessor_watch::predecessor_watch(const std::vector<std::string>& predecessors,
                                     const std::vector<std::string>& members, bool is_current)
    : predecessors_{predecessors.begin(), predecessors.end()},
      members_{members.begin(), members.end()},
      is_current_{is_current} {
  members_.insert(predecessors.begin(), predecessors.end());
  processes_ += members_.size();
}

void predecessor_watch::OnFollows(const std::string& process) {
  predecessors_.erase(process);
  members_.erase(process);
}

bool predecessor_watch::HaveStopped() const {
  constexpr std::size_t kMissingInverseShare = 3;
  if (predecessors_.empty()) {
    return true;
  }
  const bool has_no_follower = members_.size() == 1;
  return is_current_ && (has_no_follower || members_.size() * kMissingInverseShare <= processes_);
}

std::vector<std::string> predecessor_watch::Missing() const {
  return {members_.begin(), members_.end()};
}

}  // namespace rosearch::cell
