#include "rosearch/journal/snapshot_finder.h"

#include <algorithm>

namespace rosearch::journal {

void snapshot_finder::Show(log_offset at, const wire::log_entry& entry) {
  if (entry.has_control()) {
    const auto& control = entry.control();
    if (control.has_snapshot() && control.snapshot().upto_offset() <= at) {
      candidates_[at] = {{at, control.snapshot().upto_offset()}, {}};
    }
    return;
  }
  if (!entry.has_batch()) {
    return;
  }
  const auto& batch = entry.batch();
  const auto [first, is_new] = first_of_term_.try_emplace(TermOf(batch), at);
  first->second = std::min(first->second, at);
  const auto& records = batch.records();
  if (std::ranges::any_of(records, [](const auto& each) { return each.has_snapshot(); })) {
    candidates_[at] = {{at, at}, TermOf(batch)};
  }
}

bool snapshot_finder::IsOvertaken(const candidate& snapshot) const {
  const auto higher = first_of_term_.upper_bound(snapshot.term);
  return std::any_of(higher, first_of_term_.end(),
                     [&](const auto& each) { return each.second < snapshot.place.at; });
}

std::optional<snapshot_place> snapshot_finder::Newest() const {
  const auto found = std::find_if(candidates_.rbegin(), candidates_.rend(),
                                  [this](const auto& each) { return !IsOvertaken(each.second); });
  return found == candidates_.rend() ? std::nullopt : std::optional{found->second.place};
}

}  // namespace rosearch::journal
