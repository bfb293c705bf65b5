#include "rosearch/cell/peer_link.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <chrono>

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

}  // namespace rosearch::cell
