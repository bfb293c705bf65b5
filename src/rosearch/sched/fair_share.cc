#include "rosearch/sched/fair_share.h"

#include <algorithm>

namespace rosearch::sched {
namespace {

double Fraction(std::int64_t used, std::int64_t capacity) {
  return capacity > 0 ? static_cast<double>(used) / static_cast<double>(capacity) : 0;
}

}  // namespace

double DominantFraction(const resources& used, const resources& capacity) {
  return std::max({Fraction(used.processors_milli, capacity.processors_milli),
                   Fraction(used.memory_mb, capacity.memory_mb),
                   Fraction(used.accelerators, capacity.accelerators)});
}

void fair_share::Configure(const std::vector<customer_rules>& customers) {
  total_weight_ = 0;
  for (const auto& each : customers) {
    total_weight_ += each.weight;
  }
}

void fair_share::SetCapacities(const std::map<std::string, resources>& capacities) {
  for (auto& [pool, capacity] : capacities_) {
    capacity = {};
  }
  for (const auto& [pool, capacity] : capacities) {
    capacities_[pool] = capacity;
  }
}

share_account& fair_share::Open(const customer_account& customer, const std::string& pool,
                                std::uint32_t priority) {
  const auto [found, added] = accounts_.try_emplace(key{pool, priority, customer.name()});
  if (added) {
    found->second.customer = &customer;
    found->second.capacity = &capacities_[pool];
  }
  return found->second;
}

double fair_share::Entitlement(const customer_account& customer) const {
  return Enabled() ? std::min(1.0, customer.weight() / total_weight_) : 1.0;
}

bool fair_share::IsOverShare(const share_account& account) const {
  return DominantFraction(account.used, *account.capacity) > Entitlement(*account.customer);
}

bool fair_share::FitsShare(const share_account& account, const resources& more) const {
  return DominantFraction(account.used + more, *account.capacity) <= Entitlement(*account.customer);
}

std::vector<preemption_victim> ChooseVictims(std::vector<preemption_victim> victims,
                                             const resources& need, const resources& free,
                                             double budget) {
  std::ranges::stable_sort(victims, {}, [](const auto& each) {
    return std::tuple{each.near_end, !each.checkpoints, each.lost_work};
  });
  auto room = free;
  std::vector<preemption_victim> chosen;
  for (const auto& victim : victims) {
    if (need.FitsIn(room)) {
      break;
    }
    room = room + victim.room;
    chosen.push_back(victim);
  }
  if (!need.FitsIn(room)) {
    return {};
  }
  // Later victims may have freed enough without the earlier ones: keeps only those that are needed,
  // and spares the one with the most lost work first.
  std::ranges::stable_sort(chosen, std::greater{}, &preemption_victim::lost_work);
  std::erase_if(chosen, [&](const auto& each) {
    const auto without = room - each.room;
    const bool spared = need.FitsIn(without);
    room = spared ? without : room;
    return spared;
  });
  double lost = 0;
  for (const auto& each : chosen) {
    lost += each.lost_work;
  }
  return lost < budget ? chosen : std::vector<preemption_victim>{};
}

}  // namespace rosearch::sched
