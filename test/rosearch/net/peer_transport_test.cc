#include "rosearch/net/peer_transport.h"

#include <pthread.h>
#include <signal.h>
#include <unistd.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <thread>

namespace rosearch {
namespace {

using std::chrono::milliseconds;

/// Waits until a transport holds connections to so many peers.
bool HoldsSoon(const peer_transport& from, std::size_t peers) {
  const auto until = std::chrono::steady_clock::now() + std::chrono::seconds{3};
  while (from.Counters().peers != peers && std::chrono::steady_clock::now() < until) {
    std::this_thread::sleep_for(milliseconds{5});
  }
  return from.Counters().peers == peers;
}

}  // namespace

// VMs are replaced for months. A process kept a connection to each that it had ever spoken to,
// until no descriptor was left for another.
TEST_CASE("connections to peers that are gone are closed") {
  peer_transport_options options;
  options.idle_limit = milliseconds{200};
  peer_transport from{"127.0.0.1:0", [](const std::string&) {}, options};
  constexpr std::size_t kGone = 5;
  for (std::size_t at = 1; at <= kGone; ++at) {
    from.Send("127.0.0.1:" + std::to_string(at), "hello");
  }
  REQUIRE(HoldsSoon(from, kGone));
  std::this_thread::sleep_for(options.idle_limit);
  from.Send("127.0.0.1:9", "hello");
  CHECK(HoldsSoon(from, 1));
}

// A process of a large cell can make no more sockets. It ended by an exception that nobody caught;
// what it can still reach must go on.
TEST_CASE("a transport that can make no more sockets goes on") {
  peer_transport_options options;
  options.most_sockets = 6;
  std::atomic<int> received{0};
  peer_transport from{"127.0.0.1:0", [&received](const std::string&) { ++received; }, options};
  const auto reaches_itself = [&] {
    const int before = received;
    const auto until = std::chrono::steady_clock::now() + std::chrono::seconds{3};
    while (received == before && std::chrono::steady_clock::now() < until) {
      from.Send(from.address(), "hello");
      std::this_thread::sleep_for(milliseconds{10});
    }
    return received > before;
  };
  REQUIRE(reaches_itself());
  constexpr int kPeers = 20;
  for (int at = 1; at <= kPeers; ++at) {
    from.Send("127.0.0.1:" + std::to_string(at), "hello");
  }
  from.WatchConnection("127.0.0.1:9");
  CHECK(reaches_itself());
  CHECK(from.Counters().peers < kPeers);
}

// The connection to the leader is watched, and nothing may be sent on it for a while. Its break
// must be told all the same.
TEST_CASE("a watched connection stays") {
  peer_transport_options options;
  options.idle_limit = milliseconds{200};
  peer_transport from{"127.0.0.1:0", [](const std::string&) {}, options};
  from.WatchConnection("127.0.0.1:1");
  REQUIRE(HoldsSoon(from, 1));
  std::this_thread::sleep_for(options.idle_limit);
  from.Send("127.0.0.1:2", "hello");
  CHECK(HoldsSoon(from, 2));
}

// Guards against a process that aborts when a signal interrupts the thread which waits for peers,
// as when a stopped process goes on.
TEST_CASE("a signal to the thread of a transport ends nothing") {
  struct sigaction former {};
  struct sigaction quiet {};
  quiet.sa_handler = [](int) {};
  REQUIRE(sigaction(SIGUSR1, &quiet, &former) == 0);
  std::atomic<int> received{0};
  peer_transport transport{"127.0.0.1:0", [&received](const std::string&) { ++received; }};
  sigset_t signals;
  sigset_t former_mask;
  sigemptyset(&signals);
  sigaddset(&signals, SIGUSR1);
  // Blocked here, so that the transport's thread gets it.
  REQUIRE(pthread_sigmask(SIG_BLOCK, &signals, &former_mask) == 0);
  constexpr int kSignals = 20;
  for (int at = 0; at < kSignals; ++at) {
    std::this_thread::sleep_for(milliseconds{5});
    REQUIRE(kill(getpid(), SIGUSR1) == 0);
  }
  const auto until = std::chrono::steady_clock::now() + std::chrono::seconds{3};
  while (received == 0 && std::chrono::steady_clock::now() < until) {
    transport.Send(transport.address(), "hello");
    std::this_thread::sleep_for(milliseconds{10});
  }
  CHECK(received > 0);
  REQUIRE(pthread_sigmask(SIG_SETMASK, &former_mask, nullptr) == 0);
  REQUIRE(sigaction(SIGUSR1, &former, nullptr) == 0);
}

}  // namespace rosearch
