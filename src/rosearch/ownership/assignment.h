#ifndef ROSEARCH_OWNERSHIP_ASSIGNMENT_H_
#define ROSEARCH_OWNERSHIP_ASSIGNMENT_H_

#include <compare>
#include <optional>

#include "rosearch/core/id.h"
#include "rosearch/ownership/party.h"
#include "rosearch/wire/record.pb.h"

namespace rosearch {

/// Who owns a shard, and who is its witness, at one epoch.
struct assignment {
  shard_number shard{};
  epoch_number epoch{};
  epoch_number previous_epoch{};
  party owner;
  std::optional<party> witness;

  friend auto operator<=>(const assignment&, const assignment&) = default;
};

/// @return the assignment that a record holds; an empty witness entry means none.
[[nodiscard]] inline assignment FromWire(const wire::shard_assignment& from) {
  assignment to{from.shard(), from.epoch(), from.previous_epoch(), FromWire(from.owner()), {}};
  if (!from.witness().entry().empty()) to.witness = FromWire(from.witness());
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
  return to;
}

}  // namespace rosearch

#endif  // ROSEARCH_OWNERSHIP_ASSIGNMENT_H_
