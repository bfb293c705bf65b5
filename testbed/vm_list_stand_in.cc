#include "testbed/vm_list_stand_in.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <functional>

#include "rosearch/platform/clock.h"
#include "rosearch/platform/json.h"
#include "testbed/stand_in.h"

namespace rosearch::testbed {
namespace {

/// The longest lag that can be shown.
constexpr duration kHistory = std::chrono::minutes{10};

constexpr unsigned kNotModified = 304;

}  // namespace

vm_list_stand_in::vm_list_stand_in(boost::asio::io_context& /*io*/, const fault_settings& fault)
    : fault_{fault}, history_{{time_point::min(), {}}} {}

void vm_list_stand_in::Handle(const server_request& request, const respond_function& respond) {
  if (request.path == "/v1/vms") {
    ++reads_;
    respond(Shown(request));
  } else if (request.path == "/v1/set" || request.path == "/v1/remove") {
    Change(request, respond);
  } else {
    respond(NotFound());
  }
}

void vm_list_stand_in::Change(const server_request& request, const respond_function& respond) {
  const auto body = FromJson<wire::vm_list_answer>(request.body);
  if (body.has_error()) {
    respond(BadRequest(body.error().detail));
    return;
  }
  const auto now = SteadyNow();
  version next{now, history_.back().vms};
  for (const auto& vm : body.value().vms()) {
    if (request.path == "/v1/set") {
      next.vms[vm.vm()] = vm;
    } else {
      next.vms.erase(vm.vm());
    }
  }
  history_.push_back(std::move(next));
  while (history_.size() > 1 && history_[1].since < now - kHistory) {
    history_.pop_front();
  }
  respond({});
}

server_reply vm_list_stand_in::Shown(const server_request& request) const {
  auto list = List();
  const auto tag = '"' + std::to_string(std::hash<std::string>{}(list)) + '"';
  if (FindHeader(request.headers, "if-none-match") == tag) {
    return {.status = kNotModified, .body = {}, .headers = {{"ETag", tag}}};
  }
  return {.body = std::move(list), .headers = {{"ETag", tag}}};
}

std::string vm_list_stand_in::List() const {
  const auto moment = SteadyNow() - duration{fault_.lag_ms};
  const auto shown = std::find_if(history_.rbegin(), history_.rend(),
                                  [&](const version& old) { return old.since <= moment; });
  wire::vm_list_answer answer;
  if (shown != history_.rend()) {
    for (const auto& [name, vm] : shown->vms) {
      *answer.add_vms() = vm;
    }
  }
  return ToJson(answer);
}

std::string vm_list_stand_in::Stats() const {
  return boost::json::serialize(
      boost::json::object{{"vms", history_.back().vms.size()}, {"reads", reads_}});
}

}  // namespace rosearch::testbed
