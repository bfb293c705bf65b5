#ifndef ROSEARCH_JOURNAL_SNAPSHOT_FINDER_H_
#define ROSEARCH_JOURNAL_SNAPSHOT_FINDER_H_

#include <map>
#include <optional>

#include "rosearch/core/id.h"
#include "rosearch/core/shard_term.h"
#include "rosearch/journal/record_id.h"
#include "rosearch/wire/record.pb.h"

namespace rosearch::journal {

/// Where a reader may begin: it takes the snapshot, then every record from `resume` on.
struct snapshot_place {
  log_offset at{0};      ///< of the record that holds the snapshot
  log_offset resume{0};  ///< the snapshot includes everything before

  friend bool operator==(const snapshot_place&, const snapshot_place&) = default;
};

/// Finds the newest usable snapshot among records that are shown in any order: of the control
/// stream, or of a shard.
///
/// A shard's snapshot of a term that had been overtaken at that offset is void: a holder that was
/// paused, or whose append was slow, may still have written it. Beginning there would bring back
/// what its successor ended.
class snapshot_finder {
 public:
  void Show(log_offset at, const wire::log_entry& entry);

  /// @return the newest snapshot that none of the records shown makes void; none where there is
  /// none.
  [[nodiscard]] std::optional<snapshot_place> Newest() const;

 private:
  struct candidate {
    snapshot_place place;
    shard_term term;  ///< of epoch 0 in the control stream
  };

  [[nodiscard]] bool IsOvertaken(const candidate& snapshot) const;

  std::map<log_offset, candidate> candidates_;
  std::map<shard_term, log_offset> first_of_term_;
};

}  // namespace rosearch::journal

#endif  // ROSEARCH_JOURNAL_SNAPSHOT_FINDER_H_
