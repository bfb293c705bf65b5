#include "rosearch/cell/relayed_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "rosearch/net/http_server.h"
#include "rosearch/platform/clock.h"

namespace rosearch::cell {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A relayed client and an HTTP target whose answers the test controls.
class client_fixture {
 public:
  explicit client_fixture(unsigned status)
      : server{io, http_server_settings{},
               [this, status](const http_call& call, const http_respond& respond) {
                 const bool lost = call.path == path && ++calls == unanswered_call;
                 if (status == 0 || lost) {
                   unanswered.push_back(respond);
                   return;
                 }
                 auto timer = std::make_shared<boost::asio::steady_timer>(io, answer_delay);
                 timer->async_wait([timer, respond, status](const boost::system::error_code&) {
                   respond({status, "here"});
                 });
               }} {}

  std::optional<result<http_reply>> Send(const route_options& how, duration max_wait) {
    http_request request;
    request.address = "127.0.0.1:" + std::to_string(server.port());
    request.target = path;
    request.answer_by = SteadyNow() + milliseconds{300};
    std::optional<result<http_reply>> got;
    client.Send(request, how, [&got](result<http_reply> answer) { got = std::move(answer); });
    if (lose_peers) {
      client.SetPeers({});
    }
    io.restart();
    const auto began = SteadyNow();
    while (!got && SteadyNow() - began < max_wait) {
      io.run_one_for(milliseconds{20});
    }
    elapsed = SteadyNow() - began;
    return got;
  }

  /// Sends requests until twenty in a row were answered within milliseconds, none of them sent
  /// twice. A pause of this process looks like a slow target.
  /// @return whether they were, within a bounded number of requests.
  [[nodiscard]] bool LearnQuickAnswers(const route_options& how) {
    constexpr int kQuickAnswers = 20;
    constexpr int kMaxRequests = 1'000;
    int in_a_row = 0;
    for (int sent = 0; sent < kMaxRequests && in_a_row < kQuickAnswers; ++sent) {
      const auto relayed = client.CountRelayedExchanges();
      const bool answered = Send(how, milliseconds{600}).has_value();
      const bool alone = client.CountRelayedExchanges() == relayed;
      in_a_row = answered && alone && elapsed < milliseconds{10} ? in_a_row + 1 : 0;
    }
    return in_a_row == kQuickAnswers;
  }

  /// Connects the client to itself as a peer and relay.
  void Connect() {
    ConnectTo(peers.address());
    client.SetRelays({peers.address()});
  }
  /// Connects the client to a peer. Frames sent before a connection exists are dropped.
  void ConnectTo(const std::string& peer) {
    http_request nowhere;
    nowhere.answer_by = SteadyNow() + seconds{2};
    bool connected = false;
    client.SendThroughPeer(peer, nowhere,
                           [&connected](const result<http_reply>&) { connected = true; });
    while (!connected) {
      io.run_one();
    }
  }

  boost::asio::io_context io;
  std::string path{"/"};   ///< of the requests; a late copy of one with another path is not counted
  int calls{0};            ///< with this path
  int unanswered_call{0};  ///< number of the call that is never answered
  bool lose_peers{false};
  bool drop_relayed{false};  ///< drops the requests that a peer should relay
  duration answer_delay{};
  duration elapsed{};
  http_server server;
  std::vector<http_respond> unanswered;  ///< kept, as the server closes the connection without
  http_client direct{io};
  peer_link peers{io, "127.0.0.1:0", 7, [this](const wire::peer_frame& frame) {
                    if (!drop_relayed) {
                      client.ServeRelayCall(frame);
                    }
                  }};
  relayed_client client{io, direct, peers};
};

/// A client with two relays, itself and another process, each of which may lose what it receives.
class two_relays : public client_fixture {
 public:
  two_relays() : client_fixture{200} {
    ConnectTo(peers.address());
    ConnectTo(other_peers.address());
    relayed_before = client.CountRelayedExchanges();
    client.SetRelays({peers.address(), other_peers.address()});
  }

