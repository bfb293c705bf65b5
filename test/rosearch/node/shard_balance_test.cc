#include "rosearch/node/shard_balance.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <optional>

namespace rosearch {
namespace {

constexpr time_point kNow{std::chrono::seconds{1000}};
const party kOwner{entry_id{"a"}, 1};
const party kWitness{entry_id{"b"}, 2};
const party kOther{entry_id{"c"}, 3};

/// The rights of an owner that acts by its own right.
shard_rights SingleOwner(const std::optional<party>& witness) {
  shard_rights rights{0, kOwner, {}};
  rights_output out;
  rights.OnAssignment({0, 1, 0, kOwner, witness}, kNow, out);
  rights.OnLogEnd(kNow, kNow, out);
  return rights;
}

/// The rights of an owner whose witness is active.
shard_rights PairedOwner() {
  auto rights = SingleOwner(kWitness);
  rights_output out;
  rights.SetWitnessReady(true);
  rights.Tick(kNow, out);
  wire::pair_message answer;
  answer.set_epoch(1);
  answer.mutable_renewed()->set_sequence(1);
  answer.mutable_renewed()->set_granted_us(3'000'000);
  rights.OnMessage(kWitness, answer, kNow, out);
  return rights;
}

}  // namespace

TEST_CASE("a shard moves to its active witness at once, and to others by way of it", "[node]") {
  const auto rights = PairedOwner();
  REQUIRE(rights.WitnessActive());
  CHECK(StepTowards(rights, kWitness) == move_step::kGive);
  CHECK(StepTowards(rights, kOther) == move_step::kGiveToWitness);
}

// Guards against an order that is answered "unknown" and does not run although no process was lost:
// the owner replaced a witness that was about to become active, stopped until the promise to that
// one had run out, and went on as if another had acted in between.
TEST_CASE("a witness that is not active yet is not replaced for a move", "[node]") {
  CHECK(StepTowards(SingleOwner({}), kOther) == move_step::kPair);
  CHECK_FALSE(StepTowards(SingleOwner(kWitness), kOther).has_value());
}

// Guards against an entry that ends by a signal: it moved a shard to the witness of the newest
// epoch, which another entry had claimed without a witness.
TEST_CASE("no move begins while another epoch is under way", "[node]") {
  auto rights = PairedOwner();
  rights_output out;
  rights.OnAssignment({0, 2, 1, kOther, {}}, kNow, out);
  REQUIRE(rights.WitnessActive());
  REQUIRE_FALSE(rights.witness().has_value());
  CHECK_FALSE(StepTowards(rights, kOther).has_value());
}

}  // namespace rosearch
