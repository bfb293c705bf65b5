#ifndef ROSEARCH_JOURNAL_STREAM_READER_H_
#define ROSEARCH_JOURNAL_STREAM_READER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "rosearch/core/time.h"
#include "rosearch/journal/author_window.h"
#include "rosearch/journal/record_id.h"
#include "rosearch/journal/snapshot_finder.h"
#include "rosearch/wire/platform.pb.h"
#include "rosearch/wire/record.pb.h"

namespace rosearch::journal {

/// How a reader asks the log.
struct reader_options {
  std::uint32_t max_records{1000};  ///< of one read
  /// Records before a snapshot whose ids are learned: a late copy of one of them is known again.
  std::uint32_t warm_up{4096};
  /// Runs of entries, and ids that operators chose, that are remembered.
  std::size_t known_ids{4096};

  friend bool operator==(const reader_options&, const reader_options&) = default;
};

/// What to ask the log next: the records from an offset on.
struct read_request {
  stream_id stream;
  log_offset from{0};
  std::uint32_t max_records{0};

  friend bool operator==(const read_request&, const read_request&) = default;
};

/// Forget the state of the stream: what follows begins with a snapshot, or with nothing.
struct stream_restarted {
  log_offset at{0};          ///< everything from here on follows
  bool has_snapshot{false};  ///< the next event is a snapshot that includes everything before `at`
  /// Records were forgotten that no snapshot includes: the state that follows is not whole.
  bool history_lost{false};

  friend bool operator==(const stream_restarted&, const stream_restarted&) = default;
};

/// One record, in log order, for the first time.
struct stream_entry {
  log_offset offset{0};
  wire::log_entry entry;
};

using stream_event = std::variant<stream_restarted, stream_entry>;

/// Follows one stream of the platform's log. Every reader of a stream gets the same records in the
/// same order from wherever it begins.
class stream_reader {
 public:
  explicit stream_reader(stream_id stream, reader_options options = {});

  /// @return what to ask the log next. At most one question is open at a time.
  [[nodiscard]] read_request Next() const;

  /// Takes the answer to `Next`.
  /// @param asked_at  when the question was sent.
  /// @param out  events are added at the end.
  void OnRead(const wire::log_read_answer& answer, time_point asked_at,
              std::vector<stream_event>& out);

  /// @return the latest moment T such that a read begun at T or later has brought the reader to the
  /// end of the stream: every record that was in the log by T has been handed out. None before.
  [[nodiscard]] std::optional<time_point> ReadToEndAt() const noexcept { return complete_at_; }

  /// @return the offset of the next record to hand out.
  [[nodiscard]] log_offset next_offset() const noexcept { return next_; }

  /// @return one past the newest record that the log has told of.
  [[nodiscard]] log_offset end_offset() const noexcept { return end_; }

  /// @return records that nobody can read, and second copies, so far.
  [[nodiscard]] std::uint64_t skipped() const noexcept { return skipped_; }

 private:
  enum class reader_phase {
    kLocating,   ///< asks where the stream begins and ends
    kSearching,  ///< reads backwards for a snapshot
    kFetching,   ///< reads the snapshot that was found
    kFollowing,  ///< hands out records
  };

  /// The end of the stream as some read found it.
  struct goal {
    log_offset end;
    time_point asked_at;
  };

  void Restart();
  void Locate(const wire::log_read_answer& answer, std::vector<stream_event>& out);
  void SearchBack(const wire::log_read_answer& answer, std::vector<stream_event>& out);
  void StepBack(std::vector<stream_event>& out);
  void Fetch(const wire::log_read_answer& answer, std::vector<stream_event>& out);
  void Begin(stream_restarted from, std::vector<stream_event>& out);
  void Follow(const wire::log_read_answer& answer, time_point asked_at,
              std::vector<stream_event>& out);
  void Take(const wire::log_record& record, std::vector<stream_event>& out);
  void NoteGoal(log_offset end, time_point asked_at);
  [[nodiscard]] std::optional<wire::log_entry> Parse(const wire::log_record& record);

  stream_id stream_;
  reader_options options_;
  reader_phase phase_{reader_phase::kLocating};
  author_window known_;
  log_offset first_{0};  ///< the oldest record still kept
  log_offset end_{0};
  log_offset next_{0};
  log_offset begin_{0};         ///< records before it are only learned, not handed out
  log_offset window_first_{0};  ///< the window of the search, its end excluded
  log_offset window_at_{0};
  log_offset window_end_{0};
  std::optional<snapshot_finder> finder_;
  std::optional<snapshot_place> snapshot_;
  std::optional<goal> goal_;
  std::optional<time_point> complete_at_;
  std::uint64_t skipped_{0};
};

}  // namespace rosearch::journal

#endif  // ROSEARCH_JOURNAL_STREAM_READER_H_
