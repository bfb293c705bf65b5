#include "rosearch/platform/executor_client.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "rosearch/platform/ports.h"
#include "served.h"
#include "testbed/executor_stand_in.h"

namespace rosearch::testing {
namespace {

using executor = served<testbed::executor_stand_in>;

constexpr std::uint64_t kSlots = 8;
/// The stand-in breaks off a request of so many bytes, and no kernel buffers them all.
constexpr std::size_t kTooLong = std::size_t{20} << 20;
constexpr auto kRequest = "order-1";

result<http_reply> Run(http_client& http, const executor_call& call) {
  executor_client client{http};
  return Await<http_reply>([&](executor_callback done) { client.Run(call, std::move(done)); });
}

std::uint64_t RunsOf(executor& target, const std::string& request) {
  const auto runs = target.Get("/runs");
  boost::json::error_code missing;
  const auto* const count = runs.find_pointer("/runs/" + request, missing);
  return count == nullptr ? 0 : count->to_number<std::uint64_t>();
}

std::string EchoOf(const executor_call& call) {
  return R"({"request":")" + call.request_id + R"(","path":")" + call.path + R"(","body":")" +
         call.body + R"("})";
}

/// What befalls one request. Deadlines count from its sending; none is none.
struct fault_row {
  std::string name;
  std::string fault;
  std::optional<error_kind> fails;
  std::uint64_t runs;
  std::optional<duration> valid_for{};
  std::optional<duration> answer_within{};
  std::size_t max_answer_bytes{1000};
  std::string address{};
  std::size_t body_bytes{8};
};

std::vector<fault_row> FaultRows() {
  using enum error_kind;
  const duration past{-1};
  return {
      {"none", "{}", std::nullopt, 1},
      {"chunked", R"({"chunked":true})", std::nullopt, 1},
      {"after an interim answer", R"({"interim":true})", std::nullopt, 1},
      {"ran and failed", R"({"fail_all":true})", std::nullopt, 1},
      {"refused connection", "{}", kTargetUnreachable, 0, {}, {}, 1000, kClosedAddress},
      {"no address", "{}", kTargetUnreachable, 0, {}, {}, 1000, "somewhere"},
      {"dropped after the write", R"({"down":true})", kTargetLost, 0},
      {"broken in the middle of the write", "{}", kTargetLost, 0, {}, {}, 1000, {}, kTooLong},
      {"lost answer", R"({"lose_answers":1})", kTargetLost, 1},
      {"answer cut off", R"({"cut_answers":1})", kTargetLost, 1},
      {"slow past the deadline", R"({"slow_ms":60000})", kTimeout, 1, {}, kShortWhile},
      {"oversize", "{}", kTargetLost, 1, {}, {}, 10},
      {"oversize in chunks", R"({"chunked":true})", kTargetLost, 1, {}, {}, 10},
      {"the executor refuses", R"({"refuse":true})", kTargetRefused, 0},
      {"right to send lapsed", "{}", kNoOwner, 0, past},
      {"deadline passed", "{}", kDeadlinePassed, 0, {}, past},
  };
}

executor_call CallOf(const fault_row& row, const executor& target) {
  executor_call call{.address = row.address.empty() ? target.address() : row.address,
                     .path = "/order",
                     .request_id = kRequest,
                     .body = std::string(row.body_bytes, 'q'),
                     .max_answer_bytes = row.max_answer_bytes};
  const auto now = SteadyNow();
  call.valid_until = row.valid_for ? now + *row.valid_for : kNever;
  call.answer_by = row.answer_within ? now + *row.answer_within : kNever;
  return call;
}

}  // namespace

// The network or an executor fails at any point of a request. A caller who is told "not run" orders
// again, so the fuel would come twice if the request had run after all.
TEST_CASE("an executor's fault is told truthfully", "[truthful-not-run][whole-answer]") {
  const auto row = GENERATE(from_range(FaultRows()));
  const bool kept_connection = GENERATE(false, true);
  CAPTURE(row.name, kept_connection);
  executor target{0, kSlots};
  running_client client;
  if (kept_connection) {
    const auto first = Run(client.http(), {.address = target.address(), .request_id = "first"});
    REQUIRE(first.has_value());
  }
  REQUIRE(target.Post("/fault", row.fault) == 200);

  const auto call = CallOf(row, target);
  const auto answer = Run(client.http(), call);

  REQUIRE(target.Post("/fault", "{}") == 200);
  CHECK(RunsOf(target, kRequest) == row.runs);
  if (!row.fails) {
    REQUIRE(answer.has_value());
    CHECK(answer.value().body == EchoOf(call));
    return;
  }
  REQUIRE(answer.has_error());
  CHECK(answer.error().kind == *row.fails);
  const bool told_not_run = AnswerFor(answer.error().kind).effect == outcome::kNotRun;
  CHECK((!told_not_run || row.runs == 0));
}

