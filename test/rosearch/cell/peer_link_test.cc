#include "rosearch/cell/peer_link.h"

#include <sys/resource.h>
#include <unistd.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <thread>
#include <utility>
#include <vector>

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

// Peers forward more large requests than a leader whose event loop is late can keep in memory.
TEST_CASE("callers' requests from peers are dropped when too many bytes wait") {
  boost::asio::io_context late;
  std::size_t received = 0;
  peer_link leader{late, "127.0.0.1:0", 1, [&received](const wire::peer_frame& frame) {
                     received += frame.call().body().size();
                   }};
  boost::asio::io_context io;
  peer_link peer{io, "127.0.0.1:0", 2, [](const wire::peer_frame&) {}};
  wire::peer_frame call;
  call.mutable_call()->set_body(std::string(256U << 10U, 'x'));
  const auto until = SteadyNow() + std::chrono::seconds{20};
  while (leader.CountDropped() < 20 && SteadyNow() < until) {
    peer.SendMessage(leader.address(), call);
    std::this_thread::sleep_for(std::chrono::milliseconds{2});
  }
  CHECK(leader.CountDropped() >= 20);
  late.poll();
  CHECK(received <= peer_link::kMaxWaitingBytes);
  CHECK(received > peer_link::kMaxWaitingBytes / 2);
}

// Guards against one wake-up of the event loop for each message of a burst, and against a changed
// order of messages.
TEST_CASE("messages received together are handled together and in order") {
  boost::asio::io_context io;
  const auto work = boost::asio::make_work_guard(io);
  constexpr std::uint64_t kMessages = 20;
  std::vector<std::uint64_t> epochs;
  peer_link link{io, "127.0.0.1:0", 1,
                 [&epochs](const wire::peer_frame& frame) { epochs.push_back(frame.epoch()); }};
  const auto deadline = SteadyNow() + std::chrono::seconds{2};
  const auto send = [&link](std::uint64_t epoch) {
    wire::peer_frame frame;
    frame.set_epoch(epoch);
    frame.mutable_query();
    link.SendMessage(link.address(), std::move(frame));
  };
  // Messages are dropped until the connection is made.
  while (epochs.empty() && SteadyNow() < deadline) {
    send(0);
    io.run_one_for(std::chrono::milliseconds{20});
  }
  while (io.run_one_for(std::chrono::milliseconds{50}) > 0) {
  }
  epochs.clear();
  const auto before = link.CountReceived();
  for (std::uint64_t epoch = 1; epoch <= kMessages; ++epoch) {
    send(epoch);
  }
  while (link.CountReceived() < before + kMessages && SteadyNow() < deadline) {
    std::this_thread::sleep_for(std::chrono::milliseconds{1});
  }
  std::size_t handlers = 0;
  while (epochs.size() < kMessages && SteadyNow() < deadline) {
    handlers += io.poll();
  }
  CHECK(handlers <= 2);  // the last message may still be decoded when it is counted
  REQUIRE(epochs.size() == kMessages);
  for (std::uint64_t epoch = 1; epoch <= kMessages; ++epoch) {
    CHECK(epochs[epoch - 1] == epoch);
  }
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
