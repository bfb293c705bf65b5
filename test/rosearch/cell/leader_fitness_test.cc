#include "rosearch/cell/leader_fitness.h"

#include <catch2/catch.hpp>

namespace rosearch::cell {

// After all processes were killed, one with enough processor time but a link of 10 Mbit/s led: it
// took seconds to restore the state, was replaced and led again.
TEST_CASE("a process with a slow link is no fit leader") {
  CHECK_FALSE(leader_fitness{300, 10}.IsFit());
  CHECK_FALSE(leader_fitness{90, 1'000}.IsFit());
  CHECK(leader_fitness{300, 200}.IsFit());
}

TEST_CASE("a link of unknown rate is no reason against a leader") {
  CHECK(leader_fitness{300, 0}.IsFit());
  CHECK_FALSE(leader_fitness{0, 0}.IsFit());  // it is about to stop
}

}  // namespace rosearch::cell
