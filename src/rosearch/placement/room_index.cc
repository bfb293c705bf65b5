#include "rosearch/placement/room_index.h"

#include <glog/logging.h>

namespace rosearch::internal {
namespace {

using amount_counts = std::map<std::int64_t, std::int64_t>;

void Count(amount_counts& counts, std::int64_t amount) { ++counts[amount]; }

void Uncount(amount_counts& counts, std::int64_t amount) {
  const auto found = counts.find(amount);
  CHECK(found != counts.end()) << "event=index_out_of_step amount=" << amount;
  if (--found->second == 0) {
    counts.erase(found);
  }
}

std::int64_t LargestOf(const amount_counts& counts) noexcept {
  return counts.empty() ? 0 : counts.rbegin()->first;
}

room_index::room_class ClassOf(const vm_state& vm) {
  const auto& holds = vm.facts.holds;
  return {vm.Room().accelerators, holds.processors_milli, holds.memory_mb};
}

by_room::key RoomKeyOf(const vm_state& vm) {
  const auto room = vm.Room();
  return {room.processors_milli, room.memory_mb, &vm};
}

/// Erases a key and, where it was the last, its set.
template <typename Map, typename Key, typename Entry>
void EraseFrom(Map& sets, const Key& key, const Entry& entry) {
  const auto found = sets.find(key);
  CHECK(found != sets.end() && found->second.erase(entry) == 1)
      << "event=index_out_of_step vm=" << entry.vm->facts.vm;
  if (found->second.empty()) {
    sets.erase(found);
  }
}

}  // namespace

bool by_room::operator()(const key& a, const key& b) const noexcept {
  if (a.processors_milli != b.processors_milli) {
    return a.processors_milli < b.processors_milli;
  }
  if (a.memory_mb != b.memory_mb) {
    return a.memory_mb < b.memory_mb;
  }
  return a.vm != b.vm && a.vm->facts.vm < b.vm->facts.vm;
}

bool by_load::operator()(const key& a, const key& b) const noexcept {
  if (a.load != b.load) {
    return a.load < b.load;
  }
  return a.vm != b.vm && a.vm->facts.vm < b.vm->facts.vm;
}

void room_index::Add(const vm_state& vm) {
  const auto room = vm.Room();
  const by_load::key load{vm.Load(), &vm};
  rooms_[ClassOf(vm)].insert(RoomKeyOf(vm));
  loads_.insert(load);
  auto& in_domain = domains_[vm.facts.failure_domain];
  in_domain.vms.insert(load);
  ++in_domain.racks[vm.facts.rack];
  Count(processors_, room.processors_milli);
  Count(memory_, room.memory_mb);
  Count(accelerators_, room.accelerators);
}

void room_index::Remove(const vm_state& vm) {
  const auto room = vm.Room();
  const by_load::key load{vm.Load(), &vm};
  EraseFrom(rooms_, ClassOf(vm), RoomKeyOf(vm));
  CHECK_EQ(loads_.erase(load), 1U) << "event=index_out_of_step vm=" << vm.facts.vm;
  RemoveFromDomain(vm, load);
  Uncount(processors_, room.processors_milli);
  Uncount(memory_, room.memory_mb);
  Uncount(accelerators_, room.accelerators);
}

void room_index::RemoveFromDomain(const vm_state& vm, const by_load::key& load) {
  const auto found = domains_.find(vm.facts.failure_domain);
  CHECK(found != domains_.end() && found->second.vms.erase(load) == 1)
      << "event=index_out_of_step vm=" << vm.facts.vm;
  auto& racks = found->second.racks;
  const auto rack = racks.find(vm.facts.rack);
  if (--rack->second == 0) {
    racks.erase(rack);
  }
  if (found->second.vms.empty()) {
    domains_.erase(found);
  }
}

resources room_index::Largest() const noexcept {
  return {LargestOf(processors_), LargestOf(memory_), LargestOf(accelerators_)};
}

}  // namespace rosearch::internal
