#include "rosearch/config/configuration.h"

#include <boost/json/serialize.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <vector>

namespace rosearch::config {
namespace {

using namespace std::chrono_literals;

constexpr std::string_view kCalandria =
    R"({"name":"calandria","quota":{"processors_milli":1000,"memory_mb":10}})";
constexpr std::string_view kAll = R"({"name":"all"})";

std::string Document(std::string_view customers, std::string_view rules,
                     std::string_view rest = "") {
  return R"({"customers":[)" + std::string{customers} + R"(],"rules":[)" + std::string{rules} +
         "]" + std::string{rest} + "}";
}

struct faulty_row {
  std::string_view what;
  std::string text;
  std::vector<std::string> paths;
  std::string_view hint;  ///< stands in one of the faults
};

/// A rule for one label of one customer.
rule LabelRule(std::size_t number) {
  return {.name = "r" + std::to_string(number),
          .match = {.customer = customer_id{"c" + std::to_string(number % 21)},
                    .kind = std::nullopt,
                    .label = text_pattern{"label" + std::to_string(number)},
                    .service = text_pattern{},
                    .urgent = std::nullopt},
          .treat = {}};
}

const rule* FirstByScan(const rule_set& rules, const work_kind& work) {
  for (const auto& each : rules.rules()) {
    if (each.match.Matches(work)) {
      return &each;
    }
  }
  return nullptr;
}

}  // namespace

TEST_CASE("a document of few keys is completed by defaults and survives a round trip") {
  const auto read = ParseConfiguration(Document(
      kCalandria,
      R"({"name":"quotes","match":{"customer":"calandria","kind":"request","label":"quote*"},
          "treat":{"deadline_ms":250,"idempotent":true}},{"name":"all","treat":{"priority":7}})"));
  REQUIRE(read.value);
  CHECK(read.faults.empty());
  const auto& first = read.value->rules().rules().front();
  CHECK(first.treat.deadline == duration{250ms});
  CHECK(first.treat.idempotent == true);
  CHECK(PolicyFor(first.treat, work_class::kRequest) == "quick");
  CHECK(read.value->FindCustomer(customer_id{"calandria"})->quota.max_queued == 1000);
  CHECK(read.value->FindCustomer(customer_id{"nobody"}) == nullptr);
  CHECK(read.value->Match({.customer = customer_id{"calandria"}, .label = "quote-7"}) == &first);
  const auto again = ParseConfiguration(boost::json::serialize(read.value->ToJson()));
  REQUIRE(again.value);
  CHECK(*again.value == *read.value);
}

TEST_CASE("every fault of a document is told at once, with its place", "[config-in-force]") {
  // An operator who publishes at night and learns of one mistake per try needs as many tries as
  // there are mistakes; a mistake that is not told at all is in force within seconds.
  const std::vector<faulty_row> rows{
      {"no JSON", "{", {""}, "JSON object"},
      {"a list", "[]", {""}, "JSON object"},
      {"nothing", "{}", {"customers", "rules"}, "nothing"},
      {"misspelt keys",
       Document(kCalandria, R"({"nam":"x","treat":{"retrys":1}})"),
       {"rules[0].nam", "rules[0].name", "rules[0].treat.retrys"},
       "did you mean retries?"},
      {"key far from all",
       Document(kCalandria, kAll, R"(,"zzzzzzzz":1)"),
       {"zzzzzzzz"},
       "no such key"},
      {"wrong types",
       Document(kCalandria, R"({"name":7,"match":[],"treat":{"preemptible":"no"}})"),
       {"rules[0].name", "rules[0].match", "rules[0].treat.preemptible"},
       "true or false"},
      {"no object in a list", Document("4", kAll), {"customers[0]"}, "an object"},
      {"negative, absurd, fractional",
       Document(R"({"name":"a","weight":1.5,"quota":{"processors_milli":-1,"memory_mb":1e30,
                   "accelerators":99999999999999999999}})",
                kAll),
       {"customers[0].weight", "customers[0].quota.processors_milli",
        "customers[0].quota.memory_mb", "customers[0].quota.accelerators"},
       "whole number"},
      {"the same customer twice",
       Document(std::string{kCalandria} + "," + std::string{kCalandria}, kAll),
       {"customers[1].name"},
       "no other customer"},
      {"the same rule twice",
       Document(kCalandria, R"({"name":"a","match":{"kind":"gang"}},{"name":"a"})"),
       {"rules[1].name"},
       "no other rule"},
      {"a customer called as all",
       Document(R"({"name":"*","quota":{"processors_milli":1,
       "memory_mb":1}})",
                kAll),
       {"customers[0].name"},
       "all customers"},
      {"a rule for nobody",
       Document(kCalandria, R"({"name":"a","match":{"customer":"caland"}})"),
       {"rules[0].match.customer"},
       "customers"},
      {"a rejection without a reason",
       Document(kCalandria, R"({"name":"a","treat":{"action":"reject"}})"),
       {"rules[0].treat.reason"},
       "callers"},
      {"a word that is none",
       Document(kCalandria, R"({"name":"a","treat":{"policy":"best"}})"),
       {"rules[0].treat.policy"},
       "pack spread quick urgent"},
      {"a key given twice",
       Document(kCalandria, R"({"name":"a","name":"b"})"),
       {"rules[0].name"},
       "given once"},
  };
  CHECK_FALSE(ParseConfiguration(std::string(2 << 20, ' ')).value);
  for (const auto& row : rows) {
    INFO(row.what);
    const auto read = ParseConfiguration(row.text);
    CHECK_FALSE(read.value);
    std::vector<std::string> paths;
    for (const auto& each : read.faults) {
      paths.push_back(each.path);
    }
    CHECK_THAT(paths, Catch::UnorderedEquals(row.paths));
    CHECK_THAT(ToString(read.faults), Catch::Contains(std::string{row.hint}));
  }
}

