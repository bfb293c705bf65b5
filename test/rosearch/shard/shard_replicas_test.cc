#include <catch2/catch.hpp>
#include <chrono>

#include "rosearch/shard/shard_cell.h"

namespace rosearch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

using test::kArbiter;
using test::kOwner;
using test::kWitness;
const party kOther{entry_id{"d"}, 4};
const party kFresh{entry_id{"e"}, 5};

/// Long enough for a claimant that replaces two parties by the list.
constexpr seconds kClaimed{40};

/// Four entries, the log down since a moment, and a job that ends a second later.
test::shard_cell InOutage() {
  test::shard_cell cell{{kOwner, kWitness, kArbiter, kOther}};
  cell.Submit(kOwner, "swap", 1000);
  cell.Run(milliseconds{200});
  cell.SetLog(false);
  cell.Run(milliseconds{200});
  return cell;
}

/// The log is back, the entry claims the shard, and a caller hears the same as before.
void CheckClaimKeepsEnd(test::shard_cell& cell, const party& claimant) {
  cell.SetLog(true);
  cell.Run(seconds{1});
  cell.Claim(claimant);
  const auto is_served = cell.RunUntil(kClaimed, [&] { return cell.Serves(claimant); });
  REQUIRE(is_served);
  // At once: a successor that has forgotten the end would come to the same one a second later.
  CHECK(cell.KnowsEnd(claimant, "swap"));
}

}  // namespace

// Guards against an end that is forgotten because both holders stopped as planned, one after the
// other, while the log was down: its task runs again.
TEST_CASE("two planned stops in a row while the log is down lose no end",
          "[truthful-not-run][graceful-stop]") {
  auto cell = InOutage();
  cell.Stop(kOwner);
  cell.Run(seconds{2});
  REQUIRE_FALSE(cell.IsThere(kOwner));
  REQUIRE(cell.Serves(kWitness));
  REQUIRE(cell.TellsEnd(kWitness, "swap"));
  cell.Stop(kWitness);
  cell.Run(seconds{2});
  REQUIRE_FALSE(cell.IsThere(kWitness));
  CheckClaimKeepsEnd(cell, kArbiter);
}

// Guards against the same while each entry in turn stops, and others start, in one outage.
TEST_CASE("a rolling restart while the log is down loses no end",
          "[truthful-not-run][graceful-stop]") {
  auto cell = InOutage();
  cell.Run(seconds{2});
  REQUIRE(cell.TellsEnd(kOwner, "swap"));
  cell.Join(kFresh);
  for (const auto& who : {kOwner, kWitness, kArbiter, kOther}) {
    cell.Stop(who);
    cell.Run(seconds{4});
    REQUIRE_FALSE(cell.IsThere(who));
  }
  CheckClaimKeepsEnd(cell, kFresh);
}

// Guards against an end that is forgotten because the owner and then its witness died while the
// log was down, with no second holder found in between.
TEST_CASE("the loss of the owner and then of the witness loses no end", "[truthful-not-run]") {
  auto cell = InOutage();
  cell.Run(seconds{2});
  REQUIRE(cell.TellsEnd(kOwner, "swap"));
  cell.Lose(kOwner);
  SECTION("before the witness takes over") { cell.Run(milliseconds{500}); }
  SECTION("after it has taken over") {
    cell.Run(seconds{6});
    REQUIRE(cell.Serves(kWitness));
  }
  cell.Lose(kWitness);
  cell.Run(seconds{1});
  CheckClaimKeepsEnd(cell, kOther);
}

// Guards against the loss of a lone holder just after the log is back, before it has written what
// it told meanwhile.
TEST_CASE("the loss of a holder before its backlog is on the log loses no end",
          "[truthful-not-run]") {
  auto cell = InOutage();
  cell.Lose(kOwner);
  cell.Run(seconds{6});
  REQUIRE(cell.Serves(kWitness));
  REQUIRE(cell.TellsEnd(kWitness, "swap"));
  cell.SetAppends(false);
  cell.SetLog(true);
  cell.Run(milliseconds{200});
  cell.Lose(kWitness);
  CheckClaimKeepsEnd(cell, kOther);
}

// Guards against an end that only the last entry alive knows and tells.
TEST_CASE("an end that nobody else knows is not told", "[truthful-not-run]") {
  auto cell = InOutage();
  for (const auto& who : {kArbiter, kOther}) cell.Lose(who);
  cell.Stop(kOwner);
  cell.Run(seconds{2});
  REQUIRE(cell.Serves(kWitness));
  REQUIRE(cell.KnowsEnd(kWitness, "swap"));
  const auto answer = cell.Status(kWitness, "swap");
  REQUIRE(answer.has_value());
  CHECK(ErrorKindFromName(answer->error().kind()) == error_kind::kNotReady);
  cell.Join(kFresh);
  cell.Run(seconds{1});
  CHECK(cell.TellsEnd(kWitness, "swap"));
}

// Guards against a newest copy that isn't passed on because an entry with an older one sent that.
TEST_CASE("an entry with an older copy is no second holder of a newer one", "[truthful-not-run]") {
  shard keeper{0, region_id{"south"}, kArbiter, shard_settings{}, 1};
  keeper.SetPeers({.standbys = {kOther}, .sources = {kOther}});
  const auto send = [&](const party& from, std::uint64_t sequence) {
    wire::replicate message;
    message.set_epoch(3);
    message.set_standby(true);
    message.set_first_sequence(sequence);
    message.add_records()->mutable_snapshot();
    shard_output out;
    keeper.OnReplicate(from, message, {}, out);
  };
  send(kOwner, 10);
  send(kOther, 5);
  shard_output out;
  keeper.Tick({time_point{seconds{1000}}, 1}, out);
  REQUIRE(out.peers.size() == 1);
  CHECK(out.peers.front().to == kOther);
  CHECK(out.peers.front().message.records().first_sequence() == 10);
}

// Guards against a last holder that ends its planned stop with what it alone knows.
TEST_CASE("a lone holder stays until another place has what it told", "[graceful-stop]") {
  auto cell = InOutage();
  cell.Run(seconds{2});
  REQUIRE(cell.TellsEnd(kOwner, "swap"));
  cell.Stop(kWitness);
  for (const auto& who : {kArbiter, kOther}) cell.Lose(who);
  cell.Run(seconds{1});
  REQUIRE(cell.Serves(kOwner));
  cell.Stop(kOwner);
  cell.Run(seconds{10});
  CHECK(cell.IsThere(kOwner));
  SECTION("the log") { cell.SetLog(true); }
  SECTION("another entry") { cell.Join(kFresh); }
  cell.Run(seconds{5});
  CHECK_FALSE(cell.IsThere(kOwner));
}

}  // namespace rosearch
