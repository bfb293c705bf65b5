#include "rosearch/api/operator_views.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <map>
#include <string_view>
#include <utility>

#include "rosearch/api/answers.h"
#include "rosearch/capacity/amounts.h"

namespace rosearch {
namespace {

namespace json = boost::json;

constexpr unsigned kOk = 200;

/// What the owner of a worker's shard knows of it.
struct owned_vm {
  json::object committed;
  std::size_t tasks{0};
  bool open{false};
  std::string condition;
};

json::object SumOfNeeds(const json::array& tasks) {
  resources sum;
  for (const auto& task : tasks) {
    const auto& needs = task.at("needs").as_object();
    sum.processors_milli += needs.at("processors_milli").as_int64();
    sum.memory_mb += needs.at("memory_mb").as_int64();
    sum.accelerators += needs.at("accelerators").as_int64();
  }
  return AmountsJson(sum);
}

/// @param dump  of this entry.
/// @return the workers of the shards that it serves now, by name.
std::map<std::string, owned_vm> OwnedVms(const json::value& dump) {
  std::map<std::string, owned_vm> all;
  for (const auto& shard : dump.at("shards").as_array()) {
    const auto* const pool = shard.as_object().if_contains("vms");
    if (pool == nullptr) {
      continue;
    }
    for (const auto& vm : pool->at("vms").as_array()) {
      const auto& tasks = vm.at("tasks").as_array();
      all[std::string{vm.at("vm").as_string()}] = {SumOfNeeds(tasks), tasks.size(),
                                                   vm.at("open").as_bool(),
                                                   std::string{vm.at("condition").as_string()}};
    }
  }
  return all;
}

std::string_view KindName(wire::vm_kind kind) {
  switch (kind) {
    case wire::VM_EXECUTOR:
      return "executor";
    case wire::VM_ENTRY:
      return "entry";
    default:
      return "worker";
  }
}

}  // namespace

json::object AmountsJson(const resources& amounts) {
  return {{"processors_milli", amounts.processors_milli},
          {"memory_mb", amounts.memory_mb},
          {"accelerators", amounts.accelerators}};
}

http_response operator_views::Configuration() const {
  const auto record = access_.configuration_record();
  return JsonResponse(kOk, json::object{{"version", record.version()},
                                        {"change", record.change_id()},
                                        {"author", record.author()},
                                        {"lowest_version", access_.lowest_version()},
                                        {"document", access_.configuration()->ToJson()}});
}

http_response operator_views::History() const {
  json::array rows;
  for (const auto& verdict : access_.history()) {
    constexpr std::string_view kEffects[]{"accepted", "repeated", "void"};
    json::object row{{"change", verdict.change_id},
                     {"author", verdict.author},
                     {"effect", kEffects[static_cast<std::size_t>(verdict.effect)]},
                     {"version", verdict.version}};
    if (verdict.cause) {
      row["detail"] = verdict.cause->detail;
    }
    rows.push_back(std::move(row));
  }
  return JsonResponse(kOk, json::object{{"changes", std::move(rows)}});
}

http_response operator_views::CheckConfiguration(const http_call& call) const {
  const auto checked = config::ParseConfiguration(call.body);
  if (config::HasError(checked.faults)) {
    return FaultsResponse(checked.faults);
  }
  return JsonResponse(kOk, json::object{{"faults", FaultsJson(checked.faults)}});
}

http_response operator_views::Quotas() const {
  json::array rows;
  for (const auto& customer : access_.configuration()->customers()) {
    rows.push_back(json::object{{"customer", customer.name.value()},
                                {"weight", customer.weight},
                                {"most", AmountsJson(customer.quota.most)},
                                {"max_queued", customer.quota.max_queued},
                                {"max_running", customer.quota.max_running}});
  }
  return JsonResponse(kOk, json::object{{"quotas", std::move(rows)}});
}

http_response operator_views::Vms() const {
  const auto drains = access_.drains();
  const auto owned = OwnedVms(access_.dump());
  json::array rows;
  for (const auto& vm : access_.vms()) {
    const auto drain = drains.find(vm.vm());
    const bool drained = drain != drains.end() && drain->second.leaving();
    json::object row{{"vm", vm.vm()},
                     {"kind", KindName(vm.kind())},
                     {"region", vm.region()},
                     {"failure_domain", vm.failure_domain()},
                     {"rack", vm.rack()},
                     {"holds", AmountsJson(internal::FromWire(vm.holds()))},
                     {"leaving", vm.leaving() || drained},
                     {"drained", drained}};
    const auto known = owned.find(vm.vm());
    if (known != owned.end()) {
      const auto& [name, state] = *known;
      row["committed"] = state.committed;
      row["tasks"] = state.tasks;
      row["open"] = state.open;
      row["condition"] = state.condition;
    }
    rows.push_back(std::move(row));
  }
  return JsonResponse(kOk, json::object{{"vms", std::move(rows)}});
}

http_response operator_views::Drain(const std::string& vm, bool leaving) const {
  const auto vms = access_.vms();
  if (std::ranges::find(vms, vm, [](const wire::vm_record& each) { return each.vm(); }) ==
      vms.end()) {
    return ErrorResponse({error_kind::kNotFound, "no VM " + vm});
  }
  const auto done = access_.drain(vm_id{vm}, leaving);
  if (done.has_error()) {
    return ErrorResponse(done.error());
  }
  return JsonResponse(kOk, json::object{{"vm", vm}, {"leaving", leaving}});
}

}  // namespace rosearch
