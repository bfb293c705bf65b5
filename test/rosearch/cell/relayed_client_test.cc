#include "rosearch/cell/relayed_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>

#include "rosearch/net/http_server.h"
#include "rosearch/platform/clock.h"

namespace rosearch::cell {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A process's way out, beside a target that answers as it is told to.
class outside {
 public:
  explicit outside(unsigned status)
      : server{io, http_server_settings{},
               [this, status](const http_call&, const http_respond& respond) {
                 ++calls;
                 if (status != 0 && calls != silent_call) {
                   auto timer = std::make_shared<boost::asio::steady_timer>(io, answers_after);
                   timer->async_wait([timer, respond, status](const boost::system::error_code&) {
                     respond({status, "here"});
                   });
                 }
               }} {}

  std::optional<result<http_reply>> Send(const reach& how, duration span) {
    http_request request;
    request.address = "127.0.0.1:" + std::to_string(server.port());
    request.answer_by = SteadyNow() + milliseconds{300};
    std::optional<result<http_reply>> got;
    client.Send(request, how, [&got](result<http_reply> answer) { got = std::move(answer); });
    if (lose_peers) {
      client.SetPeers({});
    }
    io.restart();
    const auto began = SteadyNow();
    while (!got && SteadyNow() - began < span) {
      io.run_one_for(milliseconds{20});
    }
    took = SteadyNow() - began;
    return got;
  }

  /// Makes the connection to itself as a peer: what is sent before there is one is dropped.
  void Connect() {
    http_request nowhere;
    nowhere.answer_by = SteadyNow() + seconds{2};
    bool connected = false;
    client.SendFrom(peers.address(), nowhere,
                    [&connected](const result<http_reply>&) { connected = true; });
    while (!connected) {
      io.run_one();
    }
    client.SetRelays({peers.address()});
  }

  boost::asio::io_context io;
  int calls{0};
  int silent_call{0};  ///< this one is never answered
  bool lose_peers{false};
  bool deaf{false};  ///< what a peer is asked to carry is lost
  duration answers_after{};
  duration took{};
  http_server server;
  http_client direct{io};
  peer_link peers{io, "127.0.0.1:0", 7, [this](const wire::peer_frame& frame) {
                    if (!deaf) {
                      client.Serve(frame);
                    }
                  }};
  relayed_client client{io, direct, peers};
};

}  // namespace

TEST_CASE("a direct answer needs no peer") {
  outside made{200};
  const auto got = made.Send({}, milliseconds{200});
  REQUIRE(got);
  CHECK(got->value().body == "here");
  CHECK(made.client.Relayed() == 0);
}

// The target doesn't answer, and while it is waited for the last peer is lost. The process divided
// by the number of its peers and ended; every caller with a request there got no answer.
TEST_CASE("peers that are lost while a request is under way end nothing") {
  outside made{0};
  made.client.SetPeers({"127.0.0.1:9"});
  made.lose_peers = true;
  const auto got = made.Send({true, false, milliseconds{20}}, milliseconds{600});
  REQUIRE(got);
  CHECK(got->has_error());
}

TEST_CASE("what may be carried goes by way of a relay") {
  outside made{200};
  made.Connect();
  const auto before = made.client.Relayed();
  const auto got = made.Send({.patience = {}, .by_relay = true}, milliseconds{600});
  REQUIRE(got);
  CHECK(got->value().body == "here");
  CHECK(made.client.Relayed() == before + 1);
  CHECK(made.calls == 1);
  const auto direct = made.Send({}, milliseconds{200});
  REQUIRE(direct);
  CHECK(made.client.Relayed() == before + 1);
}

// The peer that carries a leader's exchanges with workers loses power. Orders would get no answer
// one after the other, and callers wait for tasks that nobody starts.
TEST_CASE("a relay that is gone is not asked again") {
  outside made{200};
  made.client.SetRelays({"127.0.0.1:9"});
  const reach order{.patience = {}, .by_relay = true};
  const auto lost = made.Send(order, seconds{2});
  REQUIRE(lost);
  CHECK(lost->error().kind == error_kind::kTimeout);
  CHECK(made.calls == 0);
  const auto next = made.Send(order, milliseconds{200});
  REQUIRE(next);
  CHECK(next->value().body == "here");
}

// A relay that has hundreds of connections to make is late once. Left alone for that, all its
// exchanges would go directly, and make the leader late, too.
TEST_CASE("a relay that lost one answer is still asked") {
  outside made{200};
  made.Connect();
  const reach order{.patience = {}, .by_relay = true};
  made.deaf = true;
  http_request lost;
  lost.address = "127.0.0.1:" + std::to_string(made.server.port());
  lost.answer_by = SteadyNow() + milliseconds{300};
  made.client.Send(lost, order, [](const result<http_reply>&) {});
  made.io.restart();
  made.io.run_for(milliseconds{250});
  made.deaf = false;
  REQUIRE(made.Send(order, milliseconds{200}));
  made.io.restart();
  made.io.run_for(milliseconds{250});
  const auto before = made.client.Relayed();
  REQUIRE(made.Send(order, milliseconds{200}));
  CHECK(made.client.Relayed() == before + 1);
}

