#ifndef ROSEARCH_CELL_STORE_TYPES_H_
#define ROSEARCH_CELL_STORE_TYPES_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "rosearch/core/result.h"
#include "rosearch/core/time.h"
#include "rosearch/sched/scheduler.h"

namespace rosearch::cell {

/// Fencing token of an append: the store rejects writers with an older epoch.
struct writer_proof {
  std::string name;
  std::uint64_t epoch{0};
  std::uint64_t sequence{0};  ///< of this append; one more than that of the previous append

  friend bool operator==(const writer_proof&, const writer_proof&) = default;
};

/// The outcome of an append.
enum class append_outcome : std::uint8_t {
  kStored,
  kNotStored,       ///< the store reported that nothing was written
  kFenced,          ///< a writer with a higher epoch has already appended
  kOutOfSequence,   ///< the store expects `append_answer::next_sequence`
  kOffsetMismatch,  ///< the end of the partition isn't the offset in the condition
  kUnknown,         ///< lost answer: it may be stored, now or seconds later
};

struct append_answer {
  append_outcome outcome{append_outcome::kUnknown};
  std::uint64_t offset{0};         ///< with `kStored`: offset of the first record
  std::uint64_t next_sequence{0};  ///< with `kOutOfSequence`: the expected sequence number

  friend bool operator==(const append_answer&, const append_answer&) = default;
};

/// Consecutive records of one partition.
struct log_page {
  bool trimmed{false};  ///< the requested offset is deleted; `first` is the oldest one available
  std::uint64_t first{0};
  std::uint64_t next{0};  ///< offset of the next read
  std::vector<std::string> records{};

  friend bool operator==(const log_page&, const log_page&) = default;
};

/// One page of the newest record of each key in a compacted partition.
struct newest_page {
  std::vector<sched::stored_record> records;
  std::string continue_after;  ///< key to continue from; empty: this is the last page
  std::uint64_t end{0};        ///< one past the offset of the newest record

  friend bool operator==(const newest_page&, const newest_page&) = default;
};

using append_callback = std::function<void(const append_answer&)>;
using log_callback = std::function<void(result<log_page>)>;
using newest_callback = std::function<void(result<newest_page>)>;

/// Decodes a record of a keyed partition: one byte for the key's length, the key, the value.
/// @return nothing if the bytes are too short to hold the key.
[[nodiscard]] std::optional<sched::stored_record> SplitKeyed(const std::string& bytes);

/// Encodes a record for a keyed partition; see `SplitKeyed`. The key has at most 255 bytes.
[[nodiscard]] std::string JoinKeyed(const sched::stored_record& record);

}  // namespace rosearch::cell

#endif  // ROSEARCH_CELL_STORE_TYPES_H_
