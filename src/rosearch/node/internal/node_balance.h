#ifndef ROSEARCH_NODE_INTERNAL_NODE_BALANCE_H_
#define ROSEARCH_NODE_INTERNAL_NODE_BALANCE_H_

// Who owns which shard: claims, moves and the planned stop.

#include "rosearch/node/internal/node_constants.h"
#include "rosearch/node/node.h"

namespace rosearch {

template <node_ports Ports>
void basic_node<Ports>::TellPeers(const step_time& at) {
  std::vector<shard_peers> peers(slots_.size());
  {
    const std::scoped_lock lock{cell_.mutex};
    if (at.now < cell_.tell_peers_at) {
      return;
    }
    cell_.tell_peers_at = at.now + internal::kTellPeers;
    const auto live = cell_.members.Live(at.now);
    for (shard_number number = 0; number < slots_.size(); ++number) {
      peers[number] = PeersFor(number, live, at.now);
    }
  }
  for (shard_number number = 0; number < slots_.size(); ++number) {
    const std::scoped_lock lock{slots_[number]->mutex};
    slots_[number]->value.SetPeers(std::move(peers[number]));
  }
}

template <node_ports Ports>
shard_peers basic_node<Ports>::PeersFor(shard_number number, const std::vector<const member*>& live,
                                        time_point now) const {
  shard_peers peers;
  const auto* const self = cell_.members.Find(settings_.self.entry);
  if (self == nullptr) {
    return peers;
  }
  peers.standbys = WitnessCandidates(number, *self, live);
  for (const auto& [entry, known] : cell_.members.all()) {
    const bool is_live = cell_.members.IsLive(known.who, now);
    if (known.who == settings_.self || known.region != self->region) {
      continue;
    }
    if (is_live || cell_.members.IsListed(known.who)) {
      peers.sources.push_back(known.who);
    }
    const bool serves =
        std::ranges::find(known.owned, number, &wire::shard_summary::shard) != known.owned.end();
    peers.served_elsewhere = peers.served_elsewhere || (is_live && serves);
  }
  return peers;
}

template <node_ports Ports>
void basic_node<Ports>::Balance(const step_time& at) {
  std::vector<member> copies;
  bool claims = false;
  {
    const std::scoped_lock lock{cell_.mutex};
    if (at.now < cell_.balance_at || cell_.stopping) {
      return;
    }
    cell_.balance_at = at.now + settings_.balance;
    for (const auto* const each : cell_.members.Live(at.now)) {
      if (each->region == settings_.region) {
        copies.push_back(*each);
      }
    }
    claims = cell_.config_known && LogUp(at.now);
  }
  std::vector<const member*> live;
  std::map<party, std::vector<shard_number>> owned;
  for (const auto& each : copies) {
    live.push_back(&each);
    auto& row = owned[each.who];
    for (const auto& summary : each.owned) {
      row.push_back(summary.shard());
    }
  }
  if (live.empty()) {
    return;
  }
  const auto self = std::ranges::find(copies, settings_.self, &member::who);
  if (self == copies.end()) {
    return;
  }
  bool moving = false;
  auto& mine = owned[settings_.self];
  mine.clear();
  for (shard_number number = 0; number < slots_.size(); ++number) {
    if (settings_.region_of_shard[number] != settings_.region) {
      continue;
    }
    BalanceShard(number, live, WitnessCandidates(number, *self, live), claims, at);
    const std::scoped_lock lock{slots_[number]->mutex};
    if (slots_[number]->value.Serving(at.now)) {
      mine.push_back(number);
    }
    moving = moving || slots_[number]->move.has_value();
  }
  const auto move = claims && !moving ? NextMove(settings_.self, owned) : std::nullopt;
  if (!move) {
    return;
  }
  BeginMove(mine, move->to, at);
}

template <node_ports Ports>
void basic_node<Ports>::BeginMove(const std::vector<shard_number>& mine, const party& to,
                                  const step_time& at) {
  std::optional<std::pair<move_step, shard_number>> best;
  for (const auto number : mine) {
    const std::scoped_lock lock{slots_[number]->mutex};
    const auto step = StepTowards(slots_[number]->value.rights(), to);
    if (step && (!best || std::pair{*step, number} < *best)) {
      best = {*step, number};
    }
  }
  if (!best) {
    return;
  }
  WithShard(best->second, at, [&](shard& value, shard_output& out) {
    // The lock was free in between: what was found may no longer hold.
    const auto step = StepTowards(value.rights(), to);
    if (!step) {
      return;
    }
    auto& item = *slots_[best->second];
    // Replacing an active witness would stop the shard until that witness's promise has run out. By
    // way of the present witness, which then takes the one with few shards as its own, nothing
    // stops.
    const bool by_witness = *step == move_step::kGiveToWitness;
    const auto until = at.now + settings_.move_limit;
    item.move = by_witness ? pending_move{*value.rights().witness(), to, until}
                           : pending_move{to, settings_.self, until};
    LOG(INFO) << "event=shard_move shard=" << best->second << " to=" << item.move->to;
    if (*step == move_step::kPair) {
      value.BeginClaimWith(to, at, out);
    }
  });
}

template <node_ports Ports>
void basic_node<Ports>::BalanceShard(shard_number number, const std::vector<const member*>& live,
                                     const std::vector<party>& candidates, bool claims,
                                     const step_time& at) {
  bool orphaned = false;
  bool served = false;
  {
    const std::scoped_lock lock{cell_.mutex};
    const auto newest = cell_.control.Newest(number);
    const auto lists = [number](const member* each) {
      return std::ranges::find(each->owned, number, &wire::shard_summary::shard) !=
             each->owned.end();
    };
    served = std::ranges::any_of(live, lists);
    const auto gone = [&](const party& who) {
      return who != settings_.self && !cell_.members.IsListed(who) &&
             !cell_.members.IsLive(who, at.now);
    };
    orphaned = !newest || (gone(newest->owner) && (!newest->witness || gone(*newest->witness)));
  }
  const bool claimant = Claimant(number, live).who == settings_.self;
  WithShard(number, at, [&](shard& value, shard_output& out) {
    auto& item = *slots_[number];
    value.SetCandidates(candidates);
    if (served || value.Serving(at.now) || item.served_at == time_point{}) {
      item.served_at = at.now;
    }
    const bool due = orphaned || at.now - item.served_at >= internal::kUnservedFor;
    const bool wanted = claims && claimant && due && at.now >= item.next_claim;
    if (!wanted || value.Serving(at.now) || !value.rights().IsClaimable(at.now)) {
      return;
    }
    item.next_claim = at.now + internal::kClaimAgain;
    value.BeginClaim(at, out);
  });
}

/// A shard moves to its witness, which has its state, by a record on the log. Calls are sent
/// elsewhere only while the last requests in flight end and until the new owner has seen the
/// record.
template <node_ports Ports>
void basic_node<Ports>::ContinueMove(slot& item, const step_time& at, shard_output& out) {
  if (!item.move) {
    return;
  }
  auto& value = item.value;
  auto& move = *item.move;
  if (at.now >= move.until || !value.Serving(at.now) || !value.LogUp()) {
    value.EndDrain();
    item.move.reset();
    return;
  }
  if (move.sent) {
    return;
  }
  if (value.rights().witness() != move.to || !value.CanTransfer(at.now)) {
    value.EndDrain();
    return;
  }
  value.BeginDrain();
  if (value.OpenRequests() != 0 || !value.WitnessHasAll()) {
    return;
  }
  move.sent = value.BeginTransfer(move.next_witness, at, out);
  move.until = std::min(move.until, at.now + internal::kTransferWait);
}

template <node_ports Ports>
void basic_node<Ports>::BeginStop(const step_time& at) {
  const std::scoped_lock lock{cell_.mutex};
  if (cell_.stopping) {
    return;
  }
  LOG(INFO) << "event=stopping";
  cell_.stopping = true;
  cell_.stop_at = at.now;
  cell_.beat_at = at.now;
  cell_.members.OnAnnouncement(Announcement());
  wire::control_record record;
  *record.mutable_announcement() = Announcement();
  AppendControl(std::move(record), at.now);
}

template <node_ports Ports>
void basic_node<Ports>::StopShard(slot& item, const step_time& at, shard_output& out) {
  bool alone = false;
  {
    const std::scoped_lock lock{cell_.mutex};
    if (!cell_.stopping) {
      return;
    }
    alone =
        cell_.members.Live(at.now).empty() || at.now >= cell_.stop_at + internal::kWaitForWitness;
  }
  item.value.Leave(alone, at, out);
}

template <node_ports Ports>
bool basic_node<Ports>::Stopped() const {
  for (const auto& item : slots_) {
    const std::scoped_lock lock{item->mutex};
    if (!item->value.HasLeft()) {
      return false;
    }
  }
  const std::scoped_lock lock{cell_.mutex};
  return cell_.stopping && cell_.calls.size() == 0 && cell_.farewells >= internal::kFarewells;
}

}  // namespace rosearch

#endif  // ROSEARCH_NODE_INTERNAL_NODE_BALANCE_H_
