#include "rosearch/node/member_table.h"

#include <utility>

namespace rosearch {

member_table::member_table(party self, duration silent_after)
    : self_{std::move(self)}, silent_after_{silent_after} {
  Watch(self_);
}

void member_table::OnAnnouncement(const wire::entry_announcement& announcement) {
  const auto who = FromWire(announcement.who());
  if (who.entry == self_.entry && who != self_) {
    return;
  }
  auto& known = members_[who.entry];
  if (known.who.incarnation != who.incarnation) {
    // The log may still tell of a run that a heartbeat has shown to be over.
    if (known.last_heard != time_point::min() && IsListed(known.who) && !IsListed(who)) {
      return;
    }
    known = {};
  }
  known.who = who;
  known.region = region_id{announcement.region()};
  known.failure_domain = failure_domain_id{announcement.failure_domain()};
  known.peer_address = announcement.peer_address();
  known.http_address = announcement.http_address();
  known.leaving = known.leaving || announcement.leaving();
  Watch(who);
}

bool member_table::OnHeartbeat(const wire::heartbeat& beat, time_point now) {
  const entry_id entry{beat.announcement().who().entry()};
  const auto before = members_.find(entry);
  const bool is_new = before == members_.end() ||
                      before->second.who != FromWire(beat.announcement().who()) ||
                      before->second.last_heard == time_point::min();
  OnAnnouncement(beat.announcement());
  auto& known = members_[entry];
  if (known.who != FromWire(beat.announcement().who())) {
    return false;
  }
  known.ready = beat.ready();
  known.version = beat.config_version();
  known.last_heard = now;
  known.owned.assign(beat.owned().begin(), beat.owned().end());
  return is_new;
}

void member_table::OnVmList(const std::vector<wire::vm_record>& entries, time_point asked_at,
                            time_point now) {
  listed_.clear();
  for (const auto& vm : entries) {
    const party who{entry_id{vm.vm()}, vm.instance()};
    listed_.insert(who);
    auto& known = members_[who.entry];
    if (known.peer_address.empty() && who.entry != self_.entry) {
      known.who = who;
      known.region = region_id{vm.region()};
      known.failure_domain = failure_domain_id{vm.failure_domain()};
      known.peer_address = vm.address();
    }
    if (known.who == who && vm.leaving()) {
      known.leaving = true;
    }
  }
  for (const auto& who : watched_) {
    if (listed_.contains(who)) {
      absent_.erase(who);
      continue;
    }
    const auto [item, is_first] = absent_.try_emplace(who, absence{who, now, asked_at});
    item->second.asked_at = asked_at;
  }
}

void member_table::Watch(const party& who) { watched_.insert(who); }

std::vector<const member*> member_table::Live(time_point now) const {
  std::vector<const member*> live;
  for (const auto& [entry, known] : members_) {
    if (!known.leaving && IsLive(known.who, now)) {
      live.push_back(&known);
    }
  }
  return live;
}

bool member_table::IsLive(const party& who, time_point now) const {
  if (who == self_) {
    return true;
  }
  const auto found = members_.find(who.entry);
  return found != members_.end() && found->second.who == who &&
         found->second.last_heard != time_point::min() &&
         now - found->second.last_heard <= silent_after_;
}

std::vector<absence> member_table::Absent() const {
  std::vector<absence> all;
  all.reserve(absent_.size());
  for (const auto& [who, item] : absent_) {
    all.push_back(item);
  }
  return all;
}

const member* member_table::Find(const entry_id& entry) const {
  const auto found = members_.find(entry);
  return found == members_.end() ? nullptr : &found->second;
}

std::optional<std::string> member_table::AddressOf(const entry_id& entry) const {
  const auto* const known = Find(entry);
  if (known == nullptr || known->peer_address.empty()) {
    return std::nullopt;
  }
  return known->peer_address;
}

}  // namespace rosearch
