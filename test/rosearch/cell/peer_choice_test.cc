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

// All processes of a large cell ask peers about a silent leader at the same time. When they all
// asked the same few peers, those were too busy to answer.
TEST_CASE("different processes choose different peers") {
  constexpr int kCellSize = 300;
  constexpr std::size_t kChosen = 16;
  std::map<std::string, std::size_t> chosen;
  std::size_t max_chosen = 0;
  for (const auto& self : Peers(kCellSize)) {
    for (const auto& peer : HighestRanked(Peers(kCellSize), self, kChosen)) {
      max_chosen = std::max(max_chosen, ++chosen[peer]);
    }
  }
  CHECK(max_chosen < 3 * kChosen);
  CHECK(chosen.size() > kCellSize * 9 / 10);
}

// One of many peers is lost. If that changed all choices, each process would ask peers to which it
// has no connection yet, and get no answer.
TEST_CASE("the loss of a peer changes no other choice") {
  constexpr std::size_t kChosen = 16;
  const auto before = HighestRanked(Peers(100), "self", kChosen);
  auto remaining = Peers(100);
  std::erase(remaining, before.front());
  const auto after = HighestRanked(remaining, "self", kChosen);
  REQUIRE(after.size() == kChosen);
  CHECK(std::equal(before.begin() + 1, before.end(), after.begin()));
}

TEST_CASE("all peers are chosen if there are few") {
  CHECK(HighestRanked(Peers(3), "self", 16).size() == 3);
  CHECK(HighestRanked({}, "self", 16).empty());
}

TEST_CASE("the number of relays grows with the number of workers") {
  CHECK(RelayCount(100) == 0);
  CHECK(RelayCount(540) == 4);
  CHECK(RelayCount(3'000) == 12);
}

// Guards against a cell that has no process, or hundreds, that claim without a delay.
TEST_CASE("as many processes as asked for are highest ranked") {
  const auto all = Peers(300);
  std::size_t highest = 0;
  for (const auto& self : all) {
    auto others = all;
    std::erase(others, self);
    highest += IsHighestRanked(self, others, "candidate", 100) ? 1 : 0;
  }
  CHECK(highest == 100);
  CHECK(IsHighestRanked(all.front(), {}, "candidate", 100));
}

}  // namespace rosearch::cell
