#ifndef ROSEARCH_SCHED_WORKER_RECORD_H_
#define ROSEARCH_SCHED_WORKER_RECORD_H_

#include <algorithm>
#include <cstdint>
#include <optional>
#include <vector>

namespace rosearch::sched {

/// What one stored record says of a worker.
struct worker_record {
  std::int64_t born{0};    ///< incarnation that it describes
  bool open{false};        ///< any task may run there; closed: only those that the record names
  std::uint64_t batch{0};  ///< batch of this leader that wrote it; 0: an earlier leader wrote it

  friend bool operator==(const worker_record&, const worker_record&) = default;
};

/// The records of a worker that the next leader may read: the newest that is certainly stored, and
/// those of later batches whose outcome isn't known. Changes only when a batch is sent, stored or
/// refused, so it can't disagree with the store.
class worker_record_history {
 public:
  /// Records what the store holds when this leader takes over.
  void Restore(const worker_record& record) { stored_ = record; }
  /// Records that a batch was sent. It may be stored from now on.
  void OnSent(const worker_record& record) { unanswered_.push_back(record); }
  /// Records that a batch is stored, and with it all earlier ones.
  void OnStored(std::uint64_t batch) {
    std::erase_if(unanswered_, [&](const worker_record& each) {
      if (each.batch > batch) {
        return false;
      }
      stored_ = each;
      return true;
    });
  }
  /// Records that a batch is certainly not stored.
  void OnNotStored(std::uint64_t batch) {
    std::erase_if(unanswered_, [&](const worker_record& each) { return each.batch == batch; });
  }

  /// @return whether the next leader will certainly read that any task may run on this incarnation.
  ///         A record that closes the worker counts once it is sent, one that opens it once it is
  ///         stored.
  [[nodiscard]] bool IsOpen(std::int64_t born) const {
    const auto opens = [&](const worker_record& each) { return each.open && each.born == born; };
    return stored_ && opens(*stored_) && std::ranges::all_of(unanswered_, opens);
  }
  /// @return whether the newest record opens this incarnation, so that no other has to be written.
  [[nodiscard]] bool NewestIsOpen(std::int64_t born) const {
    if (unanswered_.empty()) {
      return IsOpen(born);
    }
    return unanswered_.back().open && unanswered_.back().born == born;
  }

 private:
  std::optional<worker_record> stored_;    ///< nothing: the store doesn't know the worker
  std::vector<worker_record> unanswered_;  ///< oldest first
};

}  // namespace rosearch::sched

#endif  // ROSEARCH_SCHED_WORKER_RECORD_H_
