#include "rosearch/node/shard_balance.h"

#include <algorithm>
#include <boost/container_hash/hash.hpp>
#include <boost/crc.hpp>
#include <cstddef>
#include <tuple>

namespace rosearch {
namespace {

/// Owners that differ by less are left as they are, so that nothing is moved to and fro.
constexpr std::size_t kWorthMoving = 2;

/// A member's weight for a shard, by highest random weight hashing. The checksum alone would not
/// do: it is linear, so that one member would outweigh the others for every shard.
std::size_t Weight(shard_number shard, const entry_id& entry) {
  boost::crc_32_type crc;
  crc.process_bytes(entry.value().data(), entry.value().size());
  std::size_t weight = shard;
  boost::hash_combine(weight, crc.checksum());
  return weight;
}

}  // namespace

const member& Claimant(shard_number shard, const std::vector<const member*>& live) {
  return **std::ranges::max_element(live, {}, [shard](const member* each) {
    return std::pair{Weight(shard, each->who.entry), each->who.entry};
  });
}

std::vector<party> WitnessCandidates(shard_number shard, const member& self,
                                     const std::vector<const member*>& live) {
  std::vector<std::tuple<bool, bool, std::size_t, party>> ranked;
  for (const auto* const each : live) {
    if (each->who.entry != self.who.entry && each->region == self.region) {
      const bool has_room = each->owned.size() + kWorthMoving <= self.owned.size();
      ranked.emplace_back(each->failure_domain == self.failure_domain, !has_room,
                          Weight(shard, each->who.entry), each->who);
    }
  }
  std::ranges::sort(ranked);
  std::vector<party> candidates;
  candidates.reserve(ranked.size());
  for (const auto& item : ranked) {
    candidates.push_back(std::get<party>(item));
  }
  return candidates;
}

std::optional<shard_move> NextMove(const party& owner,
                                   const std::map<party, std::vector<shard_number>>& owned) {
  if (owned.empty()) {
    return std::nullopt;
  }
  const auto by_count = [](const auto& a, const auto& b) {
    return a.second.size() < b.second.size();
  };
  const auto [fewest, most] = std::ranges::minmax_element(owned, by_count);
  const auto giver = std::ranges::max_element(owned, by_count);
  (void)most;
  if (giver->first != owner || giver->second.size() < fewest->second.size() + kWorthMoving) {
    return std::nullopt;
  }
  return shard_move{giver->second.back(), fewest->first};
}

std::optional<move_step> StepTowards(const shard_rights& rights, const party& to) {
  // The witness of a newer epoch is not the one that renews this holder, or there is none.
  if (rights.epoch() != rights.act_epoch()) {
    return std::nullopt;
  }
  if (rights.WitnessActive()) {
    return rights.witness() == to ? move_step::kGive : move_step::kGiveToWitness;
  }
  // A witness that is named becomes active soon, or the holder itself replaces it. A claim with
  // another one would stop the shard until the first one's promise has run out.
  return rights.witness() ? std::nullopt : std::optional{move_step::kPair};
}

}  // namespace rosearch
