#include <boost/json/array.hpp>
#include <catch2/catch.hpp>
#include <future>
#include <string>
#include <utility>
#include <vector>

#include "process/cell.h"

namespace rosearch::test {
namespace {

struct log_fault {
  const char* name;
  const char* fault;
};

// The log takes a publish and its answer is lost, cut short or garbage. The entry must find out
// what became of it: a second copy in force would undo what another operator published in between,
// and an operator told "failed" would publish again.
TEST_CASE("a publish whose log answer is lost is in force once", "[config-in-force]") {
  cell cell;
  int version = 1;
  const std::vector<log_fault> rows{{"lost", R"({"lose_answers":15})"},
                                    {"cut", R"({"cut_answers":15})"},
                                    {"garbage", R"({"garbage_answers":15})"}};
  for (const auto& row : rows) {
    const std::string change = std::string{"change-"} + row.name;
    cell.Fault("log", row.fault);
    auto answer = cell.Publish(1, change, version, Rules("tariff"), "?wait_ms=15000");
    INFO(row.name << ' ' << ToText(answer));
    CHECK((answer.status == 200 || answer.outcome == "unknown"));
    cell.Fault("log", "{}");
    // The operator's own retry of the same change is the same change.
    answer = cell.Publish(2, change, version, Rules("tariff"), "?wait_ms=15000");
    INFO("again: " << ToText(answer));
    CHECK(answer.status == 200);
    ++version;
    for (int entry = 1; entry <= 3; ++entry) {
      cell.Until("the version at each entry", [&] { return cell.ConfigVersion(entry) == version; });
      CHECK(cell.Accepted(entry, change) == 1);
    }
  }
}

// Two operators edit the same version and publish at the same moment at two entries. One has to
// learn that it lost and to which version: where both were told "published", a change is gone
// without anybody's notice.
TEST_CASE("of two operators exactly one wins", "[config-in-force]") {
  cell cell;
  for (int version = 1; version <= 5; ++version) {
    std::vector<std::future<reply>> answers;
    for (int entry = 1; entry <= 2; ++entry) {
      answers.push_back(cell.SendTo(
          entry, "POST", "/v1/configuration", Rules("label-" + std::to_string(entry)),
          {{"Rosearch-Change", "race-" + std::to_string(version) + '-' + std::to_string(entry)},
           {"Rosearch-Replaces", std::to_string(version)}}));
    }
    const auto one = answers[0].get();
    const auto two = answers[1].get();
    INFO(ToText(one) << ToText(two));
    const auto& lost = one.status == 200 ? two : one;
    CHECK((one.status == 200) != (two.status == 200));
    CHECK(lost.status == 409);
    CHECK(lost.Kind() == "version_conflict");
    const auto stands = "version " + std::to_string(version + 1) + " stands";
    CHECK(lost.body.find(stands) != std::string::npos);
    for (int entry = 1; entry <= 3; ++entry) {
      cell.Until("the version", [&] { return cell.ConfigVersion(entry) == version + 1; });
    }
  }
}

// An entry starts while the log is down, so it can't read which rules are in force. Where it served
// by none, or by rules from long ago, callers would be refused or treated by withdrawn rules.
TEST_CASE("an entry that starts in a log outage serves the version of its peers",
          "[config-in-force]") {
  cell cell;
  cell.Entry(3).Kill();
  REQUIRE(cell.Publish(1, "second", 1, Rules("tariff"), "?wait_ms=15000").status == 200);
  cell.Fault("log", R"({"down":true})");
  cell.Until("the outage at both entries", [&] { return cell.LogDownEverywhere(); });
  cell.StartEntry(3);
  cell.Until("a ready entry", [&] {
    const bool ready = cell.Ready(3);
    CHECK((!ready || cell.ConfigVersion(3) == 2));
    return ready;
  });
  const auto old = cell.Quote(3, R"({"litres":1})").get();
  INFO(ToText(old));
  CHECK(old.Kind() == "invalid_request");
  cell.Fault("log", "{}");
  REQUIRE(cell.Publish(3, "third", 2, Rules("quote"), "?wait_ms=15000").status == 200);
  CHECK(cell.Quote(3, R"({"litres":1})").get().outcome == "done");
}

// An entry is paused while a rule is withdrawn, and wakes up. For at most the 15 s of the promise a
// caller may still be treated by the old rule there; after that never again.
TEST_CASE("an entry frozen over a publish catches up", "[config-in-force]") {
  cell cell;
  cell.Freeze(3);
  const auto published = cell.Publish(1, "second", 1, Rules("tariff"), "?wait_ms=15000");
  INFO(ToText(published));
  REQUIRE(published.status == 200);
  cell.Thaw(3);
  cell.Until(
      "the new version", [&] { return cell.ConfigVersion(3) == 2; }, std::chrono::seconds{15});
  CHECK(cell.Quote(3, R"({"litres":1})").get().Kind() == "invalid_request");
}

}  // namespace
}  // namespace rosearch::test