// All connections to a target are busy and the right to act lapses while a request waits for one.
// If it were sent all the same, two owners would act for one shard and an order could run twice.
TEST_CASE("a right that lapses in the queue sends nothing", "[truthful-not-run]") {
  executor target{0, kSlots};
  running_client client{{.connections_per_address = 1}};
  const auto now = SteadyNow();
  executor_call first{.address = target.address(),
                      .request_id = "first",
                      .headers = {{"x-run-ms", "60000"}},
                      .answer_by = now + 4 * kShortWhile};
  executor_call second{
      .address = target.address(), .request_id = kRequest, .valid_until = now + kShortWhile};
  executor_client executors{client.http()};
  std::promise<result<http_reply>> first_done;
  executors.Run(first, [&](result<http_reply> reply) { first_done.set_value(std::move(reply)); });

  const auto answer = Run(client.http(), second);

  REQUIRE(answer.has_error());
  CHECK(answer.error().kind == error_kind::kNoOwner);
  const auto first_answer = first_done.get_future().get();
  REQUIRE(first_answer.has_error());
  CHECK(first_answer.error().kind == error_kind::kTimeout);
  CHECK(RunsOf(target, kRequest) == 0);
}

// An answer is lost on a kept connection. Only an idempotent request may go out again; a second try
// of any other would run an order twice.
TEST_CASE("only idempotent requests are tried again", "[at-most-once]") {
  const bool idempotent = GENERATE(false, true);
  executor target{0, kSlots};
  running_client client;
  const executor_call first{.address = target.address(), .request_id = "first"};
  REQUIRE(Run(client.http(), first).has_value());
  REQUIRE(target.Post("/fault", R"({"lose_answers":1})") == 200);

  const auto answer =
      Run(client.http(),
          {.address = target.address(), .request_id = kRequest, .idempotent = idempotent});

  CHECK(answer.has_value() == idempotent);
  CHECK(RunsOf(target, kRequest) == (idempotent ? 2 : 1));
}

// An executor restarts between two requests and has closed the kept connection. Written into it, an
// order would end as lost although it never ran, and somebody would have to find out by hand.
TEST_CASE("a restarted executor's kept connection is not used") {
  auto target = std::make_unique<executor>(0, kSlots);
  const auto port = target->port();
  running_client client;
  const executor_call call{.address = target->address(), .request_id = kRequest};
  REQUIRE(Run(client.http(), call).has_value());
  target.reset();
  target = std::make_unique<executor>(port, kSlots);

  CHECK(Run(client.http(), call).has_value());
  CHECK(RunsOf(*target, kRequest) == 1);
}

// More requests than slots arrive at once, and answers come late and out of order. A caller who got
// another's answer, or half of one, would act on the wrong order.
TEST_CASE("concurrent requests each get their own whole answer",
          "[whole-answer][truthful-not-run]") {
  constexpr std::size_t kRequestCount = 300;
  executor target{0, kSlots};
  REQUIRE(target.Post("/fault", R"({"chunked":true,"late_ms":3})") == 200);
  running_client client{{.connections_per_address = 2 * kSlots}};
  executor_client executors{client.http()};
  std::vector<executor_call> calls;
  std::vector<std::promise<result<http_reply>>> answers(kRequestCount);
  for (std::size_t i = 0; i < kRequestCount; ++i) {
    calls.push_back({.address = target.address(),
                     .path = "/quote",
                     .request_id = "quote-" + std::to_string(i),
                     .headers = {{"x-run-ms", std::to_string(i % 4)}},
                     .body = std::string(i, 'q')});
    executors.Run(calls[i],
                  [&answers, i](result<http_reply> r) { answers[i].set_value(std::move(r)); });
  }
  std::uint64_t done = 0;
  for (std::size_t i = 0; i < kRequestCount; ++i) {
    const auto answer = answers[i].get_future().get();
    CAPTURE(i);
    CHECK(RunsOf(target, calls[i].request_id) == (answer.has_value() ? 1 : 0));
    if (answer.has_value()) {
      ++done;
      CHECK(answer.value().body == EchoOf(calls[i]));
    } else {
      CHECK(answer.error().kind == error_kind::kTargetRefused);
    }
  }
  CHECK(done >= kSlots);
  CHECK(target.Get("/stats").at("running_peak").to_number<std::uint64_t>() <= kSlots);
}

}  // namespace rosearch::testing
