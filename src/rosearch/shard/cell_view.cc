#include "rosearch/shard/cell_view.h"

#include <algorithm>
#include <limits>
#include <tuple>

#include "rosearch/capacity/amounts.h"

namespace rosearch {
namespace {

using internal::FromWire;

/// How many tasks of a size a room holds at most; the sum of several VMs' room may hold fewer.
std::uint32_t CountThatFit(const resources& needs, const resources& room) noexcept {
  auto count = std::numeric_limits<std::int64_t>::max();
  const auto limit = [&count](std::int64_t need, std::int64_t have) {
    if (need > 0) {
      count = std::min(count, have / need);
    }
  };
  limit(needs.processors_milli, room.processors_milli);
  limit(needs.memory_mb, room.memory_mb);
  limit(needs.accelerators, room.accelerators);
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(count, 0, 1'000'000));
}

}  // namespace

bool cell_view::OnSummary(const wire::shard_summary& summary, const region_id& region) {
  const auto term = TermNumber(rosearch::TermOf(summary));
  auto& known = shards_[summary.shard()];
  if (term < known.term) {
    return false;
  }
  const bool is_new = term > known.term;
  known = {summary,
           region,
           FromWire(summary.largest_room()),
           FromWire(summary.total_room()),
           summary.free_slots(),
           term};
  return is_new;
}

void cell_view::OnUsage(const entry_id& entry, const std::vector<wire::customer_usage>& usage) {
  auto& known = usage_[entry];
  known.clear();
  for (const auto& row : usage) {
    known[row.customer()] = FromWire(row.committed());
  }
}

void cell_view::ForgetEntry(const entry_id& entry) { usage_.erase(entry); }

void cell_view::OnAsked(shard_number shard, const resources& needs) {
  const auto found = shards_.find(shard);
  if (found != shards_.end()) {
    found->second.total = found->second.total - needs;
  }
}

void cell_view::OnRefused(shard_number shard) {
  const auto found = shards_.find(shard);
  if (found != shards_.end()) {
    found->second.largest = {};
    found->second.total = {};
  }
}

std::optional<shard_number> cell_view::ChooseFor(const resources& needs, shard_number home,
                                                 const region_id& region,
                                                 const std::set<shard_number>& avoid) const {
  std::optional<shard_number> best;
  std::tuple<bool, bool, std::int64_t, std::int64_t> best_rank;
  for (const auto& [number, known] : shards_) {
    if (avoid.contains(number) || !needs.FitsIn(known.largest) || !needs.FitsIn(known.total)) {
      continue;
    }
    const auto accelerators = needs.accelerators > 0 ? known.total.accelerators : 0;
    const std::tuple rank{number == home, known.region == region, accelerators,
                          known.total.processors_milli};
    if (!best || rank > best_rank) {
      best = number;
      best_rank = rank;
    }
  }
  return best;
}

std::optional<shard_number> cell_view::ChooseToPreempt(shard_number home, const region_id& region,
                                                       const std::set<shard_number>& avoid) const {
  if (!avoid.contains(home)) {
    return home;
  }
  std::optional<shard_number> far;
  for (const auto& [number, known] : shards_) {
    if (avoid.contains(number)) {
      continue;
    }
    if (known.region == region) {
      return number;
    }
    far = far ? far : number;
  }
  return far;
}

std::vector<std::pair<shard_number, std::uint32_t>> cell_view::RoomFor(
    const resources& needs, const region_id& region) const {
  std::vector<std::pair<shard_number, std::uint32_t>> room;
  for (const auto& [number, known] : shards_) {
    const auto count = CountThatFit(needs, known.total);
    if (known.region == region && needs.FitsIn(known.largest) && count > 0) {
      room.emplace_back(number, count);
    }
  }
  return room;
}

std::optional<shard_number> cell_view::ChooseSlots(const std::string& service,
                                                   const std::set<shard_number>& avoid) const {
  std::optional<shard_number> best;
  std::int64_t best_free = 0;
  for (const auto& [number, known] : shards_) {
    const auto& services = known.summary.services();
    const bool serves = std::ranges::find(services, service) != services.end();
    if (serves && !avoid.contains(number) && (!best || known.free_slots > best_free)) {
      best = number;
      best_free = known.free_slots;
    }
  }
  return best;
}

void cell_view::OnSlotAsked(shard_number shard) {
  const auto found = shards_.find(shard);
  if (found != shards_.end()) {
    --found->second.free_slots;
  }
}

resources cell_view::UsageOf(const std::string& customer) const {
  resources sum;
  for (const auto& [entry, usage] : usage_) {
    const auto found = usage.find(customer);
    if (found != usage.end()) {
      sum = sum + found->second;
    }
  }
  return sum;
}

bool cell_view::OverQuota(const std::string& customer, const resources& more) const {
  const auto quota = quotas_.find(customer);
  return quota != quotas_.end() && !(UsageOf(customer) + more).FitsIn(quota->second);
}

std::uint64_t cell_view::TermOf(shard_number shard) const {
  const auto found = shards_.find(shard);
  return found == shards_.end() ? 0 : found->second.term;
}

}  // namespace rosearch
