#include "rosearch/sched/cell_configuration.h"

namespace rosearch::sched {

const queue_rules* cell_configuration::Match(std::string_view host, std::string_view path) const {
  const queue_rules* best = nullptr;
  for (const auto& queue : queues) {
    const bool longer = best == nullptr || queue.path_prefix.size() > best->path_prefix.size();
    if (longer && queue.host == host && path.starts_with(queue.path_prefix)) {
      best = &queue;
    }
  }
  return best;
}

const queue_rules* cell_configuration::Find(std::string_view key) const {
  for (const auto& queue : queues) {
    if (queue.Key() == key) {
      return &queue;
    }
  }
  return nullptr;
}

}  // namespace rosearch::sched
