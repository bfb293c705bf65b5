#include "rosearch/api/service.h"

#include <boost/json/parse.hpp>
#include <catch2/catch.hpp>
#include <optional>

#include "rosearch/capacity/amounts.h"

namespace rosearch {
namespace {

namespace json = boost::json;

constexpr const char* kDocument = R"({
  "customers": [{"name": "c", "quota": {"processors_milli": 100, "memory_mb": 100}}],
  "rules": [
    {"name": "never", "match": {"customer": "c", "label": "never"},
     "treat": {"action": "reject", "reason": "not here"}},
    {"name": "quotes", "match": {"customer": "c", "label": "quote"}, "treat": {"idempotent": true}},
    {"name": "jobs", "match": {"customer": "c", "kind": "batch"}, "treat": {"retries": 2}},
    {"name": "orders", "match": {"customer": "c", "kind": "request", "label": "order"},
     "treat": {}}]})";

/// An entry whose answers the test chooses.
class fake_entry {
 public:
  fake_entry() {
    access.now = [this] { return step_time{now, 1'000'000}; };
    access.ready = [] { return true; };
    access.accepting = [this] { return accepting; };
    access.call = [this](wire::call made, time_point, const call_done& done) {
      calls.push_back(std::move(made));
      done(answer);
    };
    access.publish = [this](wire::configuration_record record, time_point,
                            const std::function<void(result<config_version>)>& done) {
      published.push_back(std::move(record));
      done(publish_answer);
    };
    access.drain = [this](const vm_id& vm, bool leaving) -> result<void> {
      drains.emplace_back(vm.value(), leaving);
      return boost::outcome_v2::success();
    };
    access.configuration = [this] { return in_force; };
    access.configuration_record = [] {
      wire::configuration_record record;
      record.set_version(3);
      return record;
    };
    access.history = [] { return std::vector<config::change_verdict>{}; };
    access.lowest_version = [this] { return lowest; };
    access.home_of = [](const std::string&, const std::string&) { return shard_number{0}; };
    access.vms = [] {
      wire::vm_record worker;
      worker.set_vm("worker-1");
      return std::vector{worker};
    };
    access.drains = [] { return std::map<std::string, wire::drain_order>{}; };
    access.fits_somewhere = [](const resources& needs) { return needs.memory_mb <= 1000; };
    access.dump = [] {
      return json::parse(R"({"shards": [{"shard": 0}, {"vms": {"vms": [{"vm": "worker-1",
        "open": true, "condition": "healthy", "tasks": [
          {"needs": {"processors_milli": 1, "memory_mb": 2, "accelerators": 0}},
          {"needs": {"processors_milli": 10, "memory_mb": 20, "accelerators": 1}}]}]}}]})");
    };
    access.explain = [](const placement_request&) {
      return std::vector<vm_explanation>{{vm_id{"worker-1"}, pass_reason::kNoRoom, {1, 2, 3}}};
    };
    access.gauges = [] { return std::map<std::string, double>{{"rosearch_log_up", 1}}; };
  }

  /// @return the answer, or none where it has not come yet.
  const std::optional<http_response>& Ask(const http_call& call) {
    answered.reset();
    service.Handle(call, [this](const http_response& response) {
      CHECK_FALSE(answered);
      answered = response;
    });
    return answered;
  }

  entry_access access;
  metric_set metrics;
  api_service service{access, metrics};
  time_point now{std::chrono::seconds{100}};
  bool accepting{true};
  config_version lowest{3};
  std::shared_ptr<const config::configuration> in_force{
      std::make_shared<config::configuration>(*config::ParseConfiguration(kDocument).value)};
  wire::call_answer answer;
  result<config_version> publish_answer{config_version{4}};
  std::vector<wire::call> calls;
  std::vector<wire::configuration_record> published;
  std::vector<std::pair<std::string, bool>> drains;
  std::optional<http_response> answered;
};

using headers = std::map<std::string, std::string>;

http_call Post(const std::string& path, const std::string& body, headers given = {}) {
  return {"POST", path, {}, std::move(given), body};
}

std::string KindIn(const http_response& response) {
  const auto body = json::parse(response.body);
  return std::string{body.at("error").at("kind").as_string()};
}

std::string Job(const std::string& more, int memory = 10) {
  return R"({"customer": "c", "job": "j", "needs": {"processors_milli": 10, "memory_mb": )" +
         std::to_string(memory) + "}" + more + "}";
}

}  // namespace

