#include "rosearch/sched/customer_accounts.h"

#include <algorithm>
#include <array>
#include <limits>

namespace rosearch::sched {
namespace {

/// A customer may send this much of its rate at once: callers come in bursts.
constexpr std::chrono::seconds kRateWindow{5};

/// One resource of a need, a usage and a limit.
struct dimension {
  std::int64_t need{0};
  std::int64_t used{0};
  std::int64_t limit{0};  ///< 0: not limited
};

std::array<dimension, 3> Dimensions(const resources& need, const resources& used,
                                    const resources& limit) {
  return {{{need.processors_milli, used.processors_milli, limit.processors_milli},
           {need.memory_mb, used.memory_mb, limit.memory_mb},
           {need.accelerators, used.accelerators, limit.accelerators}}};
}

bool Limits(const dimension& each) { return each.limit > 0 && each.need > 0; }

}  // namespace

void customer_account::Configure(const customer_rules& rules) {
  limit_ = rules.limit;
  weight_ = rules.weight;
  const auto window = std::chrono::duration<double>{kRateWindow}.count();
  rate_.Configure(weight_, std::max(1.0, weight_ * window));
}

std::uint32_t customer_account::CountStartable(const resources& need) const {
  auto count = std::numeric_limits<std::uint32_t>::max();
  for (const auto& each : Dimensions(need, used_ + unread_, limit_)) {
    if (!Limits(each)) {
      continue;
    }
    const auto fitting = std::max<std::int64_t>(0, (each.limit - each.used) / each.need);
    const std::int64_t at_least = 2 * each.used < each.limit ? 1 : 0;
    count = std::min(count, static_cast<std::uint32_t>(std::max(fitting, at_least)));
  }
  return count;
}

bool customer_account::MayStartTogether(const resources& need, std::uint32_t count) const {
  return std::ranges::all_of(Dimensions(need, used_ + unread_, limit_), [&](const auto& each) {
    return !Limits(each) || each.used + each.need * count <= each.limit;
  });
}

bool customer_account::CouldEverStartTogether(const resources& need, std::uint32_t count) const {
  return std::ranges::all_of(Dimensions(need, {}, limit_), [&](const auto& each) {
    return !Limits(each) || each.need * count <= each.limit;
  });
}

void customer_accounts::Configure(const std::vector<customer_rules>& customers) {
  for (const auto& rules : customers) {
    Open(rules.name).Configure(rules);
  }
}

customer_account& customer_accounts::Open(const std::string& name) {
  return accounts_.try_emplace(name, name).first->second;
}

}  // namespace rosearch::sched
