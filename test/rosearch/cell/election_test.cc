#include "rosearch/cell/election.h"

#include <catch2/catch.hpp>

namespace rosearch::cell {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const time_point kStart{seconds{100}};
const leadership kFirst{1, "10.0.0.1:1", "a", 7};

election MakeElection(bool small = false) {
  return election{election_settings{}, small, 0.0, kStart};
}

}  // namespace

TEST_CASE("nobody claims before the log of claims was read") {
  auto candidate = MakeElection();
  CHECK_FALSE(candidate.ShouldClaim(kStart + seconds{10}));
  candidate.OnClaimsRead(kStart);
  CHECK(candidate.ShouldClaim(kStart + milliseconds{200}));
}

TEST_CASE("large processes claim before small ones") {
  auto large = MakeElection();
  auto small = MakeElection(true);
  large.OnClaimsRead(kStart);
  small.OnClaimsRead(kStart);
  CHECK(large.ShouldClaim(kStart + milliseconds{150}));
  CHECK_FALSE(small.ShouldClaim(kStart + milliseconds{150}));
  CHECK(small.ShouldClaim(kStart + milliseconds{700}));
}

TEST_CASE("a leader that answers is not replaced") {
  auto candidate = MakeElection();
  candidate.OnClaimsRead(kStart);
  candidate.OnLeadership(kFirst, kStart);
  for (int at = 1; at < 20; ++at) {
    const auto now = kStart + milliseconds{200} * at;
    candidate.OnLeaderAnswer(1, now);
    CHECK_FALSE(candidate.ShouldAskPeers(now + milliseconds{199}));
    CHECK(candidate.HasActiveLeader(now + milliseconds{199}));
  }
}

// The leader's machine loses power: no connection breaks and no message is sent. Callers get no
// answer until another process leads.
TEST_CASE("peers are asked about a silent leader before it is replaced") {
  auto candidate = MakeElection();
  candidate.OnClaimsRead(kStart);
  candidate.OnLeadership(kFirst, kStart);
  candidate.OnLeaderAnswer(1, kStart);
  CHECK_FALSE(candidate.ShouldAskPeers(kStart + milliseconds{300}));
  CHECK(candidate.ShouldAskPeers(kStart + milliseconds{400}));
  CHECK_FALSE(candidate.ShouldClaim(kStart + milliseconds{500}));
  CHECK(candidate.ShouldClaim(kStart + milliseconds{750}));
}

