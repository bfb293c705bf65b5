#ifndef ROSEARCH_NODE_INTERNAL_NODE_VIEWS_H_
#define ROSEARCH_NODE_INTERNAL_NODE_VIEWS_H_

// What others may look at.

#include "rosearch/node/internal/node_constants.h"
#include "rosearch/node/node.h"

namespace rosearch {

template <node_ports Ports>
bool basic_node<Ports>::Ready() const {
  const std::scoped_lock lock{cell_.mutex};
  return cell_.config_known && !cell_.history_lost;
}

template <node_ports Ports>
std::shared_ptr<const config::configuration> basic_node<Ports>::Configuration() const {
  const std::scoped_lock lock{cell_.mutex};
  return cell_.control.configuration().current();
}

template <node_ports Ports>
wire::configuration_record basic_node<Ports>::ConfigurationRecord() const {
  const std::scoped_lock lock{cell_.mutex};
  return cell_.control.configuration().record();
}

template <node_ports Ports>
std::vector<config::change_verdict> basic_node<Ports>::History() const {
  const std::scoped_lock lock{cell_.mutex};
  const auto& history = cell_.control.configuration().history();
  return {history.begin(), history.end()};
}

template <node_ports Ports>
config_version basic_node<Ports>::LowestVersion(time_point now) const {
  const std::scoped_lock lock{cell_.mutex};
  auto lowest = cell_.control.configuration().version();
  for (const auto* const each : cell_.members.Live(now)) {
    if (each->who != settings_.self) {
      lowest = std::min(lowest, each->version);
    }
  }
  return lowest;
}

template <node_ports Ports>
bool basic_node<Ports>::HistoryLost() const {
  const std::scoped_lock lock{cell_.mutex};
  return cell_.history_lost;
}

template <node_ports Ports>
std::vector<wire::vm_record> basic_node<Ports>::Vms() const {
  const std::scoped_lock lock{cell_.mutex};
  return cell_.vms;
}

template <node_ports Ports>
std::map<std::string, wire::drain_order> basic_node<Ports>::Drains() const {
  const std::scoped_lock lock{cell_.mutex};
  return cell_.control.drains();
}

template <node_ports Ports>
bool basic_node<Ports>::FitsSomewhere(const resources& needs) const {
  const std::scoped_lock lock{cell_.mutex};
  // Nothing is known of the VMs before the list was read: the owner will tell.
  return cell_.vms.empty() || std::ranges::any_of(cell_.vms, [&](const wire::vm_record& vm) {
           return vm.kind() == wire::VM_WORKER && needs.FitsIn(internal::FromWire(vm.holds()));
         });
}

template <node_ports Ports>
std::optional<closest_vm> basic_node<Ports>::ClosestWorker(const resources& needs) const {
  const std::scoped_lock lock{cell_.mutex};
  ledger listed;
  for (const auto& vm : cell_.vms) {
    if (vm.kind() == wire::VM_WORKER) {
      listed.SetVm({.vm = vm_id{vm.vm()},
                    .region = region_id{vm.region()},
                    .failure_domain = failure_domain_id{vm.failure_domain()},
                    .rack = rack_id{vm.rack()},
                    .holds = internal::FromWire(vm.holds())});
    }
  }
  return ClosestVm(listed, needs);
}

template <node_ports Ports>
std::optional<job_entry> basic_node<Ports>::JobHere(const std::string& customer,
                                                    const std::string& job) {
  auto& item = *slots_.at(HomeOf(customer, job));
  const std::scoped_lock lock{item.mutex};
  const auto* const found = item.value.state().FindJob({customer, job});
  return found == nullptr ? std::nullopt : std::optional{*found};
}

template <node_ports Ports>
boost::json::value basic_node<Ports>::Dump(const step_time& at) {
  boost::json::object dump;
  boost::json::array shards;
  for (const auto& item : slots_) {
    const std::scoped_lock lock{item->mutex};
    shards.push_back(item->value.Dump(at.now));
  }
  const std::scoped_lock lock{cell_.mutex};
  dump["entry"] = settings_.self.entry.value();
  dump["incarnation"] = settings_.self.incarnation;
  dump["region"] = settings_.region.value();
  dump["failure_domain"] = settings_.failure_domain.value();
  dump["ready"] = cell_.config_known && !cell_.stopping;
  dump["stopping"] = cell_.stopping;
  dump["log_up"] = LogUp(at.now);
  dump["config_version"] = cell_.control.configuration().version();
  dump["control_offset"] = cell_.reader.next_offset();
  dump["open_calls"] = cell_.calls.size();
  const auto status = cell_.appender.Status();
  dump["log_waiting_records"] = status.waiting_records;
  dump["log_waiting_bytes"] = status.waiting_bytes;
  boost::json::array members;
  for (const auto& [entry, known] : cell_.members.all()) {
    boost::json::object row;
    row["entry"] = entry.value();
    row["incarnation"] = known.who.incarnation;
    row["live"] = cell_.members.IsLive(known.who, at.now);
    row["listed"] = cell_.members.IsListed(known.who);
    row["leaving"] = known.leaving;
    row["config_version"] = known.version;
    row["http"] = known.http_address;
    row["peer"] = known.peer_address;
    members.push_back(std::move(row));
  }
  dump["members"] = std::move(members);
  dump["shards"] = std::move(shards);
  return dump;
}

template <node_ports Ports>
node_figures basic_node<Ports>::Figures(time_point now) const {
  node_figures figures;
  for (const auto& item : slots_) {
    const std::scoped_lock lock{item->mutex};
    figures.shards_served += item->value.Serving(now) ? 1 : 0;
  }
  const std::scoped_lock lock{cell_.mutex};
  const auto status = cell_.appender.Status();
  figures.open_calls = cell_.calls.size();
  figures.live_members = cell_.members.Live(now).size();
  figures.log_waiting_records = status.waiting_records;
  figures.log_waiting_bytes = status.waiting_bytes;
  figures.version = cell_.control.configuration().version();
  figures.ready = cell_.config_known && !cell_.stopping;
  figures.log_up = LogUp(now);
  return figures;
}

template <node_ports Ports>
std::vector<vm_explanation> basic_node<Ports>::Explain(const placement_request& request,
                                                       const step_time& at) {
  std::vector<vm_explanation> all;
  for (const auto& item : slots_) {
    const std::scoped_lock lock{item->mutex};
    if (item->value.Serving(at.now)) {
      const auto part = item->value.Explain(request);
      all.insert(all.end(), part.begin(), part.end());
    }
  }
  return all;
}

}  // namespace rosearch

#endif  // ROSEARCH_NODE_INTERNAL_NODE_VIEWS_H_
