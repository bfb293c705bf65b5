#ifndef ROSEARCH_SCHED_STATE_BATCH_H_
#define ROSEARCH_SCHED_STATE_BATCH_H_

#include <cstdint>
#include <string>
#include <vector>

namespace rosearch::sched {

/// A record for the store; the newest record of each key is valid.
struct stored_record {
  std::string key;
  std::string value;  ///< empty: the key is deleted

  friend bool operator==(const stored_record&, const stored_record&) = default;
};

/// Records that are stored atomically.
struct state_batch {
  std::uint64_t number{0};
  std::vector<stored_record> records;

  friend bool operator==(const state_batch&, const state_batch&) = default;
};

}  // namespace rosearch::sched

#endif  // ROSEARCH_SCHED_STATE_BATCH_H_
