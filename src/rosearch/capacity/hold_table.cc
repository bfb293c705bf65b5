#include "rosearch/capacity/hold_table.h"

namespace rosearch {

std::optional<hold> hold_table::Take(const attempt_key& key) {
  auto node = holds_.extract(key);
  if (node.empty()) return std::nullopt;
  return std::move(node.mapped());
}

const hold* hold_table::Find(const attempt_key& key) const {
  const auto found = holds_.find(key);
  return found == holds_.end() ? nullptr : &found->second;
}

std::vector<attempt_key> hold_table::Lapsed(time_point now) const {
  std::vector<attempt_key> lapsed;
  for (const auto& [key, held] : holds_) {
    if (held.until <= now) lapsed.push_back(key);
  }
  return lapsed;
}

std::vector<attempt_key> hold_table::On(const vm_id& vm) const {
  std::vector<attempt_key> found;
  for (const auto& [key, held] : holds_) {
    if (held.made.vm() == vm.value()) found.push_back(key);
  }
  return found;
}

}  // namespace rosearch
