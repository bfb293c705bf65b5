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

// A leader is replaced while requests of callers are on their way to it. Each waited for its answer
// for a second before it went to the next leader.
TEST_CASE("questions to a peer that is gone end when they are abandoned") {
  boost::asio::io_context io;
  peer_link link{io, "127.0.0.1:0", 1, [](const wire::peer_frame&) {}};
  int ended = 0;
  const auto count = [&ended](const wire::peer_frame* answer) {
    ended += answer == nullptr ? 1 : 0;
  };
  const auto long_enough = SteadyNow() + std::chrono::seconds{60};
  link.Ask("127.0.0.1:9", {}, long_enough, count);
  link.Ask("127.0.0.1:9", {}, long_enough, count);
  link.Ask("127.0.0.1:10", {}, long_enough, count);
  link.Abandon("127.0.0.1:9");
  CHECK(ended == 2);
}

// Hundreds of peers ping a leader, which sends each the list of all. Kept in case a ping comes
// again, the lists of a few seconds took all memory.
TEST_CASE("answers to what is only read are not kept") {
  boost::asio::io_context io;
  int asked = 0;
  peer_link link{io, "127.0.0.1:0", 1, [&asked](const wire::peer_frame&) { ++asked; }};
  const auto patience = SteadyNow() + std::chrono::seconds{1};
  wire::peer_frame ping;
  ping.mutable_ping();
  wire::peer_frame query;
  query.mutable_query();
  wire::peer_frame call;
  call.mutable_call();
  link.Ask(link.address(), ping, patience, [](const wire::peer_frame*) {});
  link.Ask(link.address(), query, patience, [](const wire::peer_frame*) {});
  link.Ask(link.address(), call, patience, [](const wire::peer_frame*) {});
  while (asked < 3 && SteadyNow() < patience) {
    io.run_one_for(std::chrono::milliseconds{20});
  }
  CHECK(link.Remembered() == 1);
}

// A new leader is busy, and its peers hold the list of members of the one before. They must hear it
// all the same, and get the new list.
TEST_CASE("pings of peers with an older list are answered beside the work") {
  boost::asio::io_context busy;
  peer_link leader{busy, "127.0.0.1:0", 1, [](const wire::peer_frame&) {}};
  auto members = std::make_unique<wire::peer_frame>();
  members->mutable_pong()->set_members_version(7);
  members->mutable_pong()->add_members()->set_address("10.0.0.1:7660");
  auto reply = std::make_unique<wire::peer_frame>();
  reply->mutable_pong()->set_leading(true);
  leader.SetPingMembers(std::move(members));
  leader.SetPingReply(std::move(reply), SteadyNow() + std::chrono::seconds{60});

  boost::asio::io_context io;
  peer_link follower{io, "127.0.0.1:0", 1, [](const wire::peer_frame&) {}};
  wire::peer_frame ping;
  ping.mutable_ping()->set_members_version(6);
  wire::peer_frame heard;
  follower.Ask(leader.address(), ping, SteadyNow() + std::chrono::seconds{2},
               [&heard](const wire::peer_frame* answer) {
                 if (answer != nullptr) {
                   heard = *answer;
                 }
               });
  const auto until = SteadyNow() + std::chrono::seconds{2};
  while (!heard.has_pong() && SteadyNow() < until) {
    io.run_one_for(std::chrono::milliseconds{20});
  }
  CHECK(heard.pong().leading());
  CHECK(heard.pong().members_version() == 7);
  CHECK(heard.pong().members_size() == 1);
}

// A process of a large cell has used up its file descriptors. It ended by an exception that nobody
// caught, and with it the connections of all its callers. Not with the sanitizer that looks at an
// object's type through a pipe, which needs descriptors itself; there the case of `peer_transport`
// that can make no more sockets stands for it.
#ifndef __SANITIZE_ADDRESS__
TEST_CASE("a process without file descriptors left goes on") {
  boost::asio::io_context io;
  peer_link* self = nullptr;
  peer_link link{io, "127.0.0.1:0", 1, [&self](const wire::peer_frame& asked) {
                   wire::peer_frame answer;
                   answer.mutable_view();
                   self->Answer(asked, std::move(answer));
                 }};
  self = &link;
  rlimit before{};
  REQUIRE(getrlimit(RLIMIT_NOFILE, &before) == 0);
  const int next = dup(STDOUT_FILENO);
  close(next);
  rlimit few = before;
  few.rlim_cur = static_cast<rlim_t>(next);
  REQUIRE(setrlimit(RLIMIT_NOFILE, &few) == 0);
  constexpr int kPeers = 20;
  for (int at = 1; at <= kPeers; ++at) {
    link.Tell("127.0.0.1:" + std::to_string(at), {});
  }
  std::this_thread::sleep_for(std::chrono::milliseconds{200});
  REQUIRE(setrlimit(RLIMIT_NOFILE, &before) == 0);
  bool answered = false;
  link.Ask(link.address(), {}, SteadyNow() + std::chrono::seconds{3},
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
