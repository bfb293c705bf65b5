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

/// Entries that know one another by the pair's messages alone.
test::shard_cell MovingShard() {
  test::shard_cell cell{{kOwner, kWitness, kArbiter}};
  cell.SetStandbys(false);
  return cell;
}

}  // namespace

// Guards against a shard that is lost with its new owner because it moved in the moment in which
// the log went down: the new owner had no witness before its own claim was on the log.
TEST_CASE("a shard that moved has a second holder while the log is down",
          "[single-run][at-most-once]") {
  auto cell = MovingShard();
  REQUIRE(cell.Serves(kOwner));
  REQUIRE(cell.At(kOwner).rights().WitnessActive());
  cell.Submit(kOwner, "swap", 0);
  cell.Run(milliseconds{200});
  REQUIRE(cell.MoveToWitness(kOwner));
  cell.SetLog(false);
  cell.Run(seconds{1});
  CHECK(cell.Serves(kWitness));
  CHECK_FALSE(cell.Serves(kOwner));
  CHECK(cell.At(kWitness).rights().WitnessActive());
  CHECK(cell.At(kWitness).state().jobs().size() == 1);
  cell.Lose(kWitness);
  cell.Run(seconds{5});
  CHECK(cell.Serves(kOwner));
  CHECK(cell.At(kOwner).state().jobs().size() == 1);
}

// Guards against an owner that gives its right up although the record that names the next one can't
// reach the log.
TEST_CASE("no shard moves while the log is down", "[single-run]") {
  auto cell = MovingShard();
  cell.SetLog(false);
  CHECK_FALSE(cell.MoveToWitness(kOwner));
  cell.Run(seconds{5});
  CHECK(cell.Serves(kOwner));
  CHECK(cell.At(kOwner).rights().WitnessActive());
}

// Guards against an order that is answered "unknown" and does not run although its shard only
// moved: the witness's resignation, which its owner had asked for, crossed the move, and the new
// owner did not know that its copy was whole.
TEST_CASE("no shard moves to a witness that is asked to resign", "[single-run]") {
  const party other{entry_id{"d"}, 4};
  test::shard_cell cell{{kOwner, kWitness, kArbiter, other}};
  REQUIRE(cell.At(kOwner).rights().WitnessActive());
  cell.Lose(kArbiter);
  cell.HoldMessages(true);
  cell.Run(milliseconds{50});  // the owner asks its witness to resign
  CHECK_FALSE(cell.MoveToWitness(kOwner));
  cell.HoldMessages(false);
  // The next epoch has another arbiter, and the move goes on.
  bool begun = false;
  REQUIRE(cell.RunUntil(seconds{10}, [&cell, &begun] {
    begun = begun || cell.MoveToWitness(kOwner);
    return begun;
  }));
  REQUIRE(cell.RunUntil(seconds{5}, [&cell] { return cell.Serves(kWitness); }));
  CHECK(cell.At(kWitness).state().recovery().fence_ms() == 0);
  CHECK_FALSE(cell.At(kWitness).state().recovery().incomplete());
}

}  // namespace rosearch