  std::optional<result<http_reply>> Watch(bool other_loses, bool own_loses) {
    drop_other = other_loses;
    drop_relayed = own_loses;
    return Send({.answer_timeout = milliseconds{80}, .allow_relay = true}, milliseconds{600});
  }

  std::uint64_t relayed_before{0};
  bool drop_other{false};
  peer_link other_peers{io, "127.0.0.1:0", 9, [this](const wire::peer_frame& frame) {
                          if (!drop_other) {
                            other.ServeRelayCall(frame);
                          }
                        }};
  http_client other_direct{io};
  relayed_client other{io, other_direct, other_peers};
};

/// A client whose peer executes what it receives, dies without an answer, and starts again at its
/// address.
class restarting_peer : public client_fixture {
 public:
  explicit restarting_peer(unsigned status) : client_fixture{status} {
    StartPeer("127.0.0.1:0");
    ConnectTo(peer->address());
    client.SetPeers({peer->address()});
  }

  /// Sends a request; the peer restarts before its answer is due.
  std::optional<result<http_reply>> SendAcrossRestart(const route_options& how) {
    http_request request;
    request.address = "127.0.0.1:" + std::to_string(server.port());
    request.method = "POST";
    request.answer_by = SteadyNow() + milliseconds{600};
    peer_answers = false;
    executed = 0;
    std::optional<result<http_reply>> got;
    client.Send(request, how, [&got](result<http_reply> answer) { got = std::move(answer); });
    RunFor(milliseconds{80});
    StartPeer(std::string{peer->address()});
    peer_answers = true;
    RunFor(milliseconds{900});
    return got;
  }

  void RunFor(milliseconds time) {
    io.restart();
    io.run_for(time);
  }

  void StartPeer(const std::string& at) {
    serving.reset();
    peer.reset();
    peer = std::make_unique<peer_link>(io, at, ++incarnation, [this](const wire::peer_frame& call) {
      ++executed;
      if (peer_answers) {
        serving->ServeRelayCall(call);
      }
    });
    serving = std::make_unique<relayed_client>(io, direct, *peer);
  }

  std::uint64_t incarnation{100};
  bool peer_answers{true};
  int executed{0};  ///< exchanges that the peer made in all its incarnations
  std::unique_ptr<peer_link> peer;
  std::unique_ptr<relayed_client> serving;
};

}  // namespace

TEST_CASE("a direct answer needs no peer") {
  client_fixture fixture{200};
  const auto got = fixture.Send({}, milliseconds{200});
  REQUIRE(got);
  CHECK(got->value().body == "here");
  CHECK(fixture.client.CountRelayedExchanges() == 0);
}

// The last peer is lost while a request waits for the target's answer. The process divided by the
// number of its peers and crashed, so that all its callers lost their requests.
TEST_CASE("the loss of all peers while a request is in flight is handled") {
  client_fixture fixture{0};
  fixture.client.SetPeers({"127.0.0.1:9"});
  fixture.lose_peers = true;
  const auto got = fixture.Send({true, false, milliseconds{20}}, milliseconds{600});
  REQUIRE(got);
  CHECK(got->has_error());
}

TEST_CASE("a request that may be relayed goes through a relay") {
  client_fixture fixture{200};
  fixture.Connect();
  const auto before = fixture.client.CountRelayedExchanges();
  const auto got = fixture.Send({.answer_timeout = {}, .allow_relay = true}, milliseconds{600});
  REQUIRE(got);
  CHECK(got->value().body == "here");
  CHECK(fixture.client.CountRelayedExchanges() == before + 1);
  CHECK(fixture.calls == 1);
  const auto direct = fixture.Send({}, milliseconds{200});
  REQUIRE(direct);
  CHECK(fixture.client.CountRelayedExchanges() == before + 1);
}

