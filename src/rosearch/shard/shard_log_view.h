#ifndef ROSEARCH_SHARD_SHARD_LOG_VIEW_H_
#define ROSEARCH_SHARD_SHARD_LOG_VIEW_H_

#include <cstdint>
#include <set>
#include <string>
#include <utility>

#include "rosearch/core/id.h"
#include "rosearch/core/shard_term.h"
#include "rosearch/shard/shard_state.h"
#include "rosearch/wire/record.pb.h"

namespace rosearch {

/// A shard's state as its stream on the log tells it, taken in by offset.
///
/// A paused owner's append may reach the log after its successor has begun to write. Taken in, it
/// would bring back work that the successor has decided otherwise, so a batch of a lower term, or
/// of an author that another has replaced within an epoch, is void.
class shard_log_view {
 public:
  /// @param author  the incarnation that wrote the batch, as text unique to it.
  void OnBatch(const std::string& author, const wire::shard_batch& batch);

  [[nodiscard]] const shard_state& state() const noexcept { return state_; }
  [[nodiscard]] std::uint64_t sequence() const noexcept { return sequence_; }
  [[nodiscard]] epoch_number epoch() const noexcept { return term_.epoch; }
  [[nodiscard]] replica_version version() const noexcept { return {term_, sequence_}; }

  /// @return the newest author, or an empty text where the stream holds nothing.
  [[nodiscard]] const std::string& author() const noexcept { return author_; }

 private:
  void TakeIn(const wire::shard_batch& batch);

  shard_state state_;
  shard_term term_;
  std::uint64_t sequence_{0};
  std::string author_;
  std::set<std::string> replaced_;  ///< authors of this epoch whose batches are void
};

}  // namespace rosearch

#endif  // ROSEARCH_SHARD_SHARD_LOG_VIEW_H_
