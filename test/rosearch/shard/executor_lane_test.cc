#include "rosearch/shard/executor_lane.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace rosearch {
namespace {

using std::chrono::milliseconds;

time_point At(int millisecond) { return time_point{milliseconds{millisecond}}; }

wire::vm_record Listed(const std::string& vm, std::uint32_t slots = 1, bool leaving = false,
                       std::uint64_t instance = 1) {
  wire::vm_record record;
  record.set_vm(vm);
  record.set_kind(wire::VM_EXECUTOR);
  record.set_address(vm + ":1");
  record.set_service("order");
  record.set_slots(slots);
  record.set_connections(60);
  record.set_leaving(leaving);
  record.set_instance(instance);
  return record;
}

open_request Request(bool idempotent = false, std::string customer = "calandria",
                     std::string service = "order", bool delegated = false) {
  open_request request;
  request.call.set_customer(std::move(customer));
  request.call.set_service(std::move(service));
  request.call.set_idempotent(idempotent);
  request.call.set_retries(2);
  request.call.set_delegated(delegated);
  request.deadline = At(10000);
  return request;
}

/// What a lane did, one word each: TICKET@VM, TICKET>, or TICKET:ERROR.
std::vector<std::string> Done(executor_lane& lane) {
  std::vector<std::string> done;
  auto actions = lane.Take();
  for (const auto& send : actions.sends) {
    done.push_back(std::to_string(send.ticket) + '@' + send.vm.value());
  }
  for (const auto& sent_on : actions.delegations) {
    done.push_back(std::to_string(sent_on.ticket) + '>');
  }
  for (const auto& failure : actions.failures) {
    done.push_back(std::to_string(failure.ticket) + ':' +
                   std::string{AnswerFor(failure.why.kind).name});
  }
  return done;
}

using words = std::vector<std::string>;

}  // namespace

// A new owner doesn't know which slots its predecessor filled. An executor's word that it did not
// run a request sends it elsewhere; anything else must not, or an order is placed twice.
TEST_CASE("a lane tries again only on the word that nothing ran",
          "[at-most-once][truthful-not-run]") {
  struct row {
    error_kind kind;
    bool idempotent;
    words after;
  };
  const std::vector<row> rows{{error_kind::kTargetRefused, false, {"1@b"}},
                              {error_kind::kTargetUnreachable, false, {"1@b"}},
                              {error_kind::kTimeout, false, {"1:timeout"}},
                              {error_kind::kTargetLost, false, {"1:target_lost"}},
                              {error_kind::kTimeout, true, {"1@b"}}};
  for (const auto& [kind, idempotent, after] : rows) {
    INFO(AnswerFor(kind).name << idempotent);
    executor_lane lane;
    lane.SetExecutors({Listed("a"), Listed("b")}, At(0));
    lane.Submit(1, Request(idempotent), At(0));
    REQUIRE(Done(lane) == words{"1@a"});
    lane.OnFailed(1, 1, {kind, "its word"}, At(1));
    CHECK(Done(lane) == after);
  }
}

// All executors are full with a predecessor's requests. Without a limit one request would go round
// among them for ever.
TEST_CASE("a refused request goes no further than its retries", "[truthful-not-run]") {
  executor_lane lane;
  lane.SetExecutors({Listed("a", 8), Listed("b", 8), Listed("c", 8), Listed("d", 8)}, At(0));
  lane.Submit(1, Request(), At(0));
  words all;
  for (std::uint32_t attempt = 1; attempt <= 4; ++attempt) {
    for (auto& word : Done(lane)) all.push_back(std::move(word));
    lane.OnFailed(1, attempt, {error_kind::kTargetRefused, "full"}, At(1));
  }
  CHECK(all == words{"1@a", "1@b", "1@c", "1:target_refused"});
  CHECK_FALSE(lane.OnAnswered(1, 3, 200, At(2)));
}

// The last executor of a service here is drained while orders wait for it. Left there, they would
// wait until their deadline though another shard has room; sent on twice, they would go in circles.
TEST_CASE("what no executor here may take is sent on once", "[leaving-targets]") {
  executor_lane lane;
  lane.SetExecutors({Listed("a")}, At(0));
  lane.Submit(1, Request(), At(0));
  lane.Submit(2, Request(), At(0));
  lane.Submit(3, Request(false, "calandria", "order", true), At(0));
  lane.Submit(4, Request(false, "calandria", "roster"), At(0));
  CHECK(Done(lane) == words{"1@a", "4>"});
  lane.SetDrained(vm_id{"a"}, true, At(1));
  CHECK(Done(lane) == words{"2>", "3:target_unreachable"});
  CHECK(lane.Services().empty());
  CHECK(lane.OnAnswered(1, 1, 200, At(2)));
  lane.SetDrained(vm_id{"a"}, false, At(3));
  lane.Submit(5, Request(), At(3));
  CHECK(Done(lane) == words{"5@a"});
}

// Requests wait while the list brings an executor that is on its way out, loses another that is
// still at work, and shows a third replaced.
TEST_CASE("the list closes, keeps and replaces executors", "[leaving-targets][whole-answer]") {
  executor_lane lane;
  lane.SetExecutors({Listed("a")}, At(0));
  lane.Submit(1, Request(), At(0));
  lane.Submit(2, Request(), At(0));
  lane.SetExecutors({Listed("a"), Listed("b", 8, true)}, At(1));
  CHECK(Done(lane) == words{"1@a"});
  lane.SetExecutors({Listed("c")}, At(2));
  CHECK(Done(lane) == words{"2@c"});
  CHECK(lane.OnAnswered(1, 1, 200, At(3)));
  lane.SetExecutors({Listed("c", 1, false, 2)}, At(4));
  CHECK(Done(lane) == words{"2:target_lost"});
  CHECK(lane.FreeSlots() == 1);
}

TEST_CASE("slots are shared by the weights of the configuration") {
  executor_lane lane;
  lane.SetWeights({{"calandria", 3}, {"trinacria", 1}});
  lane.SetExecutors({Listed("a")}, At(0));
  lane.Submit(1, Request(), At(0));
  for (std::uint64_t ticket = 2; ticket <= 41; ++ticket) {
    lane.Submit(ticket, Request(false, ticket % 2 == 0 ? "calandria" : "trinacria"), At(0));
  }
  std::uint64_t with = 1;
  int even = 0;
  for (int turn = 0; turn < 20; ++turn) {
    static_cast<void>(lane.Take());
    REQUIRE(lane.OnAnswered(with, 1, 200, At(turn)));
    const auto next = Done(lane);
    REQUIRE(next.size() == 1);
    with = std::stoull(next[0]);
    even += with % 2 == 0 ? 1 : 0;
  }
  CHECK(even >= 14);
  CHECK(even <= 16);
}

// A shard changes hands and comes back while executors still run what it sent. Counted as free,
// their slots would be exceeded.
TEST_CASE("what was in flight at a loss keeps its slots for a while") {
  executor_lane lane;
  lane.SetExecutors({Listed("a", 2)}, At(0));
  lane.Submit(1, Request(), At(0));
  lane.Drop(At(1));
  CHECK(Done(lane).empty());
  CHECK(lane.FreeSlots() == 1);
  CHECK_FALSE(lane.OnAnswered(1, 1, 200, At(2)));
  lane.Tick(At(3000));
  CHECK(lane.FreeSlots() == 2);
}

}  // namespace rosearch
