#include "rosearch/platform/log_client.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "rosearch/platform/ports.h"
#include "served.h"
#include "testbed/log_stand_in.h"

namespace rosearch::testing {
namespace {

using log_service = served<testbed::log_stand_in>;

constexpr auto kStream = "control";
constexpr std::uint32_t kAll = 1000;

result<std::uint64_t> Append(log_client& log, const std::vector<std::string>& records,
                             time_point deadline = kNever) {
  return Await<std::uint64_t>(
      [&](append_callback done) { log.Append(kStream, records, deadline, std::move(done)); });
}

result<wire::log_read_answer> Read(log_client& log, std::uint64_t from, duration wait = {}) {
  return Await<wire::log_read_answer>(
      [&](log_read_callback done) { log.Read(kStream, from, kAll, wait, std::move(done)); });
}

struct append_row {
  std::string name;
  std::string fault;
  error_kind fails;
  int appended;
  duration deadline_in{kPatience};
  bool refused_connection{false};
};

std::vector<append_row> AppendRows() {
  using enum error_kind;
  return {
      {"refused connection", "{}", kTargetUnreachable, 0, kPatience, true},
      {"deadline passed", "{}", kDeadlinePassed, 0, duration{-1}},
      {"down", R"({"down":true})", kLogUnavailable, 0},
      {"lost answer", R"({"lose_answers":1})", kLogUnavailable, 1},
      {"answer cut off", R"({"cut_answers":1})", kLogUnavailable, 1},
      {"broken JSON", R"({"garbage_answers":1})", kLogUnavailable, 1},
      {"slow past the deadline", R"({"slow_ms":60000})", kLogUnavailable, 1, kShortWhile},
  };
}

}  // namespace

TEST_CASE("the log keeps order, offsets and bytes") {
  log_service service{0};
  running_client client;
  log_client log{client.http(), service.address()};
  const std::vector<std::string> records{"first", std::string{"\0\xff\n", 3}, ""};

  CHECK(Append(log, records).value() == 0);
  CHECK(Append(log, {"later"}).value() == 3);

  const auto whole = Read(log, 0).value();
  CHECK(whole.end_offset() == 4);
  REQUIRE(whole.records_size() == 4);
  for (int i = 0; i < 3; ++i) {
    CHECK(whole.records(i).payload() == records[static_cast<std::size_t>(i)]);
    CHECK(whole.records(i).offset() == static_cast<std::uint64_t>(i));
  }
  CHECK(Read(log, 3).value().records_size() == 1);
  CHECK(Read(log, 4).value().records_size() == 0);
}

TEST_CASE("a waiting reader of the log gets the next record") {
  log_service service{0};
  running_client client;
  log_client log{client.http(), service.address()};
  const auto read = std::make_shared<std::promise<result<wire::log_read_answer>>>();
  log.Read(kStream, 0, kAll, kPatience, [read](auto answer) { read->set_value(answer); });

  REQUIRE(Append(log, {"news"}).has_value());

  const auto answer = read->get_future().get();
  REQUIRE(answer.has_value());
  CHECK(answer.value().records(0).payload() == "news");
}

// The log forgets old records. A reader that took the oldest one left for the one it asked for
// would miss changes without noticing.
TEST_CASE("a reader of the log sees what is gone") {
  log_service service{0};
  running_client client;
  log_client log{client.http(), service.address()};
  REQUIRE(service.Post("/fault", R"({"retention":2})") == 200);
  REQUIRE(Append(log, {"0", "1", "2", "3", "4"}).has_value());

  const auto answer = Read(log, 0).value();

  CHECK(answer.first_offset() == 3);
  REQUIRE(answer.records_size() == 2);
  CHECK(answer.records(0).offset() == 3);
}

// The log fails before or after an append took effect. An appender that believed "not appended"
// when it was would write the record again, and one that believed "appended" would lose it.
TEST_CASE("a failed append says whether it may have taken effect", "[truthful-not-run]") {
  const auto row = GENERATE(from_range(AppendRows()));
  CAPTURE(row.name);
  log_service service{0};
  running_client client;
  log_client log{client.http(), service.address()};
  log_client nowhere{client.http(), kClosedAddress};
  REQUIRE(service.Post("/fault", row.fault) == 200);

  const auto answer =
      Append(row.refused_connection ? nowhere : log, {"x"}, SteadyNow() + row.deadline_in);

  REQUIRE(answer.has_error());
  CHECK(answer.error().kind == row.fails);
  REQUIRE(service.Post("/fault", "{}") == 200);
  CHECK(Read(log, 0).value().records_size() == row.appended);
  const bool told_not_run = AnswerFor(answer.error().kind).effect == outcome::kNotRun;
  CHECK((!told_not_run || row.appended == 0));
}

// The log is down or answers rubbish. A reader that took this for an empty stream would believe
// that nothing was ever agreed.
TEST_CASE("a failed read of the log is not an empty one", "[whole-answer]") {
  const std::string fault =
      GENERATE(R"({"down":true})", R"({"garbage_answers":1})", R"({"cut_answers":1})");
  log_service service{0};
  running_client client;
  log_client log{client.http(), service.address()};
  REQUIRE(service.Post("/fault", fault) == 200);

  const auto answer = Read(log, 0);

  REQUIRE(answer.has_error());
  CHECK(answer.error().kind == error_kind::kLogUnavailable);
}

}  // namespace rosearch::testing
