#include "rosearch/sched/customer_rules.h"

namespace rosearch::sched {

customer_keys::customer_keys(const std::vector<customer_rules>& customers) {
  for (const auto& customer : customers) {
    for (const auto& key : customer.keys) {
      customer_of_key_.try_emplace(key, customer.name);
    }
  }
}

const std::string* customer_keys::Find(const key_digest& key) const {
  const auto found = customer_of_key_.find(key);
  return found == customer_of_key_.end() ? nullptr : &found->second;
}

const customer_rules* FindSharedKey(const std::vector<customer_rules>& customers) {
  const customer_keys keys{customers};
  for (const auto& customer : customers) {
    for (const auto& key : customer.keys) {
      if (*keys.Find(key) != customer.name) {
        return &customer;
      }
    }
  }
  return nullptr;
}

}  // namespace rosearch::sched
