#include "rosearch/admission/shed_lease.h"

#include <algorithm>

namespace rosearch::admission {

void shed_lease::Close(const std::string& queue, std::uint64_t config_version) {
  const auto [found, inserted] = queues_.try_emplace(queue);
  auto& held = found->second;
  if (inserted) {
    held.config_version = config_version;
    dirty_ = true;
  } else if (held.config_version != config_version) {
    return;
  }
  held.closed = true;
  // Jobs may have been accepted since an earlier closing: the next window needs a new filter.
  ++version_;
}

void shed_lease::Reopen(const std::string& queue) {
  const auto found = queues_.find(queue);
  if (found != queues_.end() && found->second.closed) {
    found->second.closed = false;
    ++version_;
  }
}

void shed_lease::ReopenAll() {
  for (auto& [name, queue] : queues_) {
    version_ += queue.closed ? 1 : 0;
    queue.closed = false;
  }
}

void shed_lease::Restore(const std::vector<shed_record>& queues, time_point now) {
  for (const auto& record : queues) {
    auto& queue = queues_[record.queue];
    queue.config_version = record.config_version;
    queue.recorded = true;
    queue.restored = true;
    queue.held_until = now + kTakeoverHold;
  }
}

bool shed_lease::IsHeld(std::string_view queue, std::uint64_t config_version,
                        time_point now) const {
  return std::ranges::any_of(queues_, [&](const auto& each) {
    const auto& [name, held] = each;
    return Holds(held, now) && (name == queue || held.config_version != config_version);
  });
}

bool shed_lease::IsClosed(std::string_view queue) const {
  const auto found = queues_.find(queue);
  return found != queues_.end() && found->second.closed;
}

bool shed_lease::HasClosedQueues() const {
  return std::ranges::any_of(queues_, [](const auto& each) { return each.second.closed; });
}

bool shed_lease::HasRecord(time_point now) {
  const auto dropped =
      std::erase_if(queues_, [&](const auto& each) { return !Holds(each.second, now); });
  dirty_ = dirty_ || dropped > 0;
  return dirty_;
}

std::vector<shed_record> shed_lease::TakeRecord(std::uint64_t batch) {
  std::vector<shed_record> records;
  for (auto& [name, queue] : queues_) {
    records.push_back({name, queue.config_version});
    if (queue.batch == 0) {
      queue.batch = batch;
    }
  }
  dirty_ = false;
  record_batch_ = batch;
  return records;
}

void shed_lease::OnStored(std::uint64_t batch) {
  for (auto& [name, queue] : queues_) {
    if (!queue.recorded && queue.batch != 0 && queue.batch <= batch) {
      queue.recorded = true;
      ++version_;
    }
  }
}

void shed_lease::OnNotStored(std::uint64_t batch) {
  for (auto& [name, queue] : queues_) {
    if (!queue.recorded && queue.batch == batch) {
      queue.batch = 0;
    }
  }
  dirty_ = dirty_ || batch == record_batch_;
}

void shed_lease::OnStoreConfirmed(time_point asked_at) {
  confirmed_at_ = std::max(confirmed_at_, asked_at);
}

bool shed_lease::NeedsConfirmation(time_point now) const {
  return HasClosedQueues() && now - confirmed_at_ >= kConfirmationValidity / 3;
}

shed_grant shed_lease::Grant(time_point now) {
  const auto until = std::min(now + kSendValidity, confirmed_at_ + kConfirmationValidity);
  shed_grant grant;
  for (auto& [name, queue] : queues_) {
    queue.granted = until > now && queue.closed && queue.recorded;
    if (queue.granted) {
      grant.queues.push_back(name);
      queue.held_until = std::max(queue.held_until, until + kWindowValidity + kClockMargin);
    }
  }
  if (!grant.queues.empty()) {
    grant.version = version_;
    grant.send_until = until;
  }
  return grant;
}

void shed_lease::OnReplaced(time_point now) {
  for (auto& [name, queue] : queues_) {
    if (!queue.granted && !queue.restored) {
      queue.held_until = std::min(queue.held_until, now + kWindowValidity + kClockMargin);
    }
  }
}

}  // namespace rosearch::admission
