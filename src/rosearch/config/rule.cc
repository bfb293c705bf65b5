#include "rosearch/config/rule.h"

#include <algorithm>
#include <array>

namespace rosearch::config {
namespace {

constexpr std::array<std::string_view, kWorkClasses> kNames{"request", "batch", "gang", "service"};
constexpr std::array<std::string_view, kWorkClasses> kPolicies{"quick", "pack", "pack", "spread"};

template <typename T>
bool CoversValue(const std::optional<T>& wide, const std::optional<T>& narrow) noexcept {
  return !wide || wide == narrow;
}

}  // namespace

std::string_view WorkClassName(work_class value) noexcept {
  return kNames[static_cast<std::size_t>(value)];
}

std::optional<work_class> WorkClassFromName(std::string_view name) noexcept {
  const auto* const found = std::ranges::find(kNames, name);
  if (found == kNames.end()) {
    return std::nullopt;
  }
  return static_cast<work_class>(found - kNames.begin());
}

bool rule_match::Matches(const work_kind& work) const noexcept {
  return (!customer || *customer == work.customer) && (!kind || *kind == work.kind) &&
         (!urgent || *urgent == work.urgent) && label.Matches(work.label) &&
         service.Matches(work.service);
}

bool rule_match::Covers(const rule_match& other) const noexcept {
  return CoversValue(customer, other.customer) && CoversValue(kind, other.kind) &&
         CoversValue(urgent, other.urgent) && label.Covers(other.label) &&
         service.Covers(other.service);
}

std::string_view PolicyFor(const treatment& treat, work_class kind) noexcept {
  return treat.policy.empty() ? kPolicies[static_cast<std::size_t>(kind)]
                              : std::string_view{treat.policy};
}

}  // namespace rosearch::config