TEST_CASE("every kind of error has one shape towards callers") {
  for (int number = 0; number <= static_cast<int>(error_kind::kInternal); ++number) {
    const auto& row = AnswerFor(static_cast<error_kind>(number));
    fake_entry entry;
    *entry.answer.mutable_error() = ToWire({row.kind, "why", std::chrono::milliseconds{1500}});
    const auto response = entry.Ask({"GET", "/v1/jobs/c/j", {}, {}, ""});
    CAPTURE(row.name);
    REQUIRE(response);
    CHECK(response->status == row.http_status);
    CHECK(response->headers.at("Rosearch-Outcome") == OutcomeName(row.effect));
    CHECK(response->headers.at("Retry-After") == "2");
    CHECK(json::parse(response->body) == json::value{{"error",
                                                      {{"kind", row.name},
                                                       {"outcome", OutcomeName(row.effect)},
                                                       {"detail", "why"},
                                                       {"retry_after_ms", 1500}}}});
  }
}

// A caller leaves a header out, or sends what is no job. It has to learn what was wrong, and that
// nothing ran; an entry that ended on such input would take every call under way with it.
TEST_CASE("rejected input gets its kind and reaches no shard", "[truthful-not-run]") {
  struct row {
    http_call call;
    error_kind kind;
  };
  const std::string quote = "/v1/requests/fuel/quote";
  const headers customer{{"rosearch-customer", "c"}, {"rosearch-label", "quote"}};
  const auto with = [&](const std::string& name, const std::string& value) {
    auto all = customer;
    all[name] = value;
    return all;
  };
  const headers order{{"rosearch-customer", "c"}, {"rosearch-label", "order"}};
  using enum error_kind;
  const std::vector<row> rows{
      {Post(quote, ""), kInvalidRequest},
      {Post(quote, "", with("rosearch-customer", "a b")), kInvalidRequest},
      {Post(quote, "", with("rosearch-label", "\xff")), kInvalidRequest},
      {Post(quote, "", with("rosearch-request", "a/b")), kInvalidRequest},
      {Post(quote, "", with("rosearch-idempotent", "yes")), kInvalidRequest},
      {Post(quote, "", with("rosearch-urgent", "1")), kInvalidRequest},
      {Post(quote, "", with("rosearch-issued-at", "now")), kInvalidRequest},
      {Post(quote, "", with("rosearch-deadline-ms", "0")), kInvalidRequest},
      {Post(quote, "", with("rosearch-deadline-ms", "3600001")), kInvalidRequest},
      {Post(quote, "", order), kInvalidRequest},
      {Post(quote, "", with("rosearch-customer", "nobody")), kUnknownCustomer},
      {Post(quote, "", with("rosearch-label", "other")), kNoRule},
      {Post(quote, "", with("rosearch-label", "never")), kRejectedByRule},
      {Post("/v1/jobs", ""), kInvalidRequest},
      {Post("/v1/jobs", R"({"customer":)"), kInvalidRequest},
      {Post("/v1/jobs", "[]"), kInvalidRequest},
      {Post("/v1/jobs", R"({"customer": 5, "job": [], "needs": {}})"), kInvalidRequest},
      {Post("/v1/jobs", Job(R"(, "count": 100000)")), kInvalidRequest},
      {Post("/v1/jobs", Job("", 1001)), kNeverFits},
      {Post("/v1/jobs", Job(R"(, "kind": "gang")")), kNoRule},
      {Post("/v1/jobs", Job(R"(, "label": "never")")), kRejectedByRule},
      {Post("/v1/explain", "{"), kInvalidRequest},
      {Post("/v1/configuration", kDocument), kInvalidRequest},
      {Post("/v1/configuration", kDocument, {{"rosearch-change", "x"}}), kInvalidRequest},
      {Post("/v1/configuration", "{", {{"rosearch-change", "x"}, {"rosearch-replaces", "3"}}),
       kInvalidRequest},
      {Post("/v1/configuration/check", "{"), kInvalidRequest},
      {Post("/v1/vms/worker-9/drain", ""), kNotFound},
      {Post("/v1/vms/worker-1/more/drain", ""), kNotFound},
      {Post("/v1/vms/drain", ""), kNotFound},
      {Post("/v1/requests/", ""), kNotFound},
      {{"PUT", "/v1/jobs/c/j", {}, {}, ""}, kNotFound},
      {{"GET", "/v1/jobsx/c/j", {}, {}, ""}, kNotFound},
      {{"GET", "/", {}, {}, ""}, kNotFound},
      {{"GET", "", {}, {}, ""}, kNotFound},
  };
  for (const auto& each : rows) {
    CAPTURE(each.call.path, each.call.body, AnswerFor(each.kind).name);
    fake_entry entry;
    const auto response = entry.Ask(each.call);
    REQUIRE(response);
    CHECK(KindIn(*response) == AnswerFor(each.kind).name);
    CHECK(response->status == AnswerFor(each.kind).http_status);
    CHECK(response->headers.at("Rosearch-Outcome") == "not_run");
    CHECK(entry.calls.empty());
    CHECK(entry.published.empty());
    CHECK(entry.drains.empty());
  }
}

