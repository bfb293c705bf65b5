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

/// Proves to the store that an append comes from the one writer that may write there.
struct writer_proof {
  std::string name;
  std::uint64_t epoch{0};
  std::uint64_t sequence{0};  ///< of this append; each follows the last

  friend bool operator==(const writer_proof&, const writer_proof&) = default;
};

/// What became of an append.
enum class append_outcome : std::uint8_t {
  kStored,
  kNotStored,      ///< the store says that it did nothing
  kFenced,         ///< a writer with a higher epoch was there
  kOutOfSequence,  ///< `append_answer::next_sequence` is expected
  kMoved,          ///< the partition doesn't end where the condition says
  kUnknown,        ///< no answer: it may have been stored, now or seconds later
};

struct append_answer {
  append_outcome outcome{append_outcome::kUnknown};
  std::uint64_t offset{0};         ///< stored: of the first record
  std::uint64_t next_sequence{0};  ///< out of sequence

  friend bool operator==(const append_answer&, const append_answer&) = default;
};

/// Records of one partition from an offset on.
struct log_page {
  bool trimmed{false};  ///< the offset asked for is gone; `first` is the oldest there is
  std::uint64_t first{0};
  std::uint64_t next{0};  ///< read on from here
  std::vector<std::string> records{};

  friend bool operator==(const log_page&, const log_page&) = default;
};

/// The newest records of a partition that keeps the newest of each key.
struct newest_page {
  std::vector<sched::stored_record> records;
  std::string continue_after;  ///< empty: this is the last page
  std::uint64_t end{0};        ///< offset behind the newest record

  friend bool operator==(const newest_page&, const newest_page&) = default;
};

using append_callback = std::function<void(const append_answer&)>;
using log_callback = std::function<void(result<log_page>)>;
using newest_callback = std::function<void(result<newest_page>)>;

/// Splits a record of a partition with keys.
/// @return nothing where the bytes hold no key.
[[nodiscard]] std::optional<sched::stored_record> SplitKeyed(const std::string& bytes);

/// @return a record as a partition with keys wants it. The key has at most 255 bytes.
[[nodiscard]] std::string JoinKeyed(const sched::stored_record& record);

}  // namespace rosearch::cell

#endif  // ROSEARCH_CELL_STORE_TYPES_H_
