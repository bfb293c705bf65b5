#include "rosearch/platform/worker_client.h"

#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <vector>

#include "rosearch/core/resources.h"
#include "served.h"
#include "testbed/worker_stand_in.h"

namespace rosearch::testing {
namespace {

using worker = served<testbed::worker_stand_in>;

constexpr resources kHolds{4000, 8000, 1};
constexpr std::uint32_t kLongLease = 60000;

result<wire::worker_report> Exchange(running_client& client, const std::string& address,
                                     const wire::worker_command& command,
                                     time_point valid_until = kNever,
                                     time_point answer_by = kNever) {
  worker_client workers{client.http()};
  return Await<wire::worker_report>([&](worker_callback done) {
    workers.Exchange(address, command, valid_until, answer_by, std::move(done));
  });
}

wire::worker_command StartOf(const std::string& task, std::uint32_t memory_mb = 100,
                             std::uint32_t lease_ms = kLongLease) {
  wire::worker_command command;
  auto& start = *command.add_starts();
  start.mutable_ref()->set_task(task);
  start.mutable_ref()->set_attempt(1);
  start.mutable_needs()->set_memory_mb(memory_mb);
  start.set_lease_ms(lease_ms);
  return command;
}

void SetRef(wire::task_ref* ref, const std::string& task) {
  ref->set_task(task);
  ref->set_attempt(1);
}

std::uint64_t Count(worker& target, const std::string& pointer) {
  return target.Get("/stats").at_pointer(pointer).to_number<std::uint64_t>();
}

struct fault_row {
  std::string name;
  std::string fault;
  error_kind fails;
  std::uint64_t starts;
  std::optional<duration> valid_for{};
  std::optional<duration> answer_within{};
  bool refused_connection{false};
};

std::vector<fault_row> FaultRows() {
  using enum error_kind;
  return {
      {"refused connection", "{}", kTargetUnreachable, 0, {}, {}, true},
      {"right to send lapsed", "{}", kNoOwner, 0, duration{-1}},
      {"dropped after the write", R"({"down":true})", kTargetLost, 0},
      {"lost answer", R"({"lose_answers":1})", kTargetLost, 1},
      {"answer cut off", R"({"cut_answers":1})", kTargetLost, 1},
      {"broken JSON", R"({"garbage_answers":1})", kTargetLost, 1},
      {"slow past the deadline", R"({"slow_ms":60000})", kTimeout, 1, {}, kShortWhile},
  };
}

}  // namespace

TEST_CASE("a worker reports what changed") {
  worker target{0, kHolds};
  running_client client;
  const auto started = Exchange(client, target.address(), StartOf("a")).value();
  CHECK(started.whole());
  REQUIRE(started.tasks_size() == 1);
  CHECK(started.tasks(0).phase() == wire::TASK_RUNNING);

  wire::worker_command nothing;
  nothing.set_since(started.version());
  CHECK(Exchange(client, target.address(), nothing).value().tasks_size() == 0);

  auto more = StartOf("b");
  more.set_since(started.version());
  SetRef(more.add_checkpoints(), "a");
  const auto delta = Exchange(client, target.address(), more).value();
  CHECK_FALSE(delta.whole());
  REQUIRE(delta.tasks_size() == 2);
  CHECK(delta.tasks(0).phase() == wire::TASK_CHECKPOINTED);
  CHECK(delta.tasks(1).phase() == wire::TASK_RUNNING);

  wire::worker_command forget;
  SetRef(forget.add_forgets(), "a");
  const auto left = Exchange(client, target.address(), forget).value();
  REQUIRE(left.tasks_size() == 1);
  CHECK(left.tasks(0).ref().task() == "b");
}

// A renewal for the whole worker is on its way when a task is stopped or its lease lapses. If it
// brought the task back to life, the task would run here and at its next place.
TEST_CASE("a renewal revives nothing", "[single-run]") {
  const bool stopped = GENERATE(true, false);
  worker target{0, kHolds};
  running_client client;
  REQUIRE(Exchange(client, target.address(), StartOf("a", 100, stopped ? kLongLease : 1)));
  wire::worker_command command;
  if (stopped) {
    SetRef(command.add_stops(), "a");
  }
  auto report = Exchange(client, target.address(), command).value();
  while (report.tasks(0).phase() == wire::TASK_RUNNING) {
    report = Exchange(client, target.address(), command).value();
  }
  wire::worker_command renewal;
  renewal.set_renew_ms(kLongLease);
  report = Exchange(client, target.address(), renewal).value();
  CHECK(report.tasks(0).phase() == (stopped ? wire::TASK_STOPPED : wire::TASK_LAPSED));
}

// A worker has no guard. The stand-in must show it when it was told too much, or no test could.
TEST_CASE("a worker counts what it should not have been told") {
  worker target{0, kHolds};
  running_client client;
  REQUIRE(Exchange(client, target.address(), StartOf("a", 5000)));
  CHECK(Count(target, "/overcommitted_starts") == 0);
  CHECK(Count(target, "/doubled") == 0);
  const auto twice = Exchange(client, target.address(), StartOf("a", 5000)).value();
  CHECK(twice.tasks(0).started_times() == 2);
  CHECK(Count(target, "/doubled") == 1);
  REQUIRE(Exchange(client, target.address(), StartOf("b", 5000)));
  CHECK(Count(target, "/overcommitted_starts") == 1);
  CHECK(Count(target, "/overcommitted_peak/memory_mb") == 2000);
  CHECK(Count(target, "/running") == 2);
  CHECK(target.Get("/starts").at("starts").as_array().size() == 3);
}

TEST_CASE("a worker that fails everything says so") {
  worker target{0, kHolds};
  running_client client;
  REQUIRE(target.Post("/fault", R"({"fail_all":true})") == 200);
  const auto report = Exchange(client, target.address(), StartOf("a")).value();
  CHECK(report.tasks(0).phase() == wire::TASK_FAILED);
}

// A worker or the network fails around a start. Told "not run" when it was started, the owner would
// start the task elsewhere; a start sent again on its own would run it twice.
TEST_CASE("a worker's fault is told truthfully", "[truthful-not-run][single-run]") {
  const auto row = GENERATE(from_range(FaultRows()));
  const bool kept_connection = GENERATE(false, true);
  CAPTURE(row.name, kept_connection);
  worker target{0, kHolds};
  running_client client;
  if (kept_connection) {
    REQUIRE(Exchange(client, target.address(), {}));
  }
  REQUIRE(target.Post("/fault", row.fault) == 200);
  const auto now = SteadyNow();

  const auto answer = Exchange(client, row.refused_connection ? kClosedAddress : target.address(),
                               StartOf("a"), row.valid_for ? now + *row.valid_for : kNever,
                               row.answer_within ? now + *row.answer_within : kNever);

  REQUIRE(answer.has_error());
  CHECK(answer.error().kind == row.fails);
  CHECK(Count(target, "/starts") == row.starts);
  const bool told_not_run = AnswerFor(answer.error().kind).effect == outcome::kNotRun;
  CHECK((!told_not_run || row.starts == 0));
}

}  // namespace rosearch::testing
