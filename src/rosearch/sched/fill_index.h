#ifndef ROSEARCH_SCHED_FILL_INDEX_H_
#define ROSEARCH_SCHED_FILL_INDEX_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "rosearch/sched/worker_state.h"

namespace rosearch::sched {

/// Orders the workers of each pool by processor utilization, so that placement in a large pool
/// visits the most suitable workers first and can stop early. Doesn't own the workers.
class fill_index {
 public:
  /// Records that a worker was added, or that its pool, capacity or usage has changed. The index
  /// is updated at the next query only, since most workers change several times between queries.
  void Update(worker_state& worker) {
    if (!std::exchange(worker.fill_changed, true)) {
      changed_.push_back(&worker);
    }
  }
  /// Removes a worker; call before the worker is destroyed.
  void Remove(worker_state& worker);
  /// @return the number of workers in a pool.
  [[nodiscard]] std::size_t Size(const std::string& pool);

  /// Visits the workers of a pool that may have enough free processors. The bound is computed for
  /// the largest worker of the pool, so that smaller ones with too little room may be visited too.
  /// @param processors_milli  required processors, in thousandths.
  /// @param emptiest_first    true: lowest utilization first; false: highest first.
  /// @param visit             called with each worker; returns whether to continue.
  template <typename Visitor>
  void VisitOpen(const std::string& pool, std::int64_t processors_milli, bool emptiest_first,
                 Visitor visit) {
    ReindexChanged();
    const auto found = pools_.find(pool);
    if (found == pools_.end()) {
      return;
    }
    const auto end = OpenEnd(found->second, processors_milli);
    const auto call = [&](const entry& each) { return !visit(*each.worker); };
    const auto begin = found->second.workers.begin();
    if (emptiest_first) {
      (void)std::find_if(begin, end, call);
    } else {
      (void)std::find_if(std::make_reverse_iterator(end), std::make_reverse_iterator(begin), call);
    }
  }

  /// Visits the workers of a pool that `VisitOpen` leaves out, lowest utilization first.
  template <typename Visitor>
  void VisitFull(const std::string& pool, std::int64_t processors_milli, Visitor visit) {
    ReindexChanged();
    const auto found = pools_.find(pool);
    if (found == pools_.end()) {
      return;
    }
    (void)std::find_if(OpenEnd(found->second, processors_milli), found->second.workers.end(),
                       [&](const entry& each) { return !visit(*each.worker); });
  }

 private:
  struct entry {
    std::int64_t fill{0};  ///< processors used, in millionths of the capacity
    worker_state* worker{nullptr};

    /// An entry without a worker is a search bound, equivalent to every entry of the same fill.
    friend bool operator<(const entry& left, const entry& right) {
      if (left.fill != right.fill || left.worker == nullptr || right.worker == nullptr) {
        return left.fill < right.fill;
      }
      return left.worker->facts.id < right.worker->facts.id;
    }
  };
  struct pool_workers {
    std::set<entry> workers;
    std::int64_t largest_milli{1};  ///< capacity of the largest worker ever indexed, in thousandths
  };
  struct place {
    std::string pool;
    std::set<entry>::iterator at;
  };

  void ReindexChanged();
  void Reindex(worker_state& worker);
  [[nodiscard]] static std::set<entry>::const_iterator OpenEnd(const pool_workers& pool,
                                                               std::int64_t processors_milli);

  std::unordered_map<std::string, pool_workers> pools_;
  std::unordered_map<const worker_state*, place> positions_;
  std::vector<worker_state*> changed_;
};

}  // namespace rosearch::sched

#endif  // ROSEARCH_SCHED_FILL_INDEX_H_