// The relay between a leader and its workers loses power. If the leader kept using it, one order
// after the other would time out and tasks would not start.
TEST_CASE("an unreachable relay is not used again") {
  client_fixture fixture{200};
  fixture.client.SetRelays({"127.0.0.1:9"});
  const route_options order{.answer_timeout = {}, .allow_relay = true};
  const auto lost = fixture.Send(order, seconds{2});
  REQUIRE(lost);
  CHECK(lost->error().kind == error_kind::kTimeout);
  CHECK(fixture.calls == 0);
  const auto next = fixture.Send(order, milliseconds{200});
  REQUIRE(next);
  CHECK(next->value().body == "here");
}

// A relay that opens hundreds of connections answers late once. If it were dropped for that, all
// its requests would go directly and overload the leader.
TEST_CASE("a relay that lost one answer is still used") {
  client_fixture fixture{200};
  fixture.Connect();
  const route_options order{.answer_timeout = {}, .allow_relay = true};
  fixture.drop_relayed = true;
  http_request lost;
  lost.address = "127.0.0.1:" + std::to_string(fixture.server.port());
  lost.answer_by = SteadyNow() + milliseconds{300};
  fixture.client.Send(lost, order, [](const result<http_reply>&) {});
  fixture.io.restart();
  fixture.io.run_for(milliseconds{250});
  fixture.drop_relayed = false;
  REQUIRE(fixture.Send(order, milliseconds{200}));
  fixture.io.restart();
  fixture.io.run_for(milliseconds{250});
  const auto before = fixture.client.CountRelayedExchanges();
  REQUIRE(fixture.Send(order, milliseconds{200}));
  CHECK(fixture.client.CountRelayedExchanges() == before + 1);
}

// Guards against a leader that opens a connection of its own to each of thousands of workers
// because its relays answer late.
TEST_CASE("a request that a relay answers late goes through another relay") {
  for (const bool other_loses : {false, true}) {
    two_relays fixture;
    const auto got = fixture.Watch(other_loses, !other_loses);
    REQUIRE(got);
    CHECK(got->value().body == "here");
    const auto relayed = fixture.client.CountRelayedExchanges() - fixture.relayed_before;
    // One or two, by whether the relay that loses it ranks first; never the direct route.
    CHECK(fixture.calls == 1);
    CHECK(fixture.elapsed < milliseconds{160});
    CHECK(relayed == (fixture.elapsed < milliseconds{80} ? 1U : 2U));
  }
}

// Guards against a watch that is lost because no relay of its target answers.
TEST_CASE("a request that two relays lose goes the direct route") {
  two_relays fixture;
  const auto got = fixture.Watch(true, true);
  REQUIRE(got);
  CHECK(got->value().body == "here");
  CHECK(fixture.calls == 1);
  CHECK(fixture.client.CountRelayedExchanges() == fixture.relayed_before + 2);
}

// A relay is lost while a long poll through it is in flight. If the poll waited for its own
// timeout, runs that end on the worker meanwhile would be reported late.
TEST_CASE("requests in flight through a lost relay take another route at once") {
  client_fixture fixture{200};
  fixture.client.SetRelays({"127.0.0.1:9"});
  http_request watch;
  watch.address = "127.0.0.1:" + std::to_string(fixture.server.port());
  watch.answer_by = SteadyNow() + seconds{20};
  std::optional<result<http_reply>> watched;
  fixture.client.Send(watch, {.wait = seconds{19}, .allow_relay = true},
                      [&watched](result<http_reply> answer) { watched = std::move(answer); });
  (void)fixture.Send({.answer_timeout = {}, .allow_relay = true}, seconds{2});
  fixture.io.run_for(milliseconds{100});
  REQUIRE(watched);
  CHECK(watched->value().body == "here");
}

// A relay cannot reach one worker, but this process can.
TEST_CASE("a target that its relay can't reach is reached directly") {
  client_fixture fixture{0};
  fixture.Connect();
  const auto before = fixture.client.CountRelayedExchanges();
  const route_options order{.answer_timeout = {}, .allow_relay = true};
  const auto lost = fixture.Send(order, seconds{2});
  REQUIRE(lost);
  CHECK(lost->has_error());
  CHECK(fixture.client.CountRelayedExchanges() == before + 1);
  (void)fixture.Send(order, seconds{2});
  CHECK(fixture.client.CountRelayedExchanges() == before + 1);
}

