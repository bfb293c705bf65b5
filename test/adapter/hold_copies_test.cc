#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "platform/worker_client.h"
#include "rosearch/net/http_server.h"
#include "rosearch/platform/clock.h"

namespace rosearch::platform {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::int64_t kBorn = 5;

/// A worker on one connection, reached directly and through a peer, that keeps the holds it got.
class held_worker {
 public:
  held_worker() {
    http_request nowhere;
    nowhere.answer_by = SteadyNow() + seconds{2};
    bool connected = false;
    client.SendThroughPeer(peers.address(), nowhere,
                           [&connected](const result<http_reply>&) { connected = true; });
    while (!connected) {
      io.run_one();
    }
    client.SetPeers({peers.address()});
  }

  /// Sends a hold. The result is empty until it ends.
  std::shared_ptr<std::optional<cell::watch_answer>> Hold(std::uint64_t acked_end,
                                                          duration wait = {}) {
    auto got = std::make_shared<std::optional<cell::watch_answer>>();
    workers.Watch({"w", address, acked_end, wait, born, SteadyNow() + seconds{6}}, 1,
                  [got](cell::watch_answer answer) { *got = std::move(answer); });
    return got;
  }

  void RunFor(duration time) {
    io.restart();
    io.run_for(time);
  }

  /// Lets the worker report, so that its incarnation is known.
  void Report() {
    const auto got = Hold(0);
    RunFor(milliseconds{60});
    REQUIRE(*got);
    REQUIRE((*got)->report);
    holds.clear();
  }

  [[nodiscard]] long CountAcknowledging(const std::string& end) const {
    return std::ranges::count_if(holds, [&](const std::string& body) {
      return body.find("\"ack-cursor\":" + end) != std::string::npos;
    });
  }

  boost::asio::io_context io;
  std::int64_t born{kBorn};  ///< incarnation that holds are meant for
  std::int64_t reported_born{kBorn};
  bool answers{true};
  std::vector<std::string> holds;
  std::vector<http_respond> unanswered;
  http_server server{
      io, {}, [this](const http_call& call, const http_respond& respond) {
        holds.push_back(call.body);
        if (!answers) {
          unanswered.push_back(respond);
          return;
        }
        const auto born_member =
            reported_born == 0 ? "" : R"(,"born":)" + std::to_string(reported_born);
        respond({200, R"({"clock-ms":9,"running":[],"ended-runs":[])" + born_member + '}'});
      }};
  std::string address{"127.0.0.1:" + std::to_string(server.port())};
  http_client http{io, {.connections_per_address = 1}};
  cell::peer_link peers{io, "127.0.0.1:0", 7,
                        [this](const wire::peer_frame& frame) { client.ServeRelayCall(frame); }};
  cell::relayed_client client{io, http, peers};
  worker_client workers{io, client};
};

}  // namespace

// A worker that loses power and starts again under its id counts its ends from 1. The second copy
// of a hold that was meant for its former life made it forget ends that nobody had stored, and
// tasks that were done ran again.
TEST_CASE("a hold that acknowledges ends has a single copy", "[at-most-once]") {
  held_worker worker;
  worker.Report();
  worker.answers = false;
  const auto got = worker.Hold(3);
  worker.RunFor(milliseconds{700});
  CHECK(worker.CountAcknowledging("3") == 1);
  REQUIRE(*got);
  CHECK_FALSE((*got)->report);
}

// As above: the one copy waited in the leader or in its relay until the worker was back.
TEST_CASE("a hold that acknowledges ends is sent at once or not at all", "[at-most-once]") {
  for (const bool by_relay : {false, true}) {
    CAPTURE(by_relay);
    held_worker worker;
    worker.Report();
    if (by_relay) {
      worker.client.SetRelays({worker.peers.address()});
    }
    http_request other;  // keeps the only connection for a while
    other.address = worker.address;
    other.answer_by = SteadyNow() + milliseconds{400};
    worker.answers = false;
    worker.http.Send(other, [](const result<http_reply>&) {});
    worker.RunFor(milliseconds{20});
    worker.answers = true;
    const auto got = worker.Hold(3, milliseconds{2'000});
    worker.RunFor(milliseconds{900});
    CHECK(worker.CountAcknowledging("3") == 0);
    CHECK(*got);
  }
}

// A leader that had to pause acknowledges what it read before: the worker may be another by now. It
// asks first, and acknowledges at once, as a leader that is late would pause too long again.
TEST_CASE("ends are acknowledged only soon after a report", "[at-most-once]") {
  for (const bool restarted : {false, true}) {
    CAPTURE(restarted);
    held_worker worker;
    worker.Report();
    worker.RunFor(milliseconds{700});
    const auto incarnation = worker.born;
    worker.reported_born = restarted ? incarnation + 1 : incarnation;
    const auto got = worker.Hold(3, milliseconds{2'000});
    worker.RunFor(milliseconds{60});
    REQUIRE(*got);
    CHECK((*got)->report->born == worker.reported_born);
    REQUIRE_FALSE(worker.holds.empty());
    CHECK(worker.holds.front().find("\"ack-cursor\":0") != std::string::npos);
    CHECK(worker.CountAcknowledging("3") == (restarted ? 0 : 1));
    const auto last = worker.holds.back();
    CHECK((last.find("deadline-ms") == std::string::npos) == !restarted);
  }
}

// Without this every hold to such a worker would have a single copy, and ends would be noticed late
// where connections are silent.
TEST_CASE("ends are acknowledged once to each incarnation") {
  held_worker worker;
  worker.Report();
  for (const std::uint64_t acked_end : {3U, 3U, 4U}) {
    worker.Hold(acked_end);
    worker.RunFor(milliseconds{60});
  }
  CHECK(worker.CountAcknowledging("3") == 1);
  CHECK(worker.CountAcknowledging("4") == 1);
  worker.born = worker.reported_born = kBorn + 1;
  worker.Report();
  worker.Hold(3);
  worker.RunFor(milliseconds{60});
  CHECK(worker.CountAcknowledging("3") == 1);
}

TEST_CASE("a hold to a worker that never comes back under its id may be repeated") {
  held_worker worker;
  worker.born = worker.reported_born = 0;
  worker.Report();
  worker.answers = false;
  worker.Hold(3);
  worker.RunFor(milliseconds{700});
  CHECK(worker.CountAcknowledging("3") == 2);
}

}  // namespace rosearch::platform
