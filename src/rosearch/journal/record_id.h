#ifndef ROSEARCH_JOURNAL_RECORD_ID_H_
#define ROSEARCH_JOURNAL_RECORD_ID_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "rosearch/core/id.h"

namespace rosearch::journal {

/// The name of a stream of the platform's log.
using stream_id = basic_id<struct stream_tag>;

/// A position in a stream, counted from 0.
using log_offset = std::uint64_t;

/// The id of a record that an entry wrote: who, in which run, and how many before it.
///
/// Within one stream the counters of one run ascend, because the next append is sent only after the
/// last one is known to be there. A reader thus knows a second copy by its counter alone, however
/// late it shows up.
struct record_id {
  entry_id entry;
  incarnation_number incarnation{0};
  std::uint64_t counter{0};

  /// @return the text that stands in the record.
  [[nodiscard]] std::string ToString() const;

  friend auto operator<=>(const record_id&, const record_id&) = default;
};

/// @return the id in that text; none where it has another form, as one that an operator chose.
[[nodiscard]] std::optional<record_id> ParseRecordId(std::string_view text);

}  // namespace rosearch::journal

#endif  // ROSEARCH_JOURNAL_RECORD_ID_H_
