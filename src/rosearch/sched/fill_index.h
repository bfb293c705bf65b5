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

/// Workers of each pool by how full their processors are, so that a search for places in a large
/// pool meets the likely ones first and can stop early. Owns no worker.
class fill_index {
 public:
  /// Takes in that a worker came, or that its pool, its capacity or what it uses has changed. It is
  /// moved only when somebody looks: most change several times between two looks.
  void Update(worker_state& worker) {
    if (!std::exchange(worker.fill_changed, true)) {
      changed_.push_back(&worker);
    }
  }
  /// Forgets a worker; call before it goes.
  void Remove(worker_state& worker);
  /// @return workers of a pool.
  [[nodiscard]] std::size_t Size(const std::string& pool);

  /// Visits the workers of a pool that may have processors free, with a margin: sizes differ.
  /// @param processors_milli  wanted, in thousandths.
  /// @param emptiest_first    or the fullest of them.
  /// @param visit             called with a worker; returns whether to go on.
  template <typename Visitor>
  void VisitOpen(const std::string& pool, std::int64_t processors_milli, bool emptiest_first,
                 Visitor visit) {
    MoveChanged();
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

  /// Visits the other workers of a pool, the emptiest first.
  template <typename Visitor>
  void VisitFull(const std::string& pool, std::int64_t processors_milli, Visitor visit) {
    MoveChanged();
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

    /// One without a worker is a bound for searches: equal to all of the same fill.
    friend bool operator<(const entry& left, const entry& right) {
      if (left.fill != right.fill || left.worker == nullptr || right.worker == nullptr) {
        return left.fill < right.fill;
      }
      return left.worker->facts.id < right.worker->facts.id;
    }
  };
  struct pool_workers {
    std::set<entry> workers;
    std::int64_t largest_milli{1};  ///< capacity of the largest worker that was ever here
  };
  struct place {
    std::string pool;
    std::set<entry>::iterator at;
  };

  void MoveChanged();
  void Move(worker_state& worker);
  [[nodiscard]] static std::set<entry>::const_iterator OpenEnd(const pool_workers& pool,
                                                               std::int64_t processors_milli);

  std::unordered_map<std::string, pool_workers> pools_;
  std::unordered_map<const worker_state*, place> places_;
  std::vector<worker_state*> changed_;
};

}  // namespace rosearch::sched

#endif  // ROSEARCH_SCHED_FILL_INDEX_H_
