#include "rosearch/cell/peer_choice.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

namespace rosearch::cell {
namespace {

std::vector<std::string> Peers(int count) {
  std::vector<std::string> peers;
  peers.reserve(static_cast<std::size_t>(count));
  for (int at = 0; at < count; ++at) {
    peers.push_back("10.0." + std::to_string(at / 100) + "." + std::to_string(at % 100) + ":7660");
  }
  return peers;
}

}  // namespace

// All processes of a large cell doubt its leader at the same moment. Where they all asked the same
// few, those had no time to answer.
TEST_CASE("different processes choose different peers") {
  constexpr int kCell = 300;
  constexpr std::size_t kChosen = 16;
  std::map<std::string, std::size_t> chosen;
  std::size_t most = 0;
  for (const auto& self : Peers(kCell)) {
    for (const auto& peer : HighestRanked(Peers(kCell), self, kChosen)) {
      most = std::max(most, ++chosen[peer]);
    }
  }
  CHECK(most < 3 * kChosen);
  CHECK(chosen.size() > kCell * 9 / 10);
}

// One peer of many goes. Were all choices made anew, each process would ask peers to which it has
// no connection yet, and hear nothing.
TEST_CASE("the loss of a peer changes no other choice") {
  constexpr std::size_t kChosen = 16;
  const auto before = HighestRanked(Peers(100), "self", kChosen);
  auto left = Peers(100);
  std::erase(left, before.front());
  const auto after = HighestRanked(left, "self", kChosen);
  REQUIRE(after.size() == kChosen);
  CHECK(std::equal(before.begin() + 1, before.end(), after.begin()));
}

TEST_CASE("all peers are chosen where there are few") {
  CHECK(HighestRanked(Peers(3), "self", 16).size() == 3);
  CHECK(HighestRanked({}, "self", 16).empty());
}

TEST_CASE("relays grow with the workers that they carry") {
  CHECK(RelaysFor(100) == 0);
  CHECK(RelaysFor(540) == 4);
  CHECK(RelaysFor(3'000) == 12);
}

}  // namespace rosearch::cell
