#include "rosearch/admission/shed_table.h"

#include <catch2/catch.hpp>

namespace rosearch::admission {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const time_point kStart{seconds{100}};
const shed_queue kClosed{"host", "/jobs/", seconds{2}, false};
const shed_queue kOpen{"host", "/jobs/urgent/", {}, false};

id_filter FilterOf(std::string_view id, std::uint64_t version) {
  id_filter filter{1, version};
  filter.Add(id);
  return filter;
}

/// A table with version 1 of epoch 5, whose ping was sent at `kStart`; the leader knows job "a".
shed_table TableWithWindow() {
  shed_table table;
  const auto filter = FilterOf("a", 1);
  table.Apply({5, 1, {kClosed, kOpen}}, &filter, kStart);
  return table;
}

bool Refuses(const shed_table& table, std::string_view path, time_point now = kStart) {
  return table.RetryTime({"host", path, true}, now).has_value();
}

}  // namespace

TEST_CASE("an entry refuses unknown jobs of a closed queue only") {
  const auto table = TableWithWindow();
  CHECK(Refuses(table, "/jobs/b"));
  CHECK_FALSE(Refuses(table, "/jobs/a"));
  CHECK_FALSE(Refuses(table, "/jobs/"));
  CHECK_FALSE(Refuses(table, "/jobs/urgent/b"));
  CHECK_FALSE(table.RetryTime({"other", "/jobs/b", true}, kStart));
}

// Guards against a refusal after the leader may have accepted the job: the entry was cut off.
TEST_CASE("an entry with an expired window forwards") {
  const auto table = TableWithWindow();
  CHECK(Refuses(table, "/jobs/b", kStart + kWindowValidity - milliseconds{1}));
  CHECK_FALSE(Refuses(table, "/jobs/b", kStart + kWindowValidity));
}

// Guards against a filter that lacks the jobs accepted between two closings.
TEST_CASE("a window without the filter of its version refuses nothing") {
  auto table = TableWithWindow();
  table.Apply({5, 2, {kClosed}}, nullptr, kStart + milliseconds{100});
  CHECK_FALSE(Refuses(table, "/jobs/b", kStart + milliseconds{100}));
  CHECK(table.FilterVersion(5) == 1);
  const auto filter = FilterOf("b", 2);
  table.Apply({5, 2, {kClosed}}, &filter, kStart + milliseconds{200});
  CHECK_FALSE(Refuses(table, "/jobs/b", kStart + milliseconds{200}));
  CHECK(Refuses(table, "/jobs/a", kStart + milliseconds{200}));
}

// Guards against windows of a leader that has been replaced, which arrive after its successor's.
TEST_CASE("updates of two leaders that cross") {
  auto table = TableWithWindow();
  const auto filter = FilterOf("b", 1);
  SECTION("the lower epoch comes last") {
    table.Apply({6, 1, {kClosed}}, &filter, kStart);
    const auto former = FilterOf("a", 9);
    table.Apply({5, 9, {kClosed}}, &former, kStart + milliseconds{100});
    CHECK(table.FilterVersion(6) == 1);
    CHECK_FALSE(Refuses(table, "/jobs/b", kStart + milliseconds{100}));
  }
  SECTION("the same version of another epoch needs its own filter") {
    table.Apply({6, 1, {kClosed}}, nullptr, kStart);
    CHECK(table.FilterVersion(6) == 0);
    CHECK_FALSE(Refuses(table, "/jobs/b"));
  }
  SECTION("the successor has closed no queue") {
    table.Apply({6, 0, {}}, nullptr, kStart);
    table.Apply({5, 1, {kClosed}}, &filter, kStart + milliseconds{100});
    CHECK_FALSE(Refuses(table, "/jobs/c", kStart + milliseconds{100}));
  }
}

// Guards against a reply that was delayed and restores a window that the leader has withdrawn.
TEST_CASE("replies to earlier pings are ignored") {
  auto table = TableWithWindow();
  table.Apply({5, 0, {}}, nullptr, kStart + milliseconds{50});
  table.Apply({5, 1, {kClosed}}, nullptr, kStart + milliseconds{20});
  CHECK_FALSE(Refuses(table, "/jobs/b", kStart + milliseconds{60}));
}

// Guards against a caller without a key that is told to retry instead of that its key is missing.
TEST_CASE("a call without a key for a queue that requires one is forwarded") {
  shed_table table;
  const auto filter = FilterOf("a", 1);
  table.Apply({5, 1, {{"host", "/jobs/", seconds{2}, true}}}, &filter, kStart);
  CHECK_FALSE(table.RetryTime({"host", "/jobs/b", false}, kStart));
  CHECK(table.RetryTime({"host", "/jobs/b", true}, kStart));
}

// Guards against callers that all return together.
TEST_CASE("retry times differ between jobs and lie within half of the leader's") {
  const auto table = TableWithWindow();
  duration least = seconds{9};
  duration most{};
  for (int number = 0; number < 200; ++number) {
    const auto path = "/jobs/c" + std::to_string(number);
    const auto time = table.RetryTime({"host", path, true}, kStart).value_or(seconds{2});
    least = std::min(least, time);
    most = std::max(most, time);
  }
  CHECK(least >= seconds{2});
  CHECK(most <= seconds{3});
  CHECK(most - least > milliseconds{500});
}

}  // namespace rosearch::admission
