#ifndef ROSEARCH_JOURNAL_SNAPSHOT_SCHEDULE_H_
#define ROSEARCH_JOURNAL_SNAPSHOT_SCHEDULE_H_

#include <chrono>
#include <cstdint>
#include <optional>

#include "rosearch/core/time.h"

namespace rosearch::journal {

/// When a stream's live state has to be written again.
struct snapshot_options {
  duration retention{std::chrono::hours{24}};  ///< after which the log forgets a record
  std::uint64_t max_records{50'000};           ///< since the last snapshot; more make starts slow
  duration stagger{std::chrono::seconds{20}};  ///< between the entries that may write it

  friend bool operator==(const snapshot_options&, const snapshot_options&) = default;
};

/// Decides when to append the live state of a stream again, long before retention ends.
///
/// It is due at a third of the retention. Two thirds are left for an outage of the log, and for the
/// next entry in rank where the first one is gone: each waits one `stagger` longer than the one
/// before, and a snapshot that any of them wrote puts all of them off.
class snapshot_schedule {
 public:
  /// @param now  when this process began to follow the stream. How old the last snapshot is can't
  /// be known then, so one is due soon unless another one is read: an entry that waited a third of
  /// the retention from its own start would never write one where entries are replaced more often.
  snapshot_schedule(snapshot_options options, time_point now) noexcept
      : options_{options}, due_at_{now + options.retention / kShareAfterStart} {}

  /// A snapshot was read at the end of the stream, or is known to be there.
  /// @param written_after  a moment at which it had not been written yet, such as that of the read
  /// before; none where no such moment is known, as for what is read while starting.
  void OnSnapshot(std::optional<time_point> written_after) noexcept {
    if (written_after) {
      due_at_ = *written_after + options_.retention / kShare;
      records_ = 0;
    }
  }

  /// A record was read.
  void OnRecord() noexcept { ++records_; }

  /// @param rank  this entry's place among those that may write it, from 0.
  /// @return when it has to write a snapshot.
  [[nodiscard]] time_point DueAt(std::uint32_t rank) const noexcept {
    return due_at_ + options_.stagger * rank;
  }

  /// @return whether this entry has to write a snapshot now.
  [[nodiscard]] bool IsDue(std::uint32_t rank, time_point now) const noexcept {
    const bool is_long = records_ >= options_.max_records * (rank + 1);
    return is_long || now >= DueAt(rank);
  }

 private:
  static constexpr int kShare = 3;
  static constexpr int kShareAfterStart = 24;

  snapshot_options options_;
  time_point due_at_;
  std::uint64_t records_{0};
};

}  // namespace rosearch::journal

#endif  // ROSEARCH_JOURNAL_SNAPSHOT_SCHEDULE_H_
