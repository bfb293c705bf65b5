#include "rosearch/cell/settling_period.h"

#include <catch2/catch.hpp>

namespace rosearch::cell {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const time_point kStart{seconds{100}};
constexpr int kMany = 20;

void Join(settling_period& period, int peers, time_point now) {
  for (int number = 0; number < peers; ++number) {
    period.OnJoin(now);
  }
}

}  // namespace

TEST_CASE("a leader settles while many peers join it") {
  settling_period period;
  period.Begin(kStart);
  CHECK_FALSE(period.IsSettling(false, kStart));
  Join(period, kMany, kStart);
  CHECK(period.IsSettling(false, kStart + milliseconds{900}));
  CHECK_FALSE(period.IsSettling(false, kStart + milliseconds{1'100}));
}

// Guards against a leader that is replaced while thousands of workers answer it at once.
TEST_CASE("a leader of many peers settles while it restores") {
  settling_period period;
  period.Begin(kStart);
  Join(period, kMany, kStart);
  CHECK(period.IsSettling(true, kStart + seconds{5}));
  CHECK_FALSE(period.IsSettling(false, kStart + seconds{5}));
  CHECK_FALSE(period.IsSettling(true, kStart + milliseconds{10'100}));
}

// Guards against appends to the store at each change of leader of a small cell.
TEST_CASE("a leader of few peers never settles") {
  settling_period period;
  period.Begin(kStart);
  Join(period, 6, kStart);
  CHECK_FALSE(period.IsSettling(true, kStart + milliseconds{100}));
  CHECK_FALSE(period.IsSettling(false, kStart + milliseconds{100}));
}

// Guards against a leader that shows life in the claim log for ever, but never answers its peers.
TEST_CASE("settling ends however many peers join") {
  settling_period period;
  period.Begin(kStart);
  auto now = kStart;
  for (; now < kStart + seconds{30} && (now == kStart || period.IsSettling(false, now));
       now += milliseconds{500}) {
    Join(period, kMany, now);
  }
  CHECK(now - kStart <= milliseconds{10'500});
}

}  // namespace rosearch::cell
