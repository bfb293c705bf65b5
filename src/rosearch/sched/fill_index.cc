#include "rosearch/sched/fill_index.h"

namespace rosearch::sched {
namespace {

constexpr std::int64_t kFullFill = 1'000'000;

std::int64_t FillOf(const worker_state& worker) {
  const auto capacity = std::max<std::int64_t>(1, worker.facts.capacity.processors_milli);
  return worker.used.processors_milli * kFullFill / capacity;
}

}  // namespace

void fill_index::ReindexChanged() {
  for (auto* const worker : changed_) {
    worker->fill_changed = false;
    Reindex(*worker);
  }
  changed_.clear();
}

void fill_index::Reindex(worker_state& worker) {
  const auto& name = worker.facts.pool;
  const entry now{FillOf(worker), &worker};
  const auto known = positions_.find(&worker);
  if (known != positions_.end() && known->second.pool == name) {
    auto& [pool_name, at] = known->second;
    if (at->fill != now.fill) {
      auto& workers = pools_[name].workers;
      workers.erase(at);
      at = workers.insert(now).first;
    }
  } else {
    if (known != positions_.end()) {
      pools_[known->second.pool].workers.erase(known->second.at);
    }
    positions_[&worker] = place{name, pools_[name].workers.insert(now).first};
  }
  auto& largest = pools_[name].largest_milli;
  largest = std::max(largest, worker.facts.capacity.processors_milli);
}

void fill_index::Remove(worker_state& worker) {
  if (std::exchange(worker.fill_changed, false)) {
    std::erase(changed_, &worker);
  }
  const auto known = positions_.find(&worker);
  if (known == positions_.end()) {
    return;
  }
  pools_[known->second.pool].workers.erase(known->second.at);
  positions_.erase(known);
}

std::size_t fill_index::Size(const std::string& pool) {
  ReindexChanged();
  const auto found = pools_.find(pool);
  return found == pools_.end() ? 0 : found->second.workers.size();
}

std::set<fill_index::entry>::const_iterator fill_index::OpenEnd(const pool_workers& pool,
                                                                std::int64_t processors_milli) {
  // Above this fill even the largest worker of the pool has too few free processors.
  const auto most = kFullFill - processors_milli * kFullFill / pool.largest_milli;
  return pool.workers.lower_bound(entry{most + 1, nullptr});
}

}  // namespace rosearch::sched