// Guards against a leader that takes over all exchanges of a relay that is late, and opens a
// connection of its own for each.
TEST_CASE("a target that its relay reached late is asked through another relay") {
  two_relays fixture;
  fixture.unanswered_call = 1;
  const route_options order{.answer_timeout = {}, .allow_relay = true};
  const auto lost = fixture.Send(order, seconds{2});
  REQUIRE(lost);
  CHECK(lost->has_error());
  const auto next = fixture.Send(order, milliseconds{600});
  REQUIRE(next);
  CHECK(next->value().body == "here");
  CHECK(fixture.client.CountRelayedExchanges() == fixture.relayed_before + 2);
}

// The target may refuse only this process, so the request is also sent through a peer.
TEST_CASE("a request that the target may refuse to this process only is sent through a peer") {
  client_fixture fixture{503};
  fixture.client.SetPeers({fixture.peers.address()});
  const auto got = fixture.Send({true, true, milliseconds{100}}, milliseconds{600});
  REQUIRE(got);
  CHECK(got->value().status == 503);
  CHECK(fixture.client.CountRelayedExchanges() > 0);
  CHECK(fixture.calls > 1);
}

// A leader that is cut off from the store sent its batches through any peer, also through one with
// a slow link, and every job waited for these batches.
TEST_CASE("a large peer is preferred where a request asks for it") {
  client_fixture fixture{503};
  const std::string nobody = "127.0.0.1:9";
  fixture.ConnectTo(fixture.peers.address());
  const auto before = fixture.client.CountRelayedExchanges();
  fixture.client.SetPeers({nobody, nobody, fixture.peers.address()}, {fixture.peers.address()});
  const route_options how{.retry_refusal_by_peer = true,
                          .answer_timeout = milliseconds{100},
                          .prefer_large_peer = true};
  const auto got = fixture.Send(how, milliseconds{80});
  CHECK(fixture.calls == 2);  // directly, and through the large peer
  CHECK(fixture.client.CountRelayedExchanges() >= before + 1);
}

// All open connections to the store stop answering without a reset. A peer's answers arrive at
// once, but each request waited for the direct route first: jobs were accepted 2 s late, or refused
// because the store seemed unavailable.
TEST_CASE("a route that gave no answer is not waited for again") {
  client_fixture fixture{200};
  fixture.unanswered_call = 1;
  fixture.client.SetPeers({fixture.peers.address()});
  const route_options how{true, true, milliseconds{100}};
  const auto first = fixture.Send(how, milliseconds{600});
  REQUIRE(first);
  CHECK(first->value().body == "here");
  CHECK(fixture.elapsed >= milliseconds{100});
  const auto second = fixture.Send(how, milliseconds{600});
  REQUIRE(second);
  CHECK(second->value().body == "here");
  CHECK(fixture.elapsed < milliseconds{90});
  CHECK(fixture.client.CountRelayedExchanges() == 2);
}

// A store that has always answered within milliseconds loses one answer. The wait before the second
// route is tried follows from its usual response time, not from the limit for a slow store.
TEST_CASE("the timeout follows the target's usual response time") {
  client_fixture fixture{200};
  fixture.ConnectTo(fixture.peers.address());
  fixture.client.SetPeers({fixture.peers.address()});
  const route_options how{true, true, milliseconds{900}, {}, true};
  REQUIRE(fixture.LearnQuickAnswers(how));
  fixture.path = "/lost";
  fixture.calls = 0;
  fixture.unanswered_call = 1;
  const auto got = fixture.Send(how, milliseconds{600});
  REQUIRE(got);
  CHECK(got->value().body == "here");
  CHECK(fixture.elapsed >= milliseconds{60});
  CHECK(fixture.elapsed < milliseconds{200});
}

