#ifndef ROSEARCH_JOURNAL_AUTHOR_WINDOW_H_
#define ROSEARCH_JOURNAL_AUTHOR_WINDOW_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "rosearch/core/id.h"
#include "rosearch/journal/record_id.h"

namespace rosearch::journal {

/// Knows the records of one stream that were read before.
///
/// One number for each run of an entry is enough for records of entries, however late a copy comes
/// (see `record_id`). Ids of another form, from operators who write to the log themselves, are kept
/// as they are, the last `capacity` of them.
class author_window {
 public:
  /// @param capacity  runs of entries, and ids of another form, that are remembered.
  explicit author_window(std::size_t capacity = 4096) noexcept : capacity_{capacity} {}

  /// @param id  of a record, in log order.
  /// @return whether this is its first copy.
  bool Insert(const std::string& id);

 private:
  using author = std::pair<entry_id, incarnation_number>;

  struct last_record {
    std::uint64_t counter;
    std::uint64_t seen;  ///< when, counted in records
  };

  [[nodiscard]] bool InsertCounter(const record_id& id);
  [[nodiscard]] bool InsertText(const std::string& id);
  void ForgetOldestAuthor();

  std::size_t capacity_;
  std::uint64_t reads_{0};
  std::map<author, last_record> authors_;
  std::set<std::string> texts_;
  std::deque<std::string> text_order_;
};

}  // namespace rosearch::journal

#endif  // ROSEARCH_JOURNAL_AUTHOR_WINDOW_H_