TEST_CASE("an entry that does not know the configuration takes no work") {
  fake_entry entry;
  entry.accepting = false;
  for (const auto* const path : {"/v1/jobs", "/v1/requests/fuel/quote", "/v1/configuration"}) {
    const auto response = entry.Ask(Post(path, Job("")));
    REQUIRE(response);
    CHECK(KindIn(*response) == "not_ready");
  }
  CHECK(entry.calls.empty());
}

TEST_CASE("a job is submitted with what its rule says") {
  fake_entry entry;
  REQUIRE(entry.Ask(Post("/v1/jobs", Job("")))->status == 202);
  const auto& job = entry.calls.at(0).submit().job();
  CHECK(job.treatment().rule() == "jobs");
  CHECK(job.treatment().retries() == 2);
  CHECK(job.treatment().config_version() == 3);
}

TEST_CASE("a publish is answered when it is in force, or when its wait is over") {
  struct row {
    result<config_version> answer;
    config_version lowest;
    unsigned status;
    const char* body;
  };
  const headers given{{"rosearch-change", "x"}, {"rosearch-replaces", "3"}};
  const std::vector<row> rows{
      {config_version{4}, 4, 200, R"({"version":4,"in_force_everywhere":true})"},
      {config_version{4}, 3, 200, R"({"version":4,"in_force_everywhere":false})"},
      {error{error_kind::kVersionConflict, "4 stands"}, 4, 409, ""},
      {error{error_kind::kLogUnavailable, "down"}, 3, 503, ""},
  };
  for (const auto& each : rows) {
    fake_entry entry;
    entry.publish_answer = each.answer;
    entry.lowest = each.lowest;
    auto call = Post("/v1/configuration", kDocument, given);
    call.query["wait_ms"] = "1000";
    const auto& response = entry.Ask(call);
    CHECK(response.has_value() == each.answer.has_error());
    entry.service.Tick(entry.now);
    CHECK(response.has_value() == (each.answer.has_error() || each.lowest == 4));
    entry.service.Tick(entry.now + std::chrono::seconds{1});
    REQUIRE(response);
    CHECK(response->status == each.status);
    if (each.answer.has_value()) {
      CHECK(json::parse(response->body) == json::parse(each.body));
    }
  }
}

TEST_CASE("an accepted job is explained by its rule and the VMs") {
  fake_entry entry;
  entry.answer.mutable_job()->mutable_job()->mutable_treatment()->set_rule("jobs");
  const auto& response = entry.Ask({"GET", "/v1/jobs/c/j/explain", {}, {}, ""});
  CHECK_FALSE(response);  // not while the node is locked
  entry.service.Tick(entry.now);
  REQUIRE(response);
  const auto body = json::parse(response->body);
  CHECK(body.at("rule") == "jobs");
  CHECK(body.at("vms").at(0).at("reason") == "no_room");
}

TEST_CASE("VMs show what is committed and metrics show gauges") {
  fake_entry entry;
  const auto vms = json::parse(entry.Ask({"GET", "/v1/vms", {}, {}, ""})->body);
  const auto& vm = vms.at("vms").at(0);
  CHECK(vm.at("committed") ==
        json::value{{"processors_milli", 11}, {"memory_mb", 22}, {"accelerators", 1}});
  CHECK(vm.at("tasks").to_number<int>() == 2);
  const auto metrics = entry.Ask({"GET", "/metrics", {}, {}, ""})->body;
  CHECK(metrics.find("rosearch_log_up 1\n") != std::string::npos);
}

}  // namespace rosearch
