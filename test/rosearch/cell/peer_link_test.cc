#include "rosearch/cell/peer_link.h"

#include <sys/resource.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <thread>

#include "rosearch/platform/clock.h"

namespace rosearch::cell {

// A leader is replaced while callers' requests to it are in flight. Each waited one second for its
// answer before it was sent to the new leader.
TEST_CASE("requests to a lost peer end when they are abandoned") {
  boost::asio::io_context io;
  peer_link link{io, "127.0.0.1:0", 1, [](const wire::peer_frame&) {}};
  int ended = 0;
  const auto count = [&ended](const wire::peer_frame* answer) {
    ended += answer == nullptr ? 1 : 0;
  };
  const auto far_deadline = SteadyNow() + std::chrono::seconds{60};
  link.SendRequest("127.0.0.1:9", {}, far_deadline, count);
  link.SendRequest("127.0.0.1:9", {}, far_deadline, count);
  link.SendRequest("127.0.0.1:10", {}, far_deadline, count);
  link.EndRequests("127.0.0.1:9");
  CHECK(ended == 2);
}

// A leader answers the pings of hundreds of peers with the member list. When these answers were
// kept for repeated pings, a few seconds of them used up the memory.
TEST_CASE("answers to read-only requests are not kept") {
  boost::asio::io_context io;
  int received = 0;
  peer_link link{io, "127.0.0.1:0", 1, [&received](const wire::peer_frame&) { ++received; }};
  const auto deadline = SteadyNow() + std::chrono::seconds{1};
  wire::peer_frame ping;
  ping.mutable_ping();
  wire::peer_frame query;
  query.mutable_query();
  wire::peer_frame call;
  call.mutable_call();
  link.SendRequest(link.address(), ping, deadline, [](const wire::peer_frame*) {});
  link.SendRequest(link.address(), query, deadline, [](const wire::peer_frame*) {});
  link.SendRequest(link.address(), call, deadline, [](const wire::peer_frame*) {});
  while (received < 3 && SteadyNow() < deadline) {
    io.run_one_for(std::chrono::milliseconds{20});
  }
  CHECK(link.CountStoredRequests() == 1);
}

// Guards against copies of pings in the queue of a peer that answers late.
TEST_CASE("a polling request is sent once") {
  boost::asio::io_context io;
  int polls = 0;
  peer_link link{io, "127.0.0.1:0", 1,
                 [&polls](const wire::peer_frame& frame) { polls += frame.has_query() ? 1 : 0; }};
  wire::peer_frame opening;
  opening.mutable_ping();
  link.SendRequest(link.address(), opening, SteadyNow() + std::chrono::milliseconds{400},
                   [](const wire::peer_frame*) {});
  io.run_for(std::chrono::milliseconds{500});
  wire::peer_frame poll;
  poll.mutable_query();
  bool ended = false;
  link.SendPollingRequest(link.address(), poll, SteadyNow() + std::chrono::milliseconds{500},
                          [&ended](const wire::peer_frame*) { ended = true; });
  io.restart();
  io.run_for(std::chrono::milliseconds{700});
  CHECK(ended);
  CHECK(polls == 1);
}

/// Sends a request that is never answered to the own address, over an open connection.
/// @return how many copies of it arrive within 2 s.
int CountCopies(const wire::peer_frame& request) {
  boost::asio::io_context io;
  peer_link link{io, "127.0.0.1:0", 1, [](const wire::peer_frame&) {}};
  wire::peer_frame opening;
  opening.mutable_query();
  link.SendRequest(link.address(), opening, SteadyNow() + std::chrono::milliseconds{400},
                   [](const wire::peer_frame*) {});
  io.run_for(std::chrono::milliseconds{500});
  const auto before = link.CountReceived();
  link.SendRequest(link.address(), request, SteadyNow() + std::chrono::milliseconds{2'000},
                   [](const wire::peer_frame*) {});
  io.restart();
  io.run_for(std::chrono::milliseconds{2'200});
  return static_cast<int>(link.CountReceived() - before);
}

// Calls that an overloaded leader answered after 1 to 2 s were sent to it again every 150 ms, so
// that it received up to ten copies of each and stayed overloaded long after the burst.
TEST_CASE("repeats of an unanswered call back off") {
  wire::peer_frame call;
  call.mutable_call();
  // Sent at 0, 150, 450 and 1,050 ms; a loaded machine sends fewer.
  const int copies = CountCopies(call);
  CHECK(copies >= 2);
  CHECK(copies <= 4);
}

// A leader that has just been elected is replaced if its peers don't hear it in time.
TEST_CASE("repeats of a query keep their pace") {
  wire::peer_frame query;
  query.mutable_query();
  CHECK(CountCopies(query) >= 7);
}

// The peers of a busy new leader hold the former leader's member list. Their pings must still be
// answered, with the new list.
TEST_CASE("a busy leader answers pings of peers with an older member list") {
  boost::asio::io_context busy;
  peer_link leader{busy, "127.0.0.1:0", 1, [](const wire::peer_frame&) {}};
  wire::peer_frame members;
  members.mutable_pong()->set_members_version(7);
  members.mutable_pong()->add_members()->set_address("10.0.0.1:7660");
  auto reply = std::make_unique<wire::peer_frame>();
  reply->mutable_pong()->set_leading(true);
  leader.SetPingMembers(&members);
  leader.SetPingReply(std::move(reply), SteadyNow() + std::chrono::seconds{60});

  boost::asio::io_context io;
  peer_link follower{io, "127.0.0.1:0", 1, [](const wire::peer_frame&) {}};
  wire::peer_frame ping;
  ping.mutable_ping()->set_members_version(6);
  wire::peer_frame answered_frame;
  follower.SendRequest(leader.address(), ping, SteadyNow() + std::chrono::seconds{2},
                       [&answered_frame](const wire::peer_frame* answer) {
                         if (answer != nullptr) {
                           answered_frame = *answer;
                         }
                       });
  const auto until = SteadyNow() + std::chrono::seconds{2};
  while (!answered_frame.has_pong() && SteadyNow() < until) {
    io.run_one_for(std::chrono::milliseconds{20});
  }
  CHECK(answered_frame.pong().leading());
  CHECK(answered_frame.pong().members_version() == 7);
  CHECK(answered_frame.pong().members_size() == 1);
}

// Guards against a filter of hundreds of ids in each reply, and against a window that is sent after
// the time until which the leader accounts for it.
TEST_CASE("replies to pings carry a window until it ends, and its filter once") {
  boost::asio::io_context busy;
  peer_link leader{busy, "127.0.0.1:0", 1, [](const wire::peer_frame&) {}};
  wire::peer_frame members;
  leader.SetPingMembers(&members);
  auto reply = std::make_unique<wire::peer_frame>();
  reply->mutable_pong()->set_leading(true);
  leader.SetPingReply(std::move(reply), SteadyNow() + std::chrono::seconds{60});
  wire::peer_frame window;
  window.mutable_pong()->set_shed_version(3);
  wire::peer_frame filter;
  filter.mutable_pong()->set_shed_filter("bits");
  const bool expired = GENERATE(false, true);
  const auto held_version = GENERATE(2U, 3U);
  leader.SetShedOffer({3, SuspendAwareNow() + std::chrono::seconds{expired ? -1 : 60},
                       window.SerializeAsString(),
                       std::make_shared<const std::string>(filter.SerializeAsString())});

  boost::asio::io_context io;
  peer_link follower{io, "127.0.0.1:0", 1, [](const wire::peer_frame&) {}};
  wire::peer_frame ping;
  ping.mutable_ping()->set_shed_version(held_version);
  wire::peer_frame answered;
  follower.SendRequest(leader.address(), ping, SteadyNow() + std::chrono::seconds{2},
                       [&](const wire::peer_frame* answer) {
                         answered = answer != nullptr ? *answer : wire::peer_frame{};
                       });
  const auto until = SteadyNow() + std::chrono::seconds{2};
  while (!answered.has_pong() && SteadyNow() < until) {
    io.run_one_for(std::chrono::milliseconds{20});
  }
  CHECK(answered.pong().leading());
  CHECK(answered.pong().shed_version() == (expired ? 0U : 3U));
  CHECK(answered.pong().has_shed_filter() == (!expired && held_version != 3U));
}

// A process of a large cell that ran out of file descriptors ended with an uncaught exception and
// dropped the connections of all its callers. Not built with sanitizers: the one that checks object
// types opens a pipe for it, which needs descriptors itself. There the `peer_transport` test that
// cannot open more sockets covers this failure.
#ifndef __SANITIZE_ADDRESS__
TEST_CASE("a process without free file descriptors keeps running") {
  boost::asio::io_context io;
  peer_link* self = nullptr;
  peer_link link{io, "127.0.0.1:0", 1, [&self](const wire::peer_frame& request) {
                   wire::peer_frame answer;
                   answer.mutable_view();
                   self->Answer(request, std::move(answer));
                 }};
  self = &link;
  rlimit before{};
  REQUIRE(getrlimit(RLIMIT_NOFILE, &before) == 0);
  const int next = dup(STDOUT_FILENO);
  close(next);
  rlimit limited = before;
  limited.rlim_cur = static_cast<rlim_t>(next);
  REQUIRE(setrlimit(RLIMIT_NOFILE, &limited) == 0);
  constexpr int kPeers = 20;
  for (int at = 1; at <= kPeers; ++at) {
    link.SendMessage("127.0.0.1:" + std::to_string(at), {});
  }
  std::this_thread::sleep_for(std::chrono::milliseconds{200});
  REQUIRE(setrlimit(RLIMIT_NOFILE, &before) == 0);
  bool answered = false;
  link.SendRequest(link.address(), {}, SteadyNow() + std::chrono::seconds{3},
                   [&answered](const wire::peer_frame* answer) { answered = answer != nullptr; });
  io.restart();
  const auto until = SteadyNow() + std::chrono::seconds{3};
  while (!answered && SteadyNow() < until) {
    io.run_one_for(std::chrono::milliseconds{20});
  }
  CHECK(answered);
}
#endif

}  // namespace rosearch::cell
