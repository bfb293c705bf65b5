#include "rosearch/cell/former_leaders.h"

#include <algorithm>

namespace rosearch::cell {

void former_leaders::OnClaim(std::uint64_t epoch, const std::string& address) {
  auto& known = leaders_[address];
  if (epoch > known.epoch) {
    known = {epoch};
  }
}

void former_leaders::OnFenced(std::uint64_t epoch, time_point now) {
  std::erase_if(leaders_, [&](const auto& each) { return now >= each.second.acts_until; });
  for (auto& [address, known] : leaders_) {
    if (known.epoch < epoch) {
      known.acts_until = std::min(known.acts_until, now + max_acting_);
    }
  }
}

std::vector<std::string> former_leaders::Before(std::uint64_t epoch, time_point now) const {
  std::vector<std::string> found;
  for (const auto& [address, known] : leaders_) {
    if (known.epoch < epoch && now < known.acts_until) {
      found.push_back(address);
    }
  }
  return found;
}

}  // namespace rosearch::cell
