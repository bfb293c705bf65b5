#ifndef ROSEARCH_OWNERSHIP_ASSIGNMENT_CHAIN_H_
#define ROSEARCH_OWNERSHIP_ASSIGNMENT_CHAIN_H_

#include <map>
#include <optional>

#include "rosearch/ownership/assignment.h"

namespace rosearch {

/// The assignments of one shard that are valid, in the order of the log. Every reader of the same
/// records accepts and refuses the same ones.
class assignment_chain {
 public:
  /// @param shard  the shard whose records it takes; others are void here.
  explicit assignment_chain(shard_number shard) noexcept : shard_{shard} {}

  /// Starts from a snapshot. It must hold every assignment of the writer's `history()`: with the
  /// newest alone, a claimant would not know whom else to ask while that epoch was never in use.
  /// @return whether `oldest` was taken; it is not where the chain has already begun.
  bool Load(const assignment& oldest) {
    if (newest() || !IsWellFormed(oldest)) return false;
    history_.emplace(oldest.epoch, oldest);
    return true;
  }

  /// @return whether the next record in log order is valid and is now the newest.
  bool Apply(const assignment& next) {
    if (!IsWellFormed(next) || next.previous_epoch != epoch()) return false;
    history_.emplace(next.epoch, next);
    return true;
  }

  /// Forgets everything below an epoch at which somebody certainly held the right.
  void Settle(epoch_number settled) {
    if (settled > epoch()) return;
    history_.erase(history_.begin(), history_.lower_bound(settled));
  }

  /// @return the epoch in force, zero before the first assignment.
  [[nodiscard]] epoch_number epoch() const noexcept {
    return history_.empty() ? 0 : history_.rbegin()->first;
  }

  /// @return the assignment in force.
  [[nodiscard]] std::optional<assignment> newest() const {
    if (history_.empty()) return std::nullopt;
    return history_.rbegin()->second;
  }

  /// @return what a snapshot has to keep, by epoch.
  [[nodiscard]] const std::map<epoch_number, assignment>& history() const noexcept {
    return history_;
  }

 private:
  [[nodiscard]] bool IsWellFormed(const assignment& value) const {
    return value.shard == shard_ && value.epoch == value.previous_epoch + 1 &&
           !value.owner.entry.empty() && value.witness != value.owner;
  }

  shard_number shard_;
  std::map<epoch_number, assignment> history_;
};

}  // namespace rosearch

#endif  // ROSEARCH_OWNERSHIP_ASSIGNMENT_CHAIN_H_
