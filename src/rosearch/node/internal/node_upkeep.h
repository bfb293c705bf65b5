#ifndef ROSEARCH_NODE_INTERNAL_NODE_UPKEEP_H_
#define ROSEARCH_NODE_INTERNAL_NODE_UPKEEP_H_

// What is due with time: heartbeats, snapshots, reads.

#include "rosearch/node/internal/node_constants.h"
#include "rosearch/node/node.h"

namespace rosearch {

template <node_ports Ports>
void basic_node<Ports>::Tick(const step_time& at) {
  bool log_up = false;
  {
    const std::scoped_lock lock{cell_.mutex};
    if (cell_.started_at == time_point::min()) {
      cell_.started_at = at.now;
      cell_.balance_at = at.now + internal::kSettleFirst;
      cell_.snapshot_at = at.now + settings_.snapshot_interval;
    }
    SendDueCalls(at.now);
    AskLog(at.now);
    AskVmList(at.now);
    LearnConfigurationFromPeers(at.now);
    if (!cell_.announced && cell_.told_log_end) {
      cell_.announced = true;
      wire::control_record record;
      *record.mutable_announcement() = Announcement();
      AppendControl(std::move(record), at.now);
    }
    if (at.now >= cell_.snapshot_at && LogUp(at.now)) {
      cell_.snapshot_at = at.now + settings_.snapshot_interval;
      const auto live = cell_.members.Live(at.now);
      const bool first = !live.empty() && live.front()->who == settings_.self;
      if (first) {
        for (shard_number number = 0; number < slots_.size(); ++number) {
          cell_.control.Settle(number, cell_.settled[number]);
        }
        wire::control_record record;
        *record.mutable_snapshot() = cell_.control.Snapshot(cell_.reader.next_offset());
        AppendControl(std::move(record), at.now);
      }
    }
    std::erase_if(cell_.publishes, [&](auto& item) {
      if (at.now < item.second.deadline) {
        return false;
      }
      item.second.done(error{error_kind::kLogUnavailable, "not seen on the log in time"});
      return true;
    });
    PumpAppender(at.now);
    log_up = LogUp(at.now);
  }
  TellPeers(at);
  for (shard_number number = 0; number < slots_.size(); ++number) {
    WithShard(number, at, [&](shard& value, shard_output& out) {
      value.SetLogUp(log_up);
      KeepSnapshot(*slots_[number], at);
      value.Tick(at, out);
      {
        const std::scoped_lock lock{cell_.mutex};
        cell_.settled[number] = value.rights().settled_epoch();
      }
      ContinueMove(*slots_[number], at, out);
      StopShard(*slots_[number], at, out);
    });
  }
  Balance(at);
  Beat(at.now);
  {
    const std::scoped_lock lock{cell_.mutex};
    PumpAppender(at.now);
  }
  DrainInbox(at);
}

template <node_ports Ports>
wire::entry_announcement basic_node<Ports>::Announcement() const {
  wire::entry_announcement announcement;
  *announcement.mutable_who() = ToWire(settings_.self);
  announcement.set_region(settings_.region.value());
  announcement.set_failure_domain(settings_.failure_domain.value());
  announcement.set_peer_address(settings_.peer_address);
  announcement.set_http_address(settings_.http_address);
  announcement.set_leaving(cell_.stopping);
  return announcement;
}

template <node_ports Ports>
void basic_node<Ports>::LearnConfigurationFromPeers(time_point now) {
  // The log is down since this process began. Whatever the highest of its peers has is in force:
  // the log took it, and no peer forgets it.
  const bool waited = now - cell_.started_at >= settings_.peer_config_wait;
  if (!cell_.config_known && waited && cell_.control.configuration().version() > 0) {
    cell_.config_known = true;
  }
}

/// A peer that reads the log learns of a version there within a moment. Only one that says it is
/// still behind after that is sent the document: sent to everybody with every publish, 690 changes
/// a day of 690 rules each would alone use up a node's bytes.
template <node_ports Ports>
bool basic_node<Ports>::OffersConfiguration(const entry_id& entry, const member& known,
                                            time_point now) {
  const auto version = cell_.control.configuration().version();
  if (std::exchange(cell_.offered_version, version) != version) {
    cell_.offered_since = now;
    cell_.offered_at.clear();
  }
  auto& offered_at = cell_.offered_at[entry];
  const bool behind =
      known.version < version && known.last_heard >= cell_.offered_since + internal::kLogTells;
  if (!behind || now < offered_at + internal::kOfferAgain) {
    return false;
  }
  offered_at = now;
  return true;
}

template <node_ports Ports>
void basic_node<Ports>::Beat(time_point now) {
  {
    const std::scoped_lock lock{cell_.mutex};
    if (now < cell_.beat_at) {
      return;
    }
    cell_.beat_at = now + settings_.heartbeat;
  }
  wire::heartbeat beat;
  std::map<std::string, resources> usage;
  for (const auto& item : slots_) {
    const std::scoped_lock lock{item->mutex};
    if (const auto summary = item->value.Summary(now)) {
      *beat.add_owned() = *summary;
      for (const auto& [customer, amount] : item->value.Usage()) {
        auto& sum = usage[customer.value()];
        sum = sum + amount;
      }
    }
  }
  std::vector<wire::customer_usage> own_usage;
  for (const auto& [customer, amount] : usage) {
    auto& row = own_usage.emplace_back();
    row.set_customer(customer);
    *row.mutable_committed() = internal::ToWire(amount);
  }
  for (const auto& item : slots_) {
    const std::scoped_lock lock{item->mutex};
    for (const auto& summary : beat.owned()) {
      item->value.OnSummary(summary, settings_.region, {now, 0});
    }
    item->value.OnUsage(settings_.self.entry, own_usage);
  }
  const std::scoped_lock lock{cell_.mutex};
  for (auto& row : cell_.usage_told.Next(usage, now)) {
    *beat.add_usage() = std::move(row);
  }
  *beat.mutable_announcement() = Announcement();
  const auto& record = cell_.control.configuration().record();
  beat.set_ready(cell_.config_known && !cell_.stopping);
  beat.set_config_version(record.version());
  beat.set_control_offset(cell_.reader.next_offset());
  for (const auto& item : cell_.control.drains()) {
    *beat.add_drains() = item.second;
  }
  for (const auto& summary : beat.owned()) {
    (void)cell_.view.OnSummary(summary, settings_.region);
    auto& route = cell_.routes[summary.shard()];
    const auto term = TermNumber(TermOf(summary));
    if (term >= route.first) {
      route = {term, settings_.self.entry};
    }
  }
  cell_.farewells += cell_.stopping ? 1 : 0;
  for (const auto& [entry, known] : cell_.members.all()) {
    if (entry == settings_.self.entry || known.peer_address.empty()) {
      continue;
    }
    wire::peer_message message;
    *message.mutable_beat() = beat;
    if (OffersConfiguration(entry, known, now)) {
      *message.mutable_beat()->mutable_configuration() = record;
    }
    *message.mutable_from() = ToWire(settings_.self);
    ports_.SendPeer(known.peer_address, message);
  }
}

/// A shard's records are forgotten after the log's retention: whoever reads the stream later needs
/// a snapshot that is younger. Shards are spread over the interval so that they don't write
/// together.
template <node_ports Ports>
void basic_node<Ports>::KeepSnapshot(slot& item, const step_time& at) {
  if (item.snapshot_at == time_point{}) {
    const auto share = settings_.snapshot_interval / static_cast<duration::rep>(slots_.size());
    item.snapshot_at = at.now + settings_.snapshot_interval + share * item.value.number();
  }
  if (at.now >= item.snapshot_at) {
    item.snapshot_at = at.now + settings_.snapshot_interval;
    item.value.RequestLogSnapshot();
  }
}

}  // namespace rosearch

#endif  // ROSEARCH_NODE_INTERNAL_NODE_UPKEEP_H_
