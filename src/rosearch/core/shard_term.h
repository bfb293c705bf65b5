#ifndef ROSEARCH_CORE_SHARD_TERM_H_
#define ROSEARCH_CORE_SHARD_TERM_H_

#include <compare>
#include <cstdint>

#include "rosearch/core/id.h"

namespace rosearch {

/// One holder's time at a shard: the owner of an epoch, or the witness that took that epoch over.
struct shard_term {
  /// @param of_epoch    the epoch.
  /// @param by_witness  whether its witness acts, after its owner.
  constexpr shard_term(epoch_number of_epoch = 0, bool by_witness = false) noexcept  // NOLINT
      : epoch{of_epoch}, taken_over{by_witness} {}

  epoch_number epoch;
  bool taken_over;

  friend constexpr auto operator<=>(const shard_term&, const shard_term&) = default;
};

/// @return a number that orders terms, as messages between shards carry it.
[[nodiscard]] constexpr std::uint64_t TermNumber(const shard_term& term) noexcept {
  return term.epoch * 2 + (term.taken_over ? 1 : 0);
}

/// How new a copy of a shard's state is. Copies of one term differ only in how far they go.
struct replica_version {
  shard_term term;
  std::uint64_t sequence{0};  ///< of the last record that it includes

  friend constexpr auto operator<=>(const replica_version&, const replica_version&) = default;
};

/// @param message  of a kind with the fields `epoch` and `taken_over`.
/// @return the term that it names.
template <typename Message>
[[nodiscard]] shard_term TermOf(const Message& message) {
  return {message.epoch(), message.taken_over()};
}

/// Writes a term into a message of such a kind.
template <typename Message>
void SetTerm(const shard_term& term, Message& message) {
  message.set_epoch(term.epoch);
  message.set_taken_over(term.taken_over);
}

/// @return the version that a message with the field `sequence` besides names.
template <typename Message>
[[nodiscard]] replica_version VersionOf(const Message& message) {
  return {TermOf(message), message.sequence()};
}

/// Writes a version into a message of such a kind.
template <typename Message>
void SetVersion(const replica_version& version, Message& message) {
  SetTerm(version.term, message);
  message.set_sequence(version.sequence);
}

}  // namespace rosearch

#endif  // ROSEARCH_CORE_SHARD_TERM_H_
