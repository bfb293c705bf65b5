#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "platform/json_value.h"
#include "platform/worker_client.h"
#include "rosearch/net/http_server.h"
#include "rosearch/platform/clock.h"

namespace rosearch::platform {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::int64_t kWorkerClockMs = 5'000;  ///< in every response
constexpr duration kLease = seconds{6};
constexpr duration kPause = milliseconds{300};

/// A worker on loopback, and the client that sends it orders.
class ordered_worker {
 public:
  template <typename Condition>
  void RunUntil(Condition condition) {
    for (int wait = 0; wait < 400 && !condition(); ++wait) {
      io.restart();
      io.run_for(milliseconds{5});
    }
    REQUIRE(condition());
  }
  void Watch(std::optional<time_point> lease_end) {
    bool answered = false;
    asked_at = SteadyNow();
    client.Watch({"w", address, 0, {}, 0, lease_end}, 1,
                 [&](const cell::watch_answer& answer) { answered = answer.report.has_value(); });
    RunUntil([&] { return answered; });
    answered_at = SteadyNow();
  }
  sched::start_outcome Start(time_point lease_end) {
    std::optional<sched::start_outcome> outcome;
    auto job = std::make_shared<const sched::job_spec>();
    client.Start({"w", address, "a.0.0.0", 1, job, "", "", 0, lease_end}, 1,
                 [&](sched::start_outcome answer) { outcome = answer; });
    CHECK_FALSE(outcome);  // never inside the call
    RunUntil([&] { return outcome.has_value(); });
    return *outcome;
  }
  /// @return the end of the lease in the last request, by the worker's clock.
  [[nodiscard]] std::optional<std::int64_t> GrantedMs() const {
    return GetWholeNumber(*ParseObject(bodies.back()), "deadline-ms");
  }
  /// @return a moment on the worker's clock, if its newest reading came when it was asked for.
  [[nodiscard]] static std::int64_t Ms(time_point asked_at, time_point when) {
    return kWorkerClockMs + std::chrono::duration_cast<milliseconds>(when - asked_at).count();
  }

  boost::asio::io_context io;
  std::vector<std::string> bodies;
  http_server server{io, {}, [this](const http_call& call, const http_respond& respond) {
                       bodies.push_back(call.body);
                       respond({200, R"({"clock-ms":)" + std::to_string(kWorkerClockMs) +
                                         R"(,"running":[],"ended-runs":[]})"});
                     }};
  std::string address{"127.0.0.1:" + std::to_string(server.port())};
  http_client http{io};
  cell::peer_link peers{io, "127.0.0.1:0", 7, [](const wire::peer_frame&) {}};
  cell::relayed_client relayed{io, http, peers};
  worker_client client{io, relayed};
  time_point asked_at{};  ///< when the worker was asked for its clock
  time_point answered_at{};
};

}  // namespace

// Guards against a task that runs twice: the leader's process stands still between its decision and
// the sending, and the worker keeps the task running for longer than the leader counts.
TEST_CASE("an order that is sent late grants no longer lease than was decided") {
  ordered_worker worker;
  worker.Watch(std::nullopt);
  CHECK_FALSE(worker.GrantedMs());
  const auto asked_at = worker.asked_at;
  const auto answered_at = worker.answered_at;
  const auto lease_end = SteadyNow() - kPause + kLease;
  SECTION("a start") { CHECK(worker.Start(lease_end) == sched::start_outcome::kStarted); }
  SECTION("a watch") { worker.Watch(lease_end); }
  REQUIRE(worker.GrantedMs());
  CHECK(*worker.GrantedMs() <= ordered_worker::Ms(asked_at, lease_end));
  CHECK(*worker.GrantedMs() >= ordered_worker::Ms(answered_at, lease_end));
}

// As above: a worker shortens a lease of unknown end only to what the platform allows, which is
// more than the leader counts.
TEST_CASE("a start whose lease can't be named isn't sent") {
  ordered_worker worker;
  SECTION("the worker's clock isn't known") {
    CHECK(worker.Start(SteadyNow() + kLease) == sched::start_outcome::kNotSent);
    CHECK(worker.bodies.empty());
  }
  SECTION("the lease is over") {
    worker.Watch(std::nullopt);
    CHECK(worker.Start(SteadyNow()) == sched::start_outcome::kNotSent);
    CHECK(worker.bodies.size() == 1);
    worker.Watch(SteadyNow());
    CHECK_FALSE(worker.GrantedMs());
  }
}

}  // namespace rosearch::platform
