#include "rosearch/api/answers.h"

#include <array>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <chrono>
#include <string_view>

#include "rosearch/shard/shard_output.h"

namespace rosearch {
namespace {

namespace json = boost::json;

constexpr unsigned kOk = 200;
constexpr unsigned kBadRequest = 400;

std::string_view StateName(wire::task_state state) {
  constexpr std::array<std::string_view, 4> kNames{"queued", "placing", "running", "ended"};
  return kNames.at(static_cast<std::size_t>(state));
}

std::string_view KindName(wire::job_kind kind) {
  constexpr std::array<std::string_view, 3> kNames{"batch", "gang", "service"};
  return kNames.at(static_cast<std::size_t>(kind));
}

json::object TaskJson(const wire::task_snapshot& task) {
  json::object row;
  row["task"] = task.ref().task();
  row["state"] = StateName(task.state());
  row["attempt"] = task.ref().attempt();
  const auto& vm = task.vm().empty() ? task.how().vm() : task.vm();
  if (!vm.empty()) {
    row["vm"] = vm;
  }
  if (task.state() == wire::TASK_ENDED) {
    const auto& failed = task.how().error();
    row["outcome"] = OutcomeName(EffectOf(task.how()));
    if (failed.kind().empty()) {
      row["result"] = task.how().body();
    } else {
      row["kind"] = failed.kind();
      row["detail"] = failed.detail();
    }
  }
  return row;
}

}  // namespace

http_response JsonResponse(unsigned status, const json::value& body) {
  return {status, json::serialize(body) + '\n'};
}

http_response ErrorResponse(const error& why) {
  const auto& row = AnswerFor(why.kind);
  json::object shape;
  shape["kind"] = row.name;
  shape["outcome"] = OutcomeName(row.effect);
  shape["detail"] = why.detail;
  http_response response;
  if (why.retry_after) {
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(*why.retry_after);
    shape["retry_after_ms"] = wait.count();
    response.headers["Retry-After"] =
        std::to_string(std::chrono::ceil<std::chrono::seconds>(wait).count());
  }
  response.status = row.http_status;
  response.headers["Rosearch-Outcome"] = std::string{OutcomeName(row.effect)};
  response.body = json::serialize(json::object{{"error", std::move(shape)}}) + '\n';
  return response;
}

json::value FaultsJson(const std::vector<config::fault>& faults) {
  json::array rows;
  for (const auto& fault : faults) {
    const bool is_error = fault.severity == config::fault_severity::kError;
    rows.push_back(json::object{{"path", fault.path},
                                {"found", fault.found},
                                {"allowed", fault.allowed},
                                {"severity", is_error ? "error" : "warning"}});
  }
  return rows;
}

http_response FaultsResponse(const std::vector<config::fault>& faults) {
  const auto& row = AnswerFor(error_kind::kInvalidRequest);
  json::object shape{{"kind", row.name},
                     {"outcome", OutcomeName(row.effect)},
                     {"detail", config::ToString(faults)},
                     {"faults", FaultsJson(faults)}};
  auto response = JsonResponse(kBadRequest, json::object{{"error", std::move(shape)}});
  response.headers["Rosearch-Outcome"] = "not_run";
  return response;
}

http_response RequestResponse(const wire::call_answer& answer, const std::string& rule) {
  if (!answer.error().kind().empty()) {
    auto response = ErrorResponse(FromWire(answer.error()));
    response.headers["Rosearch-Rule"] = rule;
    return response;
  }
  http_response response;
  response.status = answer.http_status() == 0 ? kOk : answer.http_status();
  response.body = answer.body();
  response.headers["Rosearch-Outcome"] = "done";
  response.headers["Rosearch-Rule"] = rule;
  response.headers["Rosearch-Vm"] = answer.vm();
  return response;
}

json::value JobJson(const wire::job_snapshot& job) {
  const auto& spec = job.job().spec();
  json::object shape;
  shape["customer"] = spec.customer();
  shape["job"] = spec.job();
  shape["kind"] = KindName(spec.kind());
  shape["rule"] = job.job().treatment().rule();
  shape["config_version"] = job.job().treatment().config_version();
  shape["cancelled"] = job.cancelled();
  json::object counts;
  json::array tasks;
  for (const auto& task : job.tasks()) {
    auto& count = counts[StateName(task.state())];
    count = count.is_int64() ? count.as_int64() + 1 : 1;
    tasks.push_back(TaskJson(task));
  }
  shape["counts"] = std::move(counts);
  shape["tasks"] = std::move(tasks);
  return shape;
}

}  // namespace rosearch