// The store suddenly becomes slow while eight appends are in flight. A second copy of each on
// another route would cost the store as much as a new append, and jobs would be refused as it falls
// behind.
TEST_CASE("not every request to a target that became slow is sent twice") {
  client_fixture fixture{200};
  fixture.client.SetPeers({fixture.peers.address()});
  const route_options how{true, true, milliseconds{2'000}, {}, true};
  REQUIRE(fixture.LearnQuickAnswers(how));
  const auto relayed_before = fixture.client.CountRelayedExchanges();
  fixture.answer_delay = milliseconds{250};
  int answered = 0;
  constexpr int kConcurrentAppends = 8;
  for (int at = 0; at < kConcurrentAppends; ++at) {
    http_request request;
    request.address = "127.0.0.1:" + std::to_string(fixture.server.port());
    request.answer_by = SteadyNow() + milliseconds{2'000};
    fixture.client.Send(request, how, [&answered](const result<http_reply>& answer) {
      answered += answer.has_value() ? 1 : 0;
    });
  }
  fixture.io.restart();
  fixture.io.run_for(milliseconds{900});
  CHECK(answered == kConcurrentAppends);
  CHECK(fixture.client.CountRelayedExchanges() - relayed_before <= 2);
}

// An order to a worker must have only one copy in flight: a sender that is told that the order was
// refused relies on no other copy being executed.
TEST_CASE("a request that may not be sent twice has only one copy") {
  client_fixture fixture{200};
  fixture.unanswered_call = 1;
  fixture.client.SetPeers({fixture.peers.address()});
  const auto got = fixture.Send({true, false, duration{}}, milliseconds{600});
  REQUIRE(got);
  CHECK(got->has_error());
  CHECK(fixture.calls == 1);
}

// A store that is full refuses the second copy of an append while the first is on its way: callers
// were told that their jobs were rejected, but these were stored and ran.
TEST_CASE("the refusal of one copy isn't taken for that of the others", "[at-most-once]") {
  for (const unsigned refusal : {507U, 404U, 403U, 503U}) {
    CAPTURE(refusal);
    client_fixture fixture{refusal};
    fixture.ConnectTo(fixture.peers.address());
    fixture.unanswered_call = 1;
    fixture.client.SetPeers({fixture.peers.address()});
    const auto got = fixture.Send({true, true, milliseconds{80}}, milliseconds{900});
    REQUIRE(got);
    REQUIRE(got->has_error());
    CHECK_FALSE(WasNotSent(got->error()));
  }
}

// A peer appends records for its leader, dies, and its successor at the same address gets the
// repeat of the message and is refused by the store: callers were told that their stored jobs were
// rejected.
TEST_CASE("the answer of a restarted peer isn't taken for that of its predecessor",
          "[at-most-once]") {
  restarting_peer fixture{503};
  const auto got = fixture.SendAcrossRestart({true, true, milliseconds{700}});
  CHECK(fixture.executed == 2);
  REQUIRE(got);
  REQUIRE(got->has_error());
  CHECK_FALSE(WasNotSent(got->error()));
}

// A peer that restarted carried out an order for the second time; the answer to that one told
// nothing of the first, and the task was started elsewhere, too.
TEST_CASE("an order through a peer that restarts is sent once", "[at-most-once]") {
  restarting_peer fixture{503};
  (void)fixture.Send({true, true, milliseconds{100}}, milliseconds{600});  // the direct way fails
  const auto got = fixture.SendAcrossRestart({.answer_timeout = {}});
  CHECK(fixture.executed == 1);
  REQUIRE(got);
  REQUIRE(got->has_error());
  CHECK_FALSE(WasNotSent(got->error()));
}

// An append whose first copy is unanswered has an outcome once the store says that it has it.
TEST_CASE("a conflict tells the outcome of all copies") {
  for (const unsigned outcome : {409U, 412U}) {
    client_fixture fixture{outcome};
    fixture.ConnectTo(fixture.peers.address());
    fixture.unanswered_call = 1;
    fixture.client.SetPeers({fixture.peers.address()});
    const auto got = fixture.Send({true, true, milliseconds{80}}, milliseconds{900});
    REQUIRE(got);
    REQUIRE(got->has_value());
    CHECK(got->value().status == outcome);
  }
}

}  // namespace rosearch::cell
