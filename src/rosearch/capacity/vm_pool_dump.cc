// What a pool shows of itself.
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <string_view>

#include "rosearch/capacity/amounts.h"
#include "rosearch/capacity/vm_pool.h"

namespace rosearch {
namespace {

using internal::FromWire;

std::string_view PhaseName(placement_phase phase) {
  switch (phase) {
    case placement_phase::kJournaling:
      return "journaling";
    case placement_phase::kStarting:
      return "starting";
    case placement_phase::kRunning:
      return "running";
  }
  return "";
}

std::string_view CauseName(stop_cause cause) {
  switch (cause) {
    case stop_cause::kNone:
      return "";
    case stop_cause::kCancelled:
      return "cancelled";
    case stop_cause::kPreempted:
      return "preempted";
    case stop_cause::kDrained:
      return "drained";
  }
  return "";
}

std::string_view ConditionName(vm_condition condition) {
  switch (condition) {
    case vm_condition::kHealthy:
      return "healthy";
    case vm_condition::kSuspect:
      return "suspect";
    case vm_condition::kProbing:
      return "probing";
  }
  return "";
}

boost::json::value AmountsOf(const resources& amounts) {
  return {{"processors_milli", amounts.processors_milli},
          {"memory_mb", amounts.memory_mb},
          {"accelerators", amounts.accelerators}};
}

boost::json::value TaskOf(const attempt_key& key, const placement_record& record) {
  return {{"task", key.task},
          {"attempt", key.attempt},
          {"customer", record.made.customer()},
          {"phase", PhaseName(record.phase)},
          {"stopping", CauseName(record.stopping)},
          {"home_known", record.home_known},
          {"needs", AmountsOf(FromWire(record.made.needs()))},
          {"peak_memory_mb", record.peak_memory_mb},
          {"peak_processors_milli", record.peak_processors_milli}};
}

}  // namespace

wire::resource_amounts vm_pool::LargestRoom() const {
  return internal::ToWire(ledger_.LargestRoom());
}

wire::resource_amounts vm_pool::TotalRoom() const { return internal::ToWire(ledger_.TotalRoom()); }

std::map<customer_id, resources> vm_pool::Usage() const {
  std::map<customer_id, resources> usage;
  const auto add = [&usage](const wire::placement_made& made) {
    auto& sum = usage[customer_id{made.customer()}];
    sum = sum + FromWire(made.needs());
  };
  for (const auto& [key, record] : placements_) add(record.made);
  for (const auto& [key, held] : holds_) add(held.made);
  return usage;
}

std::vector<vm_explanation> vm_pool::Explain(const placement_request& request) const {
  return rosearch::Explain(ledger_, request);
}

boost::json::value vm_pool::Dump(time_point now) const {
  boost::json::array vms;
  for (const auto& [name, vm] : vms_) {
    boost::json::array tasks;
    resources committed;
    resources peak_used;
    for (const auto& key : vm.tasks) {
      const auto& record = placements_.at(key);
      tasks.push_back(TaskOf(key, record));
      committed = committed + FromWire(record.made.needs());
      peak_used = peak_used + resources{record.peak_processors_milli, record.peak_memory_mb, 0};
    }
    vms.push_back({{"vm", name.value()},
                   {"present", vm.present},
                   {"leaving", vm.Leaving()},
                   {"verified", vm.session.verified()},
                   {"failing", vm.session.failing()},
                   {"open", ledger_.IsOpen(name)},
                   {"condition", ConditionName(health_.ConditionOf(name, now))},
                   {"strays", vm.strays.size()},
                   {"room", AmountsOf(ledger_.Room(name))},
                   {"committed", AmountsOf(committed)},
                   {"peak_used", AmountsOf(peak_used)},
                   {"tasks", std::move(tasks)}});
  }
  boost::json::array holds;
  for (const auto& [key, held] : holds_) {
    const auto left = held.until - now;
    holds.push_back({{"task", key.task},
                     {"attempt", key.attempt},
                     {"vm", held.made.vm()},
                     {"left_ms", left / std::chrono::milliseconds{1}}});
  }
  return {{"shard", shard_},
          {"epoch", epoch_},
          {"acting", acting_},
          {"complete", complete_},
          {"vms", std::move(vms)},
          {"holds", std::move(holds)},
          {"urgent_waiting", urgent_.size()},
          {"ended_remembered", ended_.size()}};
}

}  // namespace rosearch
