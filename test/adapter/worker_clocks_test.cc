#include "platform/worker_clocks.h"

#include <catch2/catch.hpp>

namespace rosearch::platform {
namespace {

using std::chrono::seconds;

constexpr time_point kNow{seconds{1'000}};

}  // namespace

// A lease end on the clock of a former incarnation is hours ahead of the new one's clock. Runs
// there would go on for as long after the leader has lost contact.
TEST_CASE("a clock is used only for the incarnation that reported it") {
  worker_clocks clocks;
  CHECK_FALSE(clocks.At("w", 0, kNow));
  clocks.Record("w", 1, 3'600'000, kNow);
  CHECK(clocks.At("w", 1, kNow + seconds{2}) == 3'602'000);
  CHECK_FALSE(clocks.At("w", 2, kNow));
  clocks.Record("w", 2, 50, kNow);
  CHECK(clocks.At("w", 2, kNow) == 50);
  CHECK_FALSE(clocks.At("w", 1, kNow));
}

// A response of the former incarnation comes late, through a relay.
TEST_CASE("a late clock of a former incarnation is ignored") {
  worker_clocks clocks;
  clocks.Record("w", 2, 50, kNow);
  clocks.Record("w", 1, 3'600'000, kNow);
  CHECK(clocks.At("w", 2, kNow) == 50);
  clocks.Record("v", 0, 7, kNow);  // reports no incarnation
  CHECK(clocks.At("v", 0, kNow) == 7);
}

}  // namespace rosearch::platform
