#include "rosearch/placement/spread_counts.h"

#include <glog/logging.h>

namespace rosearch::internal {
namespace {

template <typename Map, typename Key>
void AddTo(Map& counts, const Key& key, std::int64_t by) {
  const auto found = counts.try_emplace(key).first;
  found->second += by;
  CHECK_GE(found->second, 0) << "event=spread_out_of_step";
  if (found->second == 0) {
    counts.erase(found);
  }
}

}  // namespace

void spread_counts::Add(const vm_facts& where, std::int64_t by) {
  AddTo(domains, where.failure_domain, by);
  AddTo(racks, std::pair{where.failure_domain, where.rack}, by);
  AddTo(vms, where.vm, by);
}

}  // namespace rosearch::internal