// The same, while another exchange that may wait long is on its way there: it must not wait for its
// own time-out, since what ends at the worker meanwhile is seen late.
TEST_CASE("what a lost relay had on its way goes otherwise at once") {
  outside made{200};
  made.client.SetRelays({"127.0.0.1:9"});
  http_request watch;
  watch.address = "127.0.0.1:" + std::to_string(made.server.port());
  watch.answer_by = SteadyNow() + seconds{20};
  std::optional<result<http_reply>> watched;
  made.client.Send(watch, {.wait = seconds{19}, .by_relay = true},
                   [&watched](result<http_reply> answer) { watched = std::move(answer); });
  (void)made.Send({.patience = {}, .by_relay = true}, seconds{2});
  made.io.run_for(milliseconds{100});
  REQUIRE(watched);
  CHECK(watched->value().body == "here");
}

// A relay is cut off from one worker, which this process reaches.
TEST_CASE("a target that its relay can't reach is reached directly") {
  outside made{0};
  made.Connect();
  const auto before = made.client.Relayed();
  const reach order{.patience = {}, .by_relay = true};
  const auto lost = made.Send(order, seconds{2});
  REQUIRE(lost);
  CHECK(lost->has_error());
  CHECK(made.client.Relayed() == before + 1);
  (void)made.Send(order, seconds{2});
  CHECK(made.client.Relayed() == before + 1);
}

// The target refuses this process alone; a peer gets the answer.
TEST_CASE("a refusal that may be meant for this process alone is tried by a peer") {
  outside made{503};
  made.client.SetPeers({made.peers.address()});
  const auto got = made.Send({true, true, milliseconds{100}}, milliseconds{600});
  REQUIRE(got);
  CHECK(got->value().status == 503);
  CHECK(made.client.Relayed() > 0);
  CHECK(made.calls > 1);
}

// All open connections to the store go silent, without a reset. A peer's answers come at once, but
// each exchange waited for the direct way first: jobs were accepted 2 s late, and refused because
// the store seemed to be away.
TEST_CASE("a way that brought nothing is not waited for again") {
  outside made{200};
  made.silent_call = 1;
  made.client.SetPeers({made.peers.address()});
  const reach how{true, true, milliseconds{100}};
  const auto first = made.Send(how, milliseconds{600});
  REQUIRE(first);
  CHECK(first->value().body == "here");
  CHECK(made.took >= milliseconds{100});
  const auto second = made.Send(how, milliseconds{600});
  REQUIRE(second);
  CHECK(second->value().body == "here");
  CHECK(made.took < milliseconds{90});
  CHECK(made.client.Relayed() == 2);
}

// The same, at a store that has always answered within milliseconds: the wait for the first lost
// answer follows from that, not from what a slow store takes.
TEST_CASE("patience follows what the target usually takes") {
  outside made{200};
  made.client.SetPeers({made.peers.address()});
  const reach how{true, true, milliseconds{900}, {}, true};
  constexpr int kQuickAnswers = 20;
  for (int at = 0; at < kQuickAnswers; ++at) {
    REQUIRE(made.Send(how, milliseconds{600}));
  }
  made.silent_call = made.calls + 1;
  const auto got = made.Send(how, milliseconds{600});
  REQUIRE(got);
  CHECK(got->value().body == "here");
  CHECK(made.took >= milliseconds{60});
  CHECK(made.took < milliseconds{200});
}

// The store turns slow all at once, while eight appends are under way. Sent again by other ways,
// each would cost the store as much as a new one, and jobs would be refused because it falls
// behind.
TEST_CASE("a target that turned slow is not asked twice for everything") {
  outside made{200};
  made.client.SetPeers({made.peers.address()});
  const reach how{true, true, milliseconds{2'000}, {}, true};
  constexpr int kQuickAnswers = 20;
  for (int at = 0; at < kQuickAnswers; ++at) {
    REQUIRE(made.Send(how, milliseconds{600}));
  }
  made.answers_after = milliseconds{250};
  int answered = 0;
  constexpr int kTogether = 8;
  for (int at = 0; at < kTogether; ++at) {
    http_request request;
    request.address = "127.0.0.1:" + std::to_string(made.server.port());
    request.answer_by = SteadyNow() + milliseconds{2'000};
    made.client.Send(request, how, [&answered](const result<http_reply>& answer) {
      answered += answer.has_value() ? 1 : 0;
    });
  }
  made.io.restart();
  made.io.run_for(milliseconds{900});
  CHECK(answered == kTogether);
  CHECK(made.client.Relayed() <= 2);
}

// An order to a worker must not be under way twice: whoever is told that it was refused counts on
// no copy being carried out.
TEST_CASE("what may not be sent twice waits for its only copy") {
  outside made{200};
  made.silent_call = 1;
  made.client.SetPeers({made.peers.address()});
  const auto got = made.Send({true, false, duration{}}, milliseconds{600});
  REQUIRE(got);
  CHECK(got->has_error());
  CHECK(made.calls == 1);
}

}  // namespace rosearch::cell
