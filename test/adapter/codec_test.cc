#include "platform/codec.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "platform/json_value.h"
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

TEST_CASE("a worker's entry names the start of its incarnation") {
  const auto with_born = [](const std::string& value) {
    return DecodeWorker("i-1", R"({"born":)" + value + ',' + kWorker.substr(1));
  };
  CHECK(DecodeWorker("i-1", kWorker).value().born == 0);
  CHECK(with_born("1796365682123").value().born == 1'796'365'682'123);
  CHECK(DecodeReportBorn(*ParseObject(R"({"born":7,"running":[]})")) == 7);
  CHECK(DecodeReportBorn(*ParseObject(R"({"running":[]})")) == 0);
  CHECK(DecodeReportBorn(*ParseObject(R"({"born":"7"})")) == 0);
}

// Guards against registry entries of other writers whose members are missing or of the wrong type,
// name no known state, are huge, or that aren't JSON. If such an entry were accepted, tasks placed
// on that worker would never start, and a huge start of an incarnation would hide the real ones.
TEST_CASE("an entry that can't be read in full names no worker, and the member is reported") {
  struct change {
    std::string from;
    std::string to;
    std::string cause;
  };
  const std::vector<change> changes{
      {R"("ready")", R"("broken")", "state"},
      {R"("ready")", "5", "state"},
      {R"("state":"ready",)", "", "state"},
      {R"("10.0.0.9:8080")", "17", "address"},
      {R"("10.0.0.9:8080")", R"("x")", "address"},
      {R"("10.0.0.9:8080")", R"(":8080")", "address"},
      {R"("10.0.0.9:8080")", R"("10.0.0.9:http")", "address"},
      {R"("10.0.0.9:8080")", R"("10.0.0.9:80800")", "address"},
      {R"("10.0.0.9:8080")", R"("10.0.0.9:0")", "address"},
      {R"("address":"10.0.0.9:8080",)", "", "address"},
      {R"("cpu":16000,)", "", "capacity"},
      {R"(16000)", R"("many")", "capacity"},
      {R"(16000)", "-4", "capacity"},
      {R"(16000)", "1e15", "capacity"},
      {R"(32768)", "99999999999999999999", "capacity"},
      {R"("gpu":0)", R"("gpu":"none")", "capacity"},
      {R"({"cpu":16000,"mem-mb":32768,"gpu":0})", "[16000]", "capacity"},
      {R"(["a","r1"])", "7", "labels"},
      {R"(["a","r1"])", R"(["a",1])", "labels"},
      {R"(,"labels":["a","r1"])", "", "labels"},
      {R"("service":"s",)", "", "service"},
      {R"("service":"s")", R"("service":"")", "service"},
      {R"("zone":"z")", R"("zone":3)", "zone"},
      {R"("sequence":4)", R"("remaining-ms":"soon")", "remaining-ms"},
      {R"("sequence":4)", R"("born":"1796365682123")", "born"},
      {R"("sequence":4)", R"("born":1796365682123.5)", "born"},
      {R"("sequence":4)", R"("born":-1)", "born"},
      {R"("sequence":4)", R"("born":null)", "born"},
      {R"("sequence":4)", R"("born":9000000000000000)", "born"},
      {R"("sequence":4)", R"("born":18446744073709551615)", "born"},
      {R"({"service")", R"(["service")", "not a JSON object"}};
  for (const auto& each : changes) {
    auto text = kWorker;
    REQUIRE(text.find(each.from) != std::string::npos);
    text.replace(text.find(each.from), each.from.size(), each.to);
    INFO(text);
    const auto read = DecodeWorker("i-1", text);
    REQUIRE(read.has_error());
    CHECK(read.error().detail == each.cause);
  }
  const std::vector<std::string> texts{std::string("\xff\x00\x13", 3),
                                       "null",
                                       "17",
                                       "[]",
                                       "{}",
                                       "{",
                                       kWorker + "x",
                                       kWorker.substr(0, kWorker.size() / 2),
                                       std::string(100'000, '['),
                                       std::string(100'000, '9')};
  for (const auto& text : texts) {
    CHECK(DecodeWorker("i-1", text).has_error());
  }
  CHECK(DecodeWorker("", kWorker).has_error());
}

// Values of any type in any member. An entry that is accepted must be one that can be scheduled on.
TEST_CASE("an entry with random values names a usable worker or none") {
  random_source random{23};
  const std::array<std::string, 12> values{"null",
                                           "true",
                                           "-1",
                                           "0",
                                           "7.5",
                                           "1e300",
                                           "9007199254740993",
                                           "18446744073709551615",
                                           R"("")",
                                           R"("ready")",
                                           "[]",
                                           R"({"cpu":1,"mem-mb":1})"};
  const std::array<std::string, 10> members{"service", "address",      "zone", "state", "capacity",
                                            "labels",  "remaining-ms", "born", "cpu",   "gpu"};
  int usable = 0;
  for (int round = 0; round < 20'000; ++round) {
    auto entry = *ParseObject(kWorker);
    for (auto changes = random.Between(1, 3); changes > 0; --changes) {
      const auto pick = [&](const auto& list) {
        return list[static_cast<std::size_t>(
            random.Between(0, static_cast<std::int64_t>(list.size()) - 1))];
      };
      const auto member = pick(members);
      const auto value = boost::json::parse(pick(values));
      auto* const capacity = entry["capacity"].if_object();
      const bool amount = (member == "cpu" || member == "gpu") && capacity != nullptr;
      (amount ? *capacity : entry)[member] = value;
    }
    const auto read = DecodeWorker("i-1", boost::json::serialize(entry));
    if (read.has_error()) {
      CHECK_FALSE(read.error().detail.empty());
      continue;
    }
    ++usable;
    const auto& facts = read.value();
    CHECK(facts.born >= 0);
    CHECK(facts.born <= 4'102'444'800'000);
    CHECK(std::max(facts.capacity.processors_milli, facts.capacity.accelerators) <= 1'000'000'000);
    CHECK(std::min(facts.capacity.processors_milli, facts.capacity.accelerators) >= 0);
    CHECK_FALSE(facts.pool.empty());
  }
  CHECK(usable > 0);
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
