#include "platform/codec.h"

#include <array>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "rosearch/core/random_source.h"

namespace rosearch::platform {
namespace {

using std::chrono::milliseconds;

const std::string kWorker =
    R"({"service":"s","address":"10.0.0.9:8080","zone":"z","version":"v1","slots":8,)"
    R"("state":"ready","capacity":{"cpu":16000,"mem-mb":32768,"gpu":0},"labels":["a","r1"],)"
    R"("clock-ms":5,"sequence":4})";
const std::string kJob =
    R"({"spec":"text","steps":[{"count":4,"cpu":500,"mem-mb":256,"estimate-ms":900},)"
    R"({"count":2,"cpu":100,"mem-mb":1,"estimate-ms":7000,"depends-on":[0],"checkpointing":true,)"
    R"("all-or-nothing":true,"may-miss":1}]})";
const std::string kConfiguration =
    R"({"version":7,"routes":[{"name":"r","host":"Nony24.example","path-prefix":"/l/",)"
    R"("timeout-ms":3000,"target-latency-ms":250,"priority":0,"service":"s","max-attempts":2,)"
    R"("stretch":1.5,"advice":{"decide-ms":18.0,"period-ms":0.26,"valid-ms":2500}}],)"
    R"("services":[{"name":"s","enforces-capacity":false,"standby":false}],)"
    R"("limits":{"max-header-bytes":100,"max-body-bytes":200,"header-timeout-ms":300,)"
    R"("idle-timeout-ms":400}})";

const std::string kWithCustomers =
    R"({"version":8,"routes":[{"name":"r","host":"h","path-prefix":"/l/","service":"s"},)"
    R"({"name":"o","host":"h","path-prefix":"/o/","service":"s","allow-anonymous":true}],)"
    R"("tenants":[{"name":"t1","api-keys":["k1","k2"],"weight":2.5,)"
    R"("max-count":{"cpu":64000,"mem-mb":1000,"gpu":0}},{"name":"t2","api-keys":[]}]})";

}  // namespace

TEST_CASE("tenants become customers, and their queues require a key") {
  const auto read = DecodeConfiguration(kWithCustomers);
  REQUIRE(read.has_value());
  const auto& made = read.value();
  REQUIRE(made.customers.size() == 2);
  CHECK(made.customers[0].weight == 2.5);
  CHECK(made.customers[0].limit == resources{64'000, 1'000, 0});
  CHECK(made.customers[1].limit == resources{});
  REQUIRE(made.keys.Find(sched::key_digest::Of("k2")) != nullptr);
  CHECK(*made.keys.Find(sched::key_digest::Of("k2")) == "t1");
  CHECK(made.keys.Find(sched::key_digest::Of("k3")) == nullptr);
  CHECK(made.Match("h", "/l/x")->requires_key);
  CHECK_FALSE(made.Match("h", "/o/x")->requires_key);
}

TEST_CASE("customers that can't be meant are refused with the place") {
  const auto decode = [](const std::string& tenants) {
    return DecodeConfiguration(R"({"version":8,"tenants":[)" + tenants + "]}");
  };
  const auto shared = decode(R"({"name":"a","api-keys":["k"]},{"name":"b","api-keys":["k"]})");
  REQUIRE(shared.has_error());
  CHECK(shared.error().detail.find("tenants: b ") == 0);
  const auto negative = decode(R"({"name":"a","max-count":{"cpu":-1}})");
  REQUIRE(negative.has_error());
  CHECK(negative.error().detail.find("tenants: a ") == 0);
  CHECK(decode(R"({"api-keys":["k"]})").has_error());
  CHECK(decode("7").has_error());
  CHECK(decode(R"({"name":"a"})").has_value());
}

TEST_CASE("the operator's configuration becomes queues, pools and limits") {
  const auto decoded = DecodeConfiguration(kConfiguration);
  REQUIRE(decoded.has_value());
  const auto& read = decoded.value();
  CHECK(read.version == 7);
  const auto* const queue = read.Match("nony24.example", "/l/0123456789abcdef");
  REQUIRE(queue != nullptr);
  CHECK(queue->advice->per_worker == std::chrono::microseconds{260});
  CHECK(queue->latency_target == milliseconds{250});
  CHECK(read.Match("other", "/l/") == nullptr);
  CHECK(read.limits.idle_timeout == milliseconds{400});
  CHECK_FALSE(queue->requires_key);
}

TEST_CASE("the longest path prefix selects the queue") {
  auto read = DecodeConfiguration(kConfiguration).value();
  auto longer = read.queues[0];
  longer.path_prefix = "/l/m/";
  longer.name = "longer";
  read.queues.push_back(longer);
  CHECK(read.Match("nony24.example", "/l/m/x")->name == "longer");
  CHECK(read.Match("nony24.example", "/l/x")->name == "r");
}

TEST_CASE("a worker's entry names its kind, rack and room") {
  const auto read = DecodeWorker("i-1", kWorker);
  REQUIRE(read.has_value());
  CHECK(read.value().rack == "r1");
  CHECK(read.value().capacity == resources{16'000, 32'768, 0});
  CHECK_FALSE(read.value().draining);
}

// Guards against registry entries of other writers whose members are missing or of the wrong type,
// or that aren't JSON. If such an entry were accepted, tasks placed on that worker would never
// start.
TEST_CASE("an entry that can't be read in full names no worker") {
  const std::vector<std::pair<std::string, std::string>> changes{
      {R"("ready")", R"("broken")"},
      {R"("ready")", "5"},
      {R"("10.0.0.9:8080")", "17"},
      {R"("10.0.0.9:8080")", R"("x")"},
      {R"("cpu":16000,)", ""},
      {R"(16000)", R"("many")"},
      {R"(["a","r1"])", "7"},
      {R"("service":"s",)", ""},
      {R"(16000)", "-4"},
      {R"({"service")", R"(["service")"}};
  for (const auto& [from, to] : changes) {
    auto text = kWorker;
    text.replace(text.find(from), from.size(), to);
    INFO(text);
    CHECK(DecodeWorker("i-1", text).has_error());
  }
  CHECK(DecodeWorker("i-1", std::string("\xff\x00\x13", 3)).has_error());
}

TEST_CASE("a job keeps its steps, and what they depend on") {
  const auto read = DecodeJob(kJob);
  REQUIRE(read.has_value());
  const auto& job = read.value();
  CHECK(job.payload == "text");
  CHECK(job.steps[1].after == std::vector<std::uint32_t>{0});
  CHECK(job.steps[1].gang);
  CHECK(job.steps[1].max_unavailable == 1U);
}

TEST_CASE("an invalid job is refused with a reason") {
  const std::vector<std::pair<std::string, std::string>> changes{
      {R"("depends-on":[0])", R"("depends-on":[1])"},
      {R"("depends-on":[0])", R"("depends-on":0)"},
      {R"("count":4)", R"("count":0)"},
      {R"("count":4)", R"("count":"four")"},
      {R"("spec":"text",)", ""},
      {R"("checkpointing":true)", R"("checkpointing":1)"},
      {R"("cpu":500)", R"("cpu":-1)"}};
  for (const auto& [from, to] : changes) {
    auto text = kJob;
    text.replace(text.find(from), from.size(), to);
    INFO(text);
    CHECK(DecodeJob(text).has_error());
  }
  CHECK(DecodeJob("").has_error());
  CHECK(DecodeJob(R"({"spec":"x","steps":[]})").has_error());
}

TEST_CASE("randomly changed bytes are decoded or refused without a crash") {
  random_source random{17};
  for (int round = 0; round < 20'000; ++round) {
    const std::array texts{kWorker, kJob, kConfiguration, kWithCustomers};
    auto text = texts[static_cast<std::size_t>(round) % texts.size()];
    for (auto changes = random.Between(1, 4); changes > 0; --changes) {
      const auto at =
          static_cast<std::size_t>(random.Between(0, static_cast<std::int64_t>(text.size()) - 1));
      text[at] = static_cast<char>(random.Between(0, 255));
    }
    (void)DecodeWorker("i-1", text);
    (void)DecodeJob(text);
    (void)DecodeConfiguration(text);
  }
  SUCCEED();
}

TEST_CASE("phases and ids as callers see them") {
  CHECK(EncodePhase(sched::job_phase::kCompleted) == R"({"state":"completed"})");
  CHECK(EncodeWaiting(12) == R"({"waiting":12})");
  CHECK(IsJobId("5c0e7a21d94b36f8"));
  CHECK_FALSE(IsJobId("5c0e7a21d94b36f"));
  CHECK_FALSE(IsJobId("5c0e7a21d94b36fz"));
}

}  // namespace rosearch::platform