TEST_CASE("a rule that can never decide is warned of") {
  const auto read =
      ParseConfiguration(Document(kCalandria, R"({"name":"wide","match":{"label":"n*"}},
                     {"name":"narrow","match":{"customer":"calandria","label":"night*"}},
                     {"name":"other","match":{"label":"day"}})"));
  REQUIRE(read.value);
  REQUIRE(read.faults.size() == 1);
  CHECK(read.faults[0].path == "rules[1]");
  CHECK(read.faults[0].severity == fault_severity::kWarning);
}

TEST_CASE("the indexed look-up finds what a scan finds") {
  std::vector<rule> all;
  for (std::size_t number = 0; number < 689; ++number) {
    rule next = LabelRule(number);
    if (number % 7 == 0) {
      next.match.customer.reset();
      next.match.kind = work_class::kGang;
    }
    if (number % 5 == 0) {
      next.match.label = text_pattern{"label" + std::to_string(number) + "*"};
    }
    all.push_back(std::move(next));
  }
  all.push_back({.name = "last", .match = {}, .treat = {}});
  const rule_set rules{all};
  for (std::size_t number = 0; number < 1000; ++number) {
    const work_kind work{.customer = customer_id{"c" + std::to_string(number % 23)},
                         .kind = number % 2 == 0 ? work_class::kGang : work_class::kBatch,
                         .label = "label" + std::to_string(number)};
    REQUIRE(rules.Match(work) == FirstByScan(rules, work));
  }
  CHECK(rules.Match({.customer = customer_id{"c1"}, .label = "none"})->name == "last");
  CHECK(rule_set{}.Match({}) == nullptr);
}

TEST_CASE("a difference names each key, and a moved rule is no other change") {
  const auto before = ParseConfiguration(Document(
      kCalandria, R"({"name":"a","match":{"kind":"gang"}},{"name":"b","match":{"kind":"batch"}})"));
  const auto after =
      ParseConfiguration(Document(kCalandria, R"({"name":"b","match":{"kind":"batch"}},
                     {"name":"a","match":{"kind":"gang"},"treat":{"deadline_ms":5}})"));
  CHECK(Diff(*before.value, *before.value).empty());
  CHECK(Diff(*before.value, *after.value) ==
        std::vector<std::string>{"rules[a].treat.deadline_ms: none -> 5",
                                 "rules: the order of rules kept from before has changed"});
}

}  // namespace rosearch::config
