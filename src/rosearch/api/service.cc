#include "rosearch/api/service.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>
#include <chrono>
#include <optional>
#include <string_view>
#include <utility>

#include "rosearch/api/answers.h"
#include "rosearch/api/job_document.h"
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

std::string HeaderOf(const http_call& call, const std::string& name) {
  const auto found = call.headers.find(name);
  return found == call.headers.end() ? std::string{} : found->second;
}

/// @return the number, or none where the text is absent or no number.
std::optional<std::uint64_t> NumberOf(const std::string& text) {
  std::uint64_t value = 0;
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
  if (text.empty() || parsed.ec != std::errc{} || parsed.ptr != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

std::optional<bool> FlagOf(const std::string& text) {
  if (text == "true" || text == "false") {
    return text == "true";
  }
  return std::nullopt;
}

error Invalid(std::string detail) { return {error_kind::kInvalidRequest, std::move(detail)}; }

/// What the headers of a request say.
struct request_headers {
  std::string customer;
  std::string request;
  std::string label;
  bool idempotent{false};
  bool urgent{false};
  std::optional<std::uint64_t> issued_ms;
  std::optional<milliseconds> deadline;
};

constexpr std::uint64_t kLongestDeadlineMs = 3'600'000;
constexpr std::size_t kLongestLabel = 64;

/// Header values may hold any byte, but between entries a text that is not UTF-8 can't be read: the
/// message would be dropped and the caller would wait for its whole deadline.
bool IsPlainText(std::string_view text) {
  return std::ranges::all_of(text, [](char each) { return each >= ' ' && each <= '~'; });
}

result<request_headers> ReadHeaders(const http_call& call) {
  request_headers read;
  read.customer = HeaderOf(call, "rosearch-customer");
  read.request = HeaderOf(call, "rosearch-request");
  read.label = HeaderOf(call, "rosearch-label");
  if (read.customer.empty()) {
    return Invalid("header Rosearch-Customer is missing");
  }
  if (!IsValidName(read.customer)) {
    return Invalid("header Rosearch-Customer: letters, digits and . _ : - only, at most 128");
  }
  if (read.label.size() > kLongestLabel || !IsPlainText(read.label)) {
    return Invalid("header Rosearch-Label: printable ASCII only, at most 64");
  }
  if (!read.request.empty() && !IsValidName(read.request)) {
    return Invalid("header Rosearch-Request: letters, digits and . _ : - only, at most 128");
  }
  for (const auto& [name, flag] : {std::pair{"rosearch-idempotent", &read.idempotent},
                                   std::pair{"rosearch-urgent", &read.urgent}}) {
    const auto text = HeaderOf(call, name);
    const auto value = FlagOf(text);
    if (!text.empty() && !value) {
      return Invalid(std::string{"header "} + name + ": true or false, found " + text);
    }
    *flag = value.value_or(false);
  }
  const auto issued = HeaderOf(call, "rosearch-issued-at");
  read.issued_ms = NumberOf(issued);
  if (!issued.empty() && !read.issued_ms) {
    return Invalid("header Rosearch-Issued-At: Unix time in milliseconds, found " + issued);
  }
  const auto deadline = HeaderOf(call, "rosearch-deadline-ms");
  const auto deadline_ms = NumberOf(deadline);
  if (!deadline.empty() &&
      (!deadline_ms || *deadline_ms == 0 || *deadline_ms > kLongestDeadlineMs)) {
    return Invalid("header Rosearch-Deadline-Ms: 1 to 3600000, found " + deadline);
  }
  if (deadline_ms) {
    read.deadline = milliseconds{*deadline_ms};
  }
  return read;
}

/// An id that isn't declared idempotent may be the repeat of one that ran at another entry.
bool MayBeRepeat(const http_call& call) {
  return call.path.starts_with(kRequestsPath) && !HeaderOf(call, "rosearch-request").empty() &&
         HeaderOf(call, "rosearch-idempotent") != "true";
}

/// What the rules say of a piece of work, or why it is refused.
result<const config::rule*> RuleFor(const config::configuration& in_force,
                                    const config::work_kind& work) {
  if (in_force.FindCustomer(work.customer) == nullptr) {
    return error{error_kind::kUnknownCustomer, "no customer " + work.customer.value()};
  }
  const auto* const rule = in_force.Match(work);
  if (rule == nullptr) {
    return error{error_kind::kNoRule, "no rule matches"};
  }
  if (rule->treat.action == config::admission::kReject) {
    return error{error_kind::kRejectedByRule, rule->name + ": " + rule->treat.reason};
  }
  return rule;
}

config::work_class ClassOf(wire::job_kind kind) {
  switch (kind) {
    case wire::JOB_GANG:
      return config::work_class::kGang;
    case wire::JOB_SERVICE:
      return config::work_class::kService;
    default:
      return config::work_class::kBatch;
  }
}

wire::job_treatment TreatmentOf(const config::rule& rule, config::work_class kind,
                                config_version version) {
  wire::job_treatment treatment;
  treatment.set_config_version(version);
  treatment.set_rule(rule.name);
  treatment.set_policy(std::string{config::PolicyFor(rule.treat, kind)});
  treatment.set_priority(rule.treat.priority);
  treatment.set_retries(rule.treat.retries);
  treatment.set_preemptible(rule.treat.preemptible);
  return treatment;
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

json::object AmountsJson(const resources& amounts) {
  return {{"processors_milli", amounts.processors_milli},
          {"memory_mb", amounts.memory_mb},
          {"accelerators", amounts.accelerators}};
}

std::string NeverFitsText(const std::optional<closest_vm>& closest) {
  std::string text = "larger than every worker that is listed";
  if (closest) {
    text += "; the closest is " + closest->vm.value() + ", which lacks " +
            json::serialize(AmountsJson(closest->missing));
  }
  return text;
}

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

api_service::api_service(const entry_access& access, metric_set& metrics)
    : access_{access}, metrics_{metrics} {}

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
    respond(Configuration());
  } else if (is_get && call.path == "/v1/configuration/history") {
    respond(History());
  } else if (call.method == "POST" && call.path == "/v1/configuration/check") {
    respond(CheckConfiguration(call));
  } else if (is_get && call.path == "/v1/quotas") {
    respond(Quotas());
  } else if (is_get && call.path == kVmsPath) {
    respond(Vms());
  } else if (call.path == "/v1/explain" && call.method == "POST") {
    respond(Explain(call));
  } else if (call.path.starts_with(kVmPath) && (call.method == "POST" || call.method == "DELETE")) {
    const auto parts = PathParts(call.path);
    if (parts.size() != 4 || parts[3] != "drain") {
      return false;
    }
    respond(Drain(parts[2], call.method == "POST"));
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

http_response api_service::Configuration() const {
  const auto record = access_.configuration_record();
  return JsonResponse(kOk, json::object{{"version", record.version()},
                                        {"change", record.change_id()},
                                        {"author", record.author()},
                                        {"lowest_version", access_.lowest_version()},
                                        {"document", access_.configuration()->ToJson()}});
}

http_response api_service::History() const {
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

http_response api_service::CheckConfiguration(const http_call& call) const {
  const auto checked = config::ParseConfiguration(call.body);
  if (config::HasError(checked.faults)) {
    return FaultsResponse(checked.faults);
  }
  return JsonResponse(kOk, json::object{{"faults", FaultsJson(checked.faults)}});
}

http_response api_service::Quotas() const {
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

http_response api_service::Vms() const {
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

http_response api_service::Drain(const std::string& vm, bool leaving) const {
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
