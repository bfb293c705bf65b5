#include "rosearch/placement/policy.h"

#include <glog/logging.h>

#include <functional>
#include <map>

namespace rosearch {
namespace {

/// Made at first use: registrars of other files may run before the statics of this one.
std::map<std::string, policy, std::less<>>& Policies() {
  static std::map<std::string, policy, std::less<>> policies;
  return policies;
}

}  // namespace

result<const policy*> policy_registry::Find(std::string_view name) {
  const auto found = Policies().find(name);
  if (found != Policies().end()) {
    return &found->second;
  }
  std::string known;
  for (const auto& each : Names()) {
    known += (known.empty() ? "" : ", ") + each;
  }
  return error{error_kind::kInvalidRequest,
               "no policy named " + std::string{name} + "; there are: " + known};
}

std::vector<std::string> policy_registry::Names() {
  std::vector<std::string> names;
  for (const auto& [name, each] : Policies()) {
    names.push_back(name);
  }
  return names;
}

void policy_registry::Add(policy added) {
  auto name = added.name();
  const bool is_new = Policies().try_emplace(std::move(name), std::move(added)).second;
  CHECK(is_new) << "event=policy_name_taken";
}

}  // namespace rosearch
