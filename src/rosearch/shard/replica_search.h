#ifndef ROSEARCH_SHARD_REPLICA_SEARCH_H_
#define ROSEARCH_SHARD_REPLICA_SEARCH_H_

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

#include "rosearch/core/shard_term.h"
#include "rosearch/core/time.h"
#include "rosearch/ownership/party.h"
#include "rosearch/shard/shard_state.h"
#include "rosearch/wire/peer.pb.h"

namespace rosearch {

/// A shard's state as an entry or the log has it.
struct found_replica {
  replica_version version;
  shard_state state;
};

/// A claimant's question to all entries for their newest state of a shard. The log alone may miss
/// what the last holders told while it was down; a holder that is gone left that with an entry.
///
/// To be begun once the claimant holds the right: nobody changes the shard any more.
class replica_search {
 public:
  /// Begins anew.
  /// @param number  tells the answers to this search from those to an earlier one.
  void Start(std::uint64_t number, time_point now);

  /// @param sources  the other entries that may still answer.
  void SetSources(std::vector<party> sources) { sources_ = std::move(sources); }

  /// @return whom to ask now.
  [[nodiscard]] std::vector<party> TakeDue(time_point now);

  void OnAnswer(const party& from, const wire::replica_answer& answer, time_point now);

  /// @return whether all sources have answered, or have had the time to; more of it while nobody
  ///     has.
  [[nodiscard]] bool IsDone(time_point now) const;

  /// @return sources that haven't answered.
  [[nodiscard]] std::size_t Missing() const;
  [[nodiscard]] std::size_t Answered() const noexcept { return answered_.size(); }
  [[nodiscard]] std::uint64_t number() const noexcept { return number_; }

  /// @return the newest state that was found, and who has it.
  [[nodiscard]] const std::optional<found_replica>& best() const noexcept { return best_; }
  [[nodiscard]] const party& best_holder() const noexcept { return best_holder_; }

 private:
  std::uint64_t number_{0};
  time_point wait_until_{};
  time_point ask_at_{};
  std::vector<party> sources_;
  std::set<party> answered_;
  std::optional<found_replica> best_;
  party best_holder_;
};

}  // namespace rosearch

#endif  // ROSEARCH_SHARD_REPLICA_SEARCH_H_
