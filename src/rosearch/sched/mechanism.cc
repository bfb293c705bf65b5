#include "rosearch/sched/mechanism.h"

#include <algorithm>
#include <array>

namespace rosearch::sched {

std::optional<mechanism> FindMechanism(std::string_view name) {
  constexpr std::array<std::string_view, kMechanismCount> kNames{
      "admission",     "reserve",        "preemption", "packing",        "health",
      "advice_ahead",  "reservation",    "rescue",     "speeds",         "hopeless_last",
      "advice_by_all", "batches_beside", "second_way", "early_election", "relays",
      "advice_slots",  "rate_order",     "estimates",  "starvation"};
  const auto* const found = std::ranges::find(kNames, name);
  if (found == kNames.end()) {
    return std::nullopt;
  }
  return static_cast<mechanism>(found - kNames.begin());
}

}  // namespace rosearch::sched
