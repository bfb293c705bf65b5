#include "rosearch/api/service.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <chrono>
#include <optional>
#include <string_view>
#include <utility>

#include "rosearch/api/answers.h"
#include "rosearch/api/job_document.h"
#include "rosearch/api/request_headers.h"
#include "rosearch/api/work_rules.h"
#include "rosearch/capacity/amounts.h"
#include "rosearch/config/document_reader.h"
#include "rosearch/config/json_values.h"
#include "rosearch/placement/never_fits.h"
#include "rosearch/shard/task_key.h"

namespace rosearch {
namespace {

namespace json = boost::json;
using std::chrono::milliseconds;

constexpr unsigned kOk = 200;
constexpr unsigned kAccepted = 202;

/// How long an entry looks for the owner of a job before it gives up.
constexpr duration kJobCallLimit = std::chrono::seconds{10};

/// How long a publish waits for the log.
constexpr duration kPublishLimit = std::chrono::seconds{10};

constexpr std::string_view kRequestsPath = "/v1/requests/";
constexpr std::string_view kJobsPath = "/v1/jobs";
constexpr std::string_view kJobPath = "/v1/jobs/";
constexpr std::string_view kVmsPath = "/v1/vms";
constexpr std::string_view kVmPath = "/v1/vms/";

error Invalid(std::string detail) { return {error_kind::kInvalidRequest, std::move(detail)}; }

/// An id that isn't declared idempotent may be the repeat of one that ran at another entry.
bool MayBeRepeat(const http_call& call) {
  return call.path.starts_with(kRequestsPath) && !HeaderOf(call, "rosearch-request").empty() &&
         HeaderOf(call, "rosearch-idempotent") != "true";
}

std::vector<std::string> PathParts(std::string_view path) {
  std::vector<std::string> parts;
  while (!path.empty()) {
    path.remove_prefix(path.front() == '/' ? 1 : 0);
    const auto end = std::min(path.find('/'), path.size());
    parts.emplace_back(path.substr(0, end));
    path.remove_prefix(end);
  }
  return parts;
}

std::string NeverFitsText(const std::optional<closest_vm>& closest) {
  std::string text = "larger than every worker that is listed";
  if (closest) {
    text += "; the closest is " + closest->vm.value() + ", which lacks " +
            json::serialize(AmountsJson(closest->missing));
  }
  return text;
}

}  // namespace

api_service::api_service(const entry_access& access, metric_set& metrics)
    : access_{access}, metrics_{metrics}, views_{access} {}

void api_service::Handle(const http_call& call, http_respond respond) {
  const auto begun = access_.now().now;
  auto measured = [this, begun, respond = std::move(respond)](http_response response) {
    metrics_.Count("rosearch_http_answers_total{status=\"" + std::to_string(response.status) +
                   "\"}");
    metrics_.Observe("rosearch_http_ms", access_.now().now - begun);
    respond(std::move(response));
  };
  if (HandleSimple(call, measured)) {
    return;
  }
  if (!access_.accepting()) {
    if (MayBeRepeat(call)) {
      measured(ErrorResponse({error_kind::kInterrupted, "this entry can't look the id up yet",
                              std::chrono::seconds{1}}));
      return;
    }
    measured(ErrorResponse({error_kind::kNotReady, "the configuration in force is not known yet",
                            std::chrono::seconds{1}}));
    return;
  }
  const auto parts = PathParts(call.path);
  const bool is_job = parts.size() >= 4 && call.path.starts_with(kJobPath);
  if (call.path.starts_with(kRequestsPath) && call.method == "POST" && parts.size() >= 3 &&
      !parts[2].empty()) {
    Request(call, std::move(measured));
  } else if (call.path == kJobsPath && call.method == "POST") {
    Submit(call, std::move(measured));
  } else if (is_job && parts.size() == 4) {
    Job(call, parts[2], parts[3], std::move(measured));
  } else if (is_job && parts.size() == 5 && parts[4] == "explain" && call.method == "GET") {
    ExplainJob(parts[2], parts[3], std::move(measured));
  } else if (call.path == "/v1/configuration" && call.method == "POST") {
    Publish(call, std::move(measured));
  } else {
    measured(ErrorResponse({error_kind::kNotFound, call.method + ' ' + call.path}));
  }
}

bool api_service::HandleSimple(const http_call& call, const http_respond& respond) {
  const bool is_get = call.method == "GET";
  if (is_get && call.path == "/healthz") {
    respond(JsonResponse(kOk, json::object{{"alive", true}}));
  } else if (is_get && call.path == "/readyz") {
    const bool ready = access_.ready();
    respond(JsonResponse(ready ? kOk : AnswerFor(error_kind::kNotReady).http_status,
                         json::object{{"ready", ready}}));
  } else if (is_get && call.path == "/metrics") {
    respond(Metrics());
  } else if (is_get && call.path == "/v1/dump") {
    respond(JsonResponse(kOk, access_.dump()));
  } else if (is_get && call.path == "/v1/configuration") {
    respond(views_.Configuration());
  } else if (is_get && call.path == "/v1/configuration/history") {
    respond(views_.History());
  } else if (call.method == "POST" && call.path == "/v1/configuration/check") {
    respond(views_.CheckConfiguration(call));
  } else if (is_get && call.path == "/v1/quotas") {
    respond(views_.Quotas());
  } else if (is_get && call.path == kVmsPath) {
    respond(views_.Vms());
  } else if (call.path == "/v1/explain" && call.method == "POST") {
    respond(Explain(call));
  } else if (call.path.starts_with(kVmPath) && (call.method == "POST" || call.method == "DELETE")) {
    const auto parts = PathParts(call.path);
    if (parts.size() != 4 || parts[3] != "drain") {
      return false;
    }
    respond(views_.Drain(parts[2], call.method == "POST"));
  } else {
    return false;
  }
  return true;
}

void api_service::Request(const http_call& call, http_respond respond) {
  const auto headers = ReadHeaders(call);
  if (headers.has_error()) {
    respond(ErrorResponse(headers.error()));
    return;
  }
  const auto& said = headers.value();
  const auto rest = call.path.substr(kRequestsPath.size());
  const auto service = rest.substr(0, rest.find('/'));
  const auto in_force = access_.configuration();
  const auto matched = RuleFor(*in_force, {customer_id{said.customer}, config::work_class::kRequest,
                                           said.label, service, said.urgent});
  if (matched.has_error()) {
    respond(ErrorResponse(matched.error()));
    return;
  }
  const auto& rule = *matched.value();
  const auto at = access_.now();
  const bool idempotent = rule.treat.idempotent.value_or(said.idempotent);
  if (!idempotent && (said.request.empty() || !said.issued_ms)) {
    respond(ErrorResponse(Invalid(
        "a non-idempotent request needs the headers Rosearch-Request and Rosearch-Issued-At")));
    return;
  }
  auto limit = rule.treat.deadline.value_or(in_force->bounds().request_deadline);
  limit = said.deadline ? std::min<duration>(limit, *said.deadline) : limit;
  wire::call made;
  auto& request = *made.mutable_request();
  request.set_customer(said.customer);
  request.set_request(said.request);
  request.set_service(service);
  request.set_path(rest.size() > service.size() ? rest.substr(service.size()) : "/");
  request.set_body(call.body);
  request.set_idempotent(idempotent);
  request.set_issued_ms(said.issued_ms.value_or(at.unix_ms));
  request.set_rule(rule.name);
  request.set_policy(std::string{config::PolicyFor(rule.treat, config::work_class::kRequest)});
  request.set_retries(rule.treat.retries);
  request.set_priority(rule.treat.priority);
  request.set_label(said.label);
  made.set_shard(access_.home_of(said.customer, said.request));
  access_.call(std::move(made), at.now + limit,
               [respond = std::move(respond), name = rule.name](const wire::call_answer& answer) {
                 respond(RequestResponse(answer, name));
               });
}

void api_service::Submit(const http_call& call, http_respond respond) {
  auto parsed = ParseJob(call.body);
  if (!parsed.value) {
    respond(FaultsResponse(parsed.faults));
    return;
  }
  auto& spec = *parsed.value;
  const auto in_force = access_.configuration();
  const auto kind = ClassOf(spec.kind());
  const auto matched =
      RuleFor(*in_force, {customer_id{spec.customer()}, kind, spec.label(), "", spec.urgent()});
  if (matched.has_error()) {
    respond(ErrorResponse(matched.error()));
    return;
  }
  const auto& rule = *matched.value();
  if (spec.count() > in_force->bounds().max_tasks_per_job) {
    respond(ErrorResponse(Invalid("count: at most limits.max_tasks_per_job")));
    return;
  }
  if (spec.payload().size() > in_force->bounds().max_payload_bytes) {
    respond(ErrorResponse(Invalid("payload: at most limits.max_payload_bytes")));
    return;
  }
  if (!access_.fits_somewhere(internal::FromWire(spec.needs()))) {
    const auto closest = access_.closest_worker
                             ? access_.closest_worker(internal::FromWire(spec.needs()))
                             : std::nullopt;
    respond(ErrorResponse({error_kind::kNeverFits, NeverFitsText(closest)}));
    return;
  }
  if (rule.treat.deadline && spec.deadline_ms() == 0) {
    const auto limit = std::chrono::duration_cast<milliseconds>(*rule.treat.deadline);
    spec.set_deadline_ms(static_cast<std::uint32_t>(limit.count()));
  }
  wire::call made;
  made.set_shard(access_.home_of(spec.customer(), spec.job()));
  auto& job = *made.mutable_submit()->mutable_job();
  *job.mutable_treatment() = TreatmentOf(rule, kind, access_.configuration_record().version());
  *job.mutable_spec() = std::move(spec);
  access_.call(std::move(made), access_.now().now + kJobCallLimit,
               [respond = std::move(respond)](const wire::call_answer& answer) {
                 respond(answer.error().kind().empty()
                             ? JsonResponse(kAccepted, JobJson(answer.job()))
                             : ErrorResponse(FromWire(answer.error())));
               });
}

void api_service::Job(const http_call& call, const std::string& customer, const std::string& job,
                      http_respond respond) {
  wire::call made;
  made.set_shard(access_.home_of(customer, job));
  if (call.method == "GET") {
    made.mutable_status()->set_customer(customer);
    made.mutable_status()->set_job(job);
  } else if (call.method == "DELETE") {
    made.mutable_cancel()->set_customer(customer);
    made.mutable_cancel()->set_job(job);
  } else {
    respond(ErrorResponse({error_kind::kNotFound, call.method + ' ' + call.path}));
    return;
  }
  access_.call(std::move(made), access_.now().now + kJobCallLimit,
               [respond = std::move(respond)](const wire::call_answer& answer) {
                 respond(answer.error().kind().empty() ? JsonResponse(kOk, JobJson(answer.job()))
                                                       : ErrorResponse(FromWire(answer.error())));
               });
}

void api_service::Publish(const http_call& call, http_respond respond) {
  const auto change = HeaderOf(call, "rosearch-change");
  const auto replaces = NumberOf(HeaderOf(call, "rosearch-replaces"));
  if (!IsValidName(change) || !replaces) {
    respond(ErrorResponse(Invalid(
        "a publish needs the headers Rosearch-Change (an id) and Rosearch-Replaces (a version)")));
    return;
  }
  const auto checked = config::ParseConfiguration(call.body);
  if (config::HasError(checked.faults)) {
    respond(FaultsResponse(checked.faults));
    return;
  }
  wire::configuration_record record;
  record.set_change_id(change);
  record.set_replaces(*replaces);
  record.set_version(*replaces + 1);
  record.set_document(call.body);
  record.set_author(HeaderOf(call, "rosearch-author"));
  const auto now = access_.now().now;
  const auto wait = call.query.find("wait_ms");
  const auto wait_ms = wait == call.query.end() ? std::nullopt : NumberOf(wait->second);
  const auto wait_until = now + milliseconds{std::min(wait_ms.value_or(0), kLongestDeadlineMs)};
  access_.publish(
      std::move(record), now + kPublishLimit,
      [this, wait_until, respond = std::move(respond)](const result<config_version>& version) {
        Published(version, wait_until, respond);
      });
}

void api_service::Published(const result<config_version>& version, time_point wait_until,
                            const http_respond& respond) {
  if (version.has_error()) {
    respond(ErrorResponse(version.error()));
    return;
  }
  const std::scoped_lock lock{mutex_};
  waiting_.push_back({version.value(), wait_until, respond});
}

void api_service::Tick(time_point now) {
  std::vector<std::function<void()>> due;
  {
    const std::scoped_lock lock{mutex_};
    due.swap(later_);
  }
  for (const auto& each : due) {
    each();
  }
  const auto lowest = access_.lowest_version();
  const std::scoped_lock lock{mutex_};
  std::erase_if(waiting_, [&](const waiting_publish& item) {
    const bool everywhere = lowest >= item.version;
    if (!everywhere && now < item.deadline) {
      return false;
    }
    item.respond(JsonResponse(
        kOk, json::object{{"version", item.version}, {"in_force_everywhere", everywhere}}));
    return true;
  });
}

http_response api_service::Metrics() const {
  for (const auto& [name, value] : access_.gauges()) {
    metrics_.Set(name, value);
  }
  return {kOk, metrics_.Text(), "text/plain; version=0.0.4"};
}

http_response api_service::Explain(const http_call& call) const {
  const auto parsed = ParseJob(call.body);
  if (!parsed.value) {
    return FaultsResponse(parsed.faults);
  }
  const auto& spec = *parsed.value;
  const auto in_force = access_.configuration();
  const auto kind = ClassOf(spec.kind());
  const auto matched =
      RuleFor(*in_force, {customer_id{spec.customer()}, kind, spec.label(), "", spec.urgent()});
  if (matched.has_error()) {
    return ErrorResponse(matched.error());
  }
  const auto& rule = *matched.value();
  return JsonResponse(kOk, json::object{{"rule", rule.name},
                                        {"policy", config::PolicyFor(rule.treat, kind)},
                                        {"priority", rule.treat.priority},
                                        {"vms", VmsFor(spec, rule.treat.priority)}});
}

json::array api_service::VmsFor(const wire::job_spec& spec, std::uint32_t priority) const {
  placement_request request;
  request.needs = internal::FromWire(spec.needs());
  request.priority = priority;
  request.urgent = spec.urgent();
  json::array rows;
  for (const auto& each : access_.explain(request)) {
    rows.push_back(json::object{{"vm", each.vm.value()},
                                {"reason", PassReasonName(each.reason)},
                                {"missing", AmountsJson(each.missing)}});
  }
  return rows;
}

void api_service::ExplainJob(const std::string& customer, const std::string& job,
                             http_respond respond) {
  wire::call made;
  made.set_shard(access_.home_of(customer, job));
  made.mutable_status()->set_customer(customer);
  made.mutable_status()->set_job(job);
  access_.call(std::move(made), access_.now().now + kJobCallLimit,
               [this, respond = std::move(respond)](const wire::call_answer& answer) {
                 if (!answer.error().kind().empty()) {
                   respond(ErrorResponse(FromWire(answer.error())));
                   return;
                 }
                 // Answers come while the node is locked; looking at its VMs from here would lock
                 // it a second time and stop the entry.
                 const std::scoped_lock lock{mutex_};
                 later_.emplace_back([this, respond, found = answer.job()] {
                   const auto& how = found.job().treatment();
                   auto shape = JobJson(found).as_object();
                   shape["policy"] = how.policy();
                   shape["priority"] = how.priority();
                   shape["needs"] = AmountsJson(internal::FromWire(found.job().spec().needs()));
                   shape["vms"] = VmsFor(found.job().spec(), how.priority());
                   respond(JsonResponse(kOk, shape));
                 });
               });
}

}  // namespace rosearch
