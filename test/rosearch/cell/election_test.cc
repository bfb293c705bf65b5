#include "rosearch/cell/election.h"

#include <catch2/catch.hpp>

namespace rosearch::cell {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const time_point kStart{seconds{100}};
const leadership kFirst{1, "10.0.0.1:1", "a", 7};

election Made(bool small = false) { return election{election_settings{}, small, 0.0, kStart}; }

}  // namespace

TEST_CASE("nobody claims before the log of claims was read") {
  auto made = Made();
  CHECK_FALSE(made.ShouldClaim(kStart + seconds{10}));
  made.OnClaimsRead(kStart);
  CHECK(made.ShouldClaim(kStart + milliseconds{200}));
}

TEST_CASE("large processes claim before small ones") {
  auto large = Made();
  auto small = Made(true);
  large.OnClaimsRead(kStart);
  small.OnClaimsRead(kStart);
  CHECK(large.ShouldClaim(kStart + milliseconds{150}));
  CHECK_FALSE(small.ShouldClaim(kStart + milliseconds{150}));
  CHECK(small.ShouldClaim(kStart + milliseconds{700}));
}

TEST_CASE("a leader that answers is left alone") {
  auto made = Made();
  made.OnClaimsRead(kStart);
  made.OnLeadership(kFirst, kStart);
  for (int at = 1; at < 20; ++at) {
    const auto now = kStart + milliseconds{200} * at;
    made.OnHeard(1, now);
    CHECK_FALSE(made.Doubts(now + milliseconds{199}));
    CHECK(made.Hears(now + milliseconds{199}));
  }
}

// The leader's machine loses power: no connection breaks, nothing is said. Callers notice that no
// request is answered until somebody else leads.
TEST_CASE("a silent leader is doubted, then replaced") {
  auto made = Made();
  made.OnClaimsRead(kStart);
  made.OnLeadership(kFirst, kStart);
  made.OnHeard(1, kStart);
  CHECK_FALSE(made.Doubts(kStart + milliseconds{300}));
  CHECK(made.Doubts(kStart + milliseconds{400}));
  CHECK_FALSE(made.ShouldClaim(kStart + milliseconds{500}));
  CHECK(made.ShouldClaim(kStart + milliseconds{750}));
}

// The leader's machine turns slow and another process takes over. The slow one hears its answers
// too late, took it for dead and led again, and so on by turns: callers were served by neither.
TEST_CASE("a process that is slow itself doesn't take a sound leader for dead") {
  auto made = Made();
  made.OnClaimsRead(kStart);
  made.OnLeadership(kFirst, kStart);
  made.OnHeard(1, kStart);
  made.OnOwnDelay(milliseconds{300}, kStart + milliseconds{500});
  CHECK_FALSE(made.ShouldClaim(kStart + milliseconds{1'500}));
  made.OnHeard(1, kStart + milliseconds{1'600});
  CHECK_FALSE(made.ShouldClaim(kStart + milliseconds{2'100}));
  // Where the leader is dead and nobody else claims, it does all the same.
  CHECK(made.ShouldClaim(kStart + seconds{4}));
}

// Only this process is cut off from the leader. If it claimed, the cell would change its leader for
// nothing, and back again.
TEST_CASE("a peer that hears the leader keeps others from claiming") {
  auto made = Made();
  made.OnClaimsRead(kStart);
  made.OnLeadership(kFirst, kStart);
  made.OnHeard(1, kStart);
  made.OnPeerHeard(kStart + milliseconds{500});
  CHECK_FALSE(made.ShouldClaim(kStart + milliseconds{1'000}));
}

// The leader's machine loses power. All have heard it a moment ago; asked about it half a second
// later, the peers' word must not count as if the leader had answered just then.
TEST_CASE("a peer's word counts from when it heard the leader") {
  auto made = Made();
  made.OnClaimsRead(kStart);
  made.OnLeadership(kFirst, kStart);
  made.OnHeard(1, kStart);
  made.OnPeerHeard(kStart + milliseconds{50});
  CHECK_FALSE(made.ShouldClaim(kStart + milliseconds{600}));
  CHECK(made.ShouldClaim(kStart + milliseconds{750}));
}

// The leader's process is killed, and all its connections break. Waiting until its silence is
// certain would keep callers waiting for half a second longer.
TEST_CASE("a leader whose connection broke is replaced soon") {
  auto made = Made();
  made.OnClaimsRead(kStart);
  made.OnLeadership(kFirst, kStart);
  made.OnHeard(1, kStart);
  made.OnConnectionBroken(kStart + milliseconds{20});
  CHECK(made.Doubts(kStart + milliseconds{20}));
  CHECK_FALSE(made.Reaches(kStart + milliseconds{20}));
  CHECK_FALSE(made.ShouldClaim(kStart + milliseconds{100}));
  CHECK(made.ShouldClaim(kStart + milliseconds{300}));
}

// Connections are reset on the way; the leader is sound.
TEST_CASE("a leader that is heard after its connection broke is left alone") {
  auto made = Made();
  made.OnClaimsRead(kStart);
  made.OnLeadership(kFirst, kStart);
  made.OnHeard(1, kStart);
  made.OnConnectionBroken(kStart + milliseconds{20});
  SECTION("by this process") { made.OnHeard(1, kStart + milliseconds{90}); }
  SECTION("by a peer") { made.OnPeerHeard(kStart + milliseconds{90}); }
  CHECK_FALSE(made.ShouldClaim(kStart + milliseconds{300}));
}

TEST_CASE("a leader that says goodbye is replaced at once") {
  auto made = Made();
  made.OnClaimsRead(kStart);
  made.OnLeadership(kFirst, kStart);
  made.OnHeard(1, kStart + seconds{5});
  made.OnLeaderLeaving(1);
  CHECK_FALSE(made.Hears(kStart + seconds{5}));
  CHECK(made.Reaches(kStart + seconds{5}));
  CHECK(made.ShouldClaim(kStart + seconds{5} + milliseconds{120}));
}

TEST_CASE("an older leadership is no news, and a goodbye of it counts for nothing") {
  auto made = Made();
  made.OnClaimsRead(kStart);
  CHECK(made.OnLeadership({2, "10.0.0.2:1", "b", 8}, kStart));
  CHECK_FALSE(made.OnLeadership(kFirst, kStart));
  made.OnLeaderLeaving(1);
  CHECK_FALSE(made.Leaving());
}

TEST_CASE("a claim that was not answered is not repeated at once") {
  auto made = Made();
  made.OnClaimsRead(kStart);
  REQUIRE(made.ShouldClaim(kStart + milliseconds{200}));
  made.OnClaimSent(kStart + milliseconds{200});
  CHECK_FALSE(made.ShouldClaim(kStart + milliseconds{300}));
  CHECK(made.ShouldClaim(kStart + milliseconds{700}));
}

TEST_CASE("where all are restarted in turn, the youngest claims first") {
  election young{election_settings{}, false, 0.0, kStart + seconds{58}};
  election old{election_settings{}, false, 0.0, kStart - seconds{600}};
  const auto now = kStart + seconds{60};
  for (auto* const each : {&young, &old}) {
    each->OnClaimsRead(now);
    each->OnLeadership(kFirst, now);
    each->OnLeaderLeaving(1);
  }
  CHECK(young.ShouldClaim(now + milliseconds{30}));
  CHECK_FALSE(old.ShouldClaim(now + milliseconds{30}));
}

}  // namespace rosearch::cell
