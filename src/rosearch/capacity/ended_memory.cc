#include "rosearch/capacity/ended_memory.h"

#include <utility>

namespace rosearch {

void ended_memory::Add(const attempt_key& key, ended_attempt&& added) {
  ended_.try_emplace(key, std::move(added));
}

ended_attempt* ended_memory::Find(const attempt_key& key) {
  const auto found = ended_.find(key);
  return found == ended_.end() ? nullptr : &found->second;
}

std::vector<wire::place_event> ended_memory::Due(time_point now, duration retry) {
  std::erase_if(ended_, [now](const auto& item) { return item.second.drop_at <= now; });
  std::vector<wire::place_event> due;
  for (auto& [key, ended] : ended_) {
    if (ended.acknowledged || !ended.home_known || ended.send_at > now) continue;
    ended.send_at = now + retry;
    due.push_back(ended.event);
  }
  return due;
}

}  // namespace rosearch