// The leader's machine becomes slow and another process takes over. The slow process received the
// new leader's answers too late and claimed again, so that leadership alternated between the two
// and neither served callers.
TEST_CASE("a slow process doesn't replace a healthy leader") {
  auto candidate = MakeElection();
  candidate.OnClaimsRead(kStart);
  candidate.OnLeadership(kFirst, kStart);
  candidate.OnLeaderAnswer(1, kStart);
  candidate.OnTimerDelay(milliseconds{300}, kStart + milliseconds{500});
  CHECK_FALSE(candidate.ShouldClaim(kStart + milliseconds{1'500}));
  candidate.OnLeaderAnswer(1, kStart + milliseconds{1'600});
  CHECK_FALSE(candidate.ShouldClaim(kStart + milliseconds{2'100}));
  // The slow process still claims if the leader stays silent and no other process claims.
  CHECK(candidate.ShouldClaim(kStart + seconds{4}));
}

// Only this process is cut off from the leader. A claim would cause two needless leader changes.
TEST_CASE("a peer that reaches the leader keeps others from claiming") {
  auto candidate = MakeElection();
  candidate.OnClaimsRead(kStart);
  candidate.OnLeadership(kFirst, kStart);
  candidate.OnLeaderAnswer(1, kStart);
  candidate.OnPeerReport(kStart + milliseconds{500});
  CHECK_FALSE(candidate.ShouldClaim(kStart + milliseconds{1'000}));
}

// The leader's machine loses power shortly after it answered all peers. Peers are asked half a
// second later: their reports must not count as if the leader had answered at that time.
TEST_CASE("a peer's report counts from the leader's last answer to it") {
  auto candidate = MakeElection();
  candidate.OnClaimsRead(kStart);
  candidate.OnLeadership(kFirst, kStart);
  candidate.OnLeaderAnswer(1, kStart);
  candidate.OnPeerReport(kStart + milliseconds{50});
  CHECK_FALSE(candidate.ShouldClaim(kStart + milliseconds{600}));
  CHECK(candidate.ShouldClaim(kStart + milliseconds{750}));
}

// The leader's process is killed and all its connections break. Waiting for the full suspect
// timeout would leave callers without an answer for half a second longer.
TEST_CASE("a leader whose connection broke is replaced soon") {
  auto candidate = MakeElection();
  candidate.OnClaimsRead(kStart);
  candidate.OnLeadership(kFirst, kStart);
  candidate.OnLeaderAnswer(1, kStart);
  candidate.OnConnectionBroken(kStart + milliseconds{20});
  CHECK(candidate.ShouldAskPeers(kStart + milliseconds{20}));
  CHECK_FALSE(candidate.LeaderReachable(kStart + milliseconds{20}));
  CHECK_FALSE(candidate.ShouldClaim(kStart + milliseconds{100}));
  CHECK(candidate.ShouldClaim(kStart + milliseconds{300}));
}

// The network resets the connections of a healthy leader.
TEST_CASE("a leader that answers after its connection broke is not replaced") {
  auto candidate = MakeElection();
  candidate.OnClaimsRead(kStart);
  candidate.OnLeadership(kFirst, kStart);
  candidate.OnLeaderAnswer(1, kStart);
  candidate.OnConnectionBroken(kStart + milliseconds{20});
  SECTION("by this process") { candidate.OnLeaderAnswer(1, kStart + milliseconds{90}); }
  SECTION("by a peer") { candidate.OnPeerReport(kStart + milliseconds{90}); }
  CHECK_FALSE(candidate.ShouldClaim(kStart + milliseconds{300}));
}

TEST_CASE("a leader that announces its departure is replaced at once") {
  auto candidate = MakeElection();
  candidate.OnClaimsRead(kStart);
  candidate.OnLeadership(kFirst, kStart);
  candidate.OnLeaderAnswer(1, kStart + seconds{5});
  candidate.OnLeaderLeaving(1);
  CHECK_FALSE(candidate.HasActiveLeader(kStart + seconds{5}));
  CHECK(candidate.LeaderReachable(kStart + seconds{5}));
  CHECK(candidate.ShouldClaim(kStart + seconds{5} + milliseconds{120}));
}

TEST_CASE("an older leadership and its departure are ignored") {
  auto candidate = MakeElection();
  candidate.OnClaimsRead(kStart);
  CHECK(candidate.OnLeadership({2, "10.0.0.2:1", "b", 8}, kStart));
  CHECK_FALSE(candidate.OnLeadership(kFirst, kStart));
  candidate.OnLeaderLeaving(1);
  CHECK_FALSE(candidate.Leaving());
}

TEST_CASE("a claim that was not answered is not repeated at once") {
  auto candidate = MakeElection();
  candidate.OnClaimsRead(kStart);
  REQUIRE(candidate.ShouldClaim(kStart + milliseconds{200}));
  candidate.OnClaimSent(kStart + milliseconds{200});
  CHECK_FALSE(candidate.ShouldClaim(kStart + milliseconds{300}));
  CHECK(candidate.ShouldClaim(kStart + milliseconds{700}));
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

// Guards against claims whose log line doesn't tell why the former leader was given up.
TEST_CASE("a claim names its cause") {
  auto candidate = MakeElection();
  candidate.OnClaimsRead(kStart);
  CHECK(candidate.ClaimCause(kStart) == "no_leader_known");
  candidate.OnLeadership(kFirst, kStart);
  CHECK(candidate.ClaimCause(kStart + seconds{1}) == "leader_silent");
  CHECK(candidate.SilentFor(kStart + seconds{1}) == seconds{1});
  candidate.OnConnectionBroken(kStart + seconds{1});
  CHECK(candidate.ClaimCause(kStart + seconds{2}) == "connection_lost");
  candidate.OnLeaderLeaving(kFirst.epoch);
  CHECK(candidate.ClaimCause(kStart + seconds{2}) == "leader_leaving");
}

// Guards against hundreds of processes that replace leader after leader, none of which they heard.
TEST_CASE("a leader that renews its claim is not replaced unheard") {
  auto candidate = MakeElection();
  candidate.OnClaimsRead(kStart);
  candidate.OnLeadership(kFirst, kStart);
  auto renewed_at = kStart;
  for (int number = 0; number < 12; ++number) {
    renewed_at += milliseconds{250};
    CHECK_FALSE(candidate.ShouldClaim(renewed_at));
    candidate.OnClaimRenewed(kFirst.epoch, renewed_at);
  }
  // It died after its last renewal.
  CHECK_FALSE(candidate.ShouldClaim(renewed_at + milliseconds{550}));
  CHECK(candidate.ShouldClaim(renewed_at + milliseconds{750}));
}

// Guards against a renewal of a former leader, read late, that hides the loss of the current one.
TEST_CASE("a renewal of another epoch is no sign of the leader") {
  auto candidate = MakeElection();
  candidate.OnClaimsRead(kStart);
  candidate.OnLeadership({2, "10.0.0.2:1", "b", 8}, kStart);
  candidate.OnClaimRenewed(1, kStart + milliseconds{600});
  CHECK(candidate.ShouldClaim(kStart + milliseconds{750}));
}

// Guards against a cell of hundreds of processes that all claim, and ask peers, at the same moment.
TEST_CASE("a process that becomes a reserve candidate claims later") {
  auto candidate = MakeElection();
  candidate.OnClaimsRead(kStart);
  candidate.OnLeadership(kFirst, kStart);
  candidate.SetReserve(true);
  CHECK_FALSE(candidate.ShouldAskPeers(kStart + milliseconds{750}));
  CHECK_FALSE(candidate.ShouldClaim(kStart + milliseconds{750}));
  CHECK(candidate.ShouldClaim(kStart + milliseconds{1'250}));
  candidate.SetReserve(false);
  CHECK(candidate.ShouldClaim(kStart + milliseconds{750}));
}

}  // namespace rosearch::cell
