#include "rosearch/node/control_state.h"

namespace rosearch {

control_state::control_state(shard_number shards) {
  for (shard_number number = 0; number < shards; ++number) {
    chains_.emplace_back(number);
  }
}

control_change control_state::Apply(const wire::control_record& record) {
  control_change change;
  switch (record.body_case()) {
    case wire::control_record::kAnnouncement:
      entries_[record.announcement().who().entry()] = record.announcement();
      change.announcement = record.announcement();
      break;
    case wire::control_record::kAssignment: {
      const auto next = FromWire(record.assignment());
      if (next.shard < chains_.size() && chains_[next.shard].Apply(next)) {
        change.assignments.push_back(next);
      }
      break;
    }
    case wire::control_record::kConfiguration:
      change.configuration = config_.Apply(record.configuration());
      break;
    case wire::control_record::kDrain:
      if (AdoptDrain(record.drain())) {
        change.drains.push_back(record.drain());
      }
      break;
    case wire::control_record::kSnapshot:
      ApplySnapshot(record.snapshot(), change);
      break;
    case wire::control_record::BODY_NOT_SET:
      break;
  }
  return change;
}

void control_state::ApplySnapshot(const wire::control_snapshot& snapshot, control_change& change) {
  for (const auto& entry : snapshot.entries()) {
    entries_.try_emplace(entry.who().entry(), entry);
  }
  for (const auto& record : snapshot.assignments()) {
    const auto next = FromWire(record);
    if (next.shard >= chains_.size()) {
      continue;
    }
    auto& chain = chains_[next.shard];
    if (chain.Load(next) || (next.epoch > chain.epoch() && chain.Apply(next))) {
      change.assignments.push_back(next);
    }
  }
  if (snapshot.has_configuration()) {
    config_.AdoptSnapshot(snapshot.configuration());
  }
  for (const auto& order : snapshot.drains()) {
    if (!drains_.contains(order.vm()) && AdoptDrain(order)) {
      change.drains.push_back(order);
    }
  }
}

bool control_state::AdoptConfiguration(const wire::configuration_record& record) {
  return config_.Adopt(record);
}

bool control_state::AdoptDrain(const wire::drain_order& order) {
  auto& known = drains_[order.vm()];
  const bool changes = known.leaving() != order.leaving();
  known = order;
  return changes;
}

wire::control_snapshot control_state::Snapshot(std::uint64_t upto_offset) const {
  wire::control_snapshot snapshot;
  snapshot.set_upto_offset(upto_offset);
  for (const auto& [name, entry] : entries_) {
    *snapshot.add_entries() = entry;
  }
  for (const auto& chain : chains_) {
    for (const auto& [epoch, value] : chain.history()) {
      *snapshot.add_assignments() = ToWire(value);
    }
  }
  *snapshot.mutable_configuration() = config_.record();
  for (const auto& [vm, order] : drains_) {
    *snapshot.add_drains() = order;
  }
  return snapshot;
}

std::optional<assignment> control_state::Newest(shard_number shard) const {
  return chains_.at(shard).newest();
}

void control_state::Settle(shard_number shard, epoch_number epoch) {
  chains_.at(shard).Settle(epoch);
}

}  // namespace rosearch
