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

}  // namespace rosearch
