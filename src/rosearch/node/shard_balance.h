#ifndef ROSEARCH_NODE_SHARD_BALANCE_H_
#define ROSEARCH_NODE_SHARD_BALANCE_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "rosearch/core/id.h"
#include "rosearch/node/member_table.h"
#include "rosearch/ownership/shard_rights.h"

namespace rosearch {

/// @param live  members that may own shards of the region, at least one.
/// @return who should claim a shard that nobody owns: the same at every entry that knows the same
///   members, and spread evenly over them.
[[nodiscard]] const member& Claimant(shard_number shard, const std::vector<const member*>& live);

/// @param self  a member; the best witness for its shards comes first.
/// @return the other members, those of another failure domain before those of its own, then those
/// who
///   own far fewer shards, because a shard moves by way of its witness; otherwise in an order that
///   differs from shard to shard so that no member is everybody's witness.
[[nodiscard]] std::vector<party> WitnessCandidates(shard_number shard, const member& self,
                                                   const std::vector<const member*>& live);

/// A shard that should move so that load evens out.
struct shard_move {
  shard_number shard{0};
  party to;

  friend bool operator==(const shard_move&, const shard_move&) = default;
};

/// @param owned  shards of one region by owner; members without shards have an empty row.
/// @return the move that the given owner should begin, or none. At most one owner is told to move
/// at
///   a time, and only while the difference is two or more, so that nothing is moved to and fro.
[[nodiscard]] std::optional<shard_move> NextMove(
    const party& owner, const std::map<party, std::vector<shard_number>>& owned);

/// What brings a shard nearer to an entry, the quickest first.
enum class move_step {
  kGive,           ///< the entry is its active witness
  kPair,           ///< there is no witness: the entry becomes the witness first
  kGiveToWitness,  ///< by way of the active witness, which then takes the entry as its own
};

/// @param rights  of the present holder.
/// @param to      the entry that the shard should move to.
/// @return the step to take, or none while another epoch or another pair is under way.
[[nodiscard]] std::optional<move_step> StepTowards(const shard_rights& rights, const party& to);

}  // namespace rosearch

#endif  // ROSEARCH_NODE_SHARD_BALANCE_H_
