#ifndef ROSEARCH_OWNERSHIP_ASSIGNMENT_H_
#define ROSEARCH_OWNERSHIP_ASSIGNMENT_H_

#include <compare>
#include <optional>

#include "rosearch/core/id.h"
#include "rosearch/ownership/party.h"
#include "rosearch/wire/record.pb.h"

namespace rosearch {

/// Who owns a shard, who is its witness, and who decides between them, at one epoch.
struct assignment {
  shard_number shard{};
  epoch_number epoch{};
  epoch_number previous_epoch{};
  party owner;
  std::optional<party> witness;
  std::optional<party> arbiter{};

  friend auto operator<=>(const assignment&, const assignment&) = default;
};

/// @return the assignment that a record holds; an empty entry means none.
[[nodiscard]] inline assignment FromWire(const wire::shard_assignment& from) {
  assignment to{from.shard(), from.epoch(), from.previous_epoch(), FromWire(from.owner()), {}};
  if (!from.witness().entry().empty()) to.witness = FromWire(from.witness());
  if (!from.arbiter().entry().empty()) to.arbiter = FromWire(from.arbiter());
  return to;
}

/// @return the assignment as the log carries it.
[[nodiscard]] inline wire::shard_assignment ToWire(const assignment& from) {
  wire::shard_assignment to;
  to.set_shard(from.shard);
  to.set_epoch(from.epoch);
  to.set_previous_epoch(from.previous_epoch);
  *to.mutable_owner() = ToWire(from.owner);
  if (from.witness) *to.mutable_witness() = ToWire(*from.witness);
  if (from.arbiter) *to.mutable_arbiter() = ToWire(*from.arbiter);
  return to;
}

}  // namespace rosearch

#endif  // ROSEARCH_OWNERSHIP_ASSIGNMENT_H_
