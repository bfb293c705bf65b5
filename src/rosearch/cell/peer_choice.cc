#include "rosearch/cell/peer_choice.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace rosearch::cell {
namespace {

/// A leader of no more workers than this needs no help with them.
constexpr std::size_t kRelayAbove = 150;

/// Connections that a relay holds and that its share of a processor serves.
constexpr std::size_t kWorkersEach = 250;

/// With fewer, the loss of one would stop too large a part of all exchanges.
constexpr std::size_t kFewestRelays = 4;

}  // namespace

std::size_t RankOf(std::string_view peer, std::string_view key) {
  std::string text;
  text.reserve(peer.size() + key.size());
  text.append(peer).append(key);
  return std::hash<std::string>{}(text);
}

std::vector<std::string> HighestRanked(std::vector<std::string> peers, std::string_view key,
                                       std::size_t most) {
  std::vector<std::pair<std::size_t, std::string>> ranked;
  ranked.reserve(peers.size());
  for (auto& peer : peers) {
    const auto rank = RankOf(peer, key);
    ranked.emplace_back(rank, std::move(peer));
  }
  std::ranges::sort(ranked, std::greater{});
  ranked.resize(std::min(ranked.size(), most));
  std::vector<std::string> chosen;
  chosen.reserve(ranked.size());
  for (auto& [rank, peer] : ranked) {
    chosen.push_back(std::move(peer));
  }
  return chosen;
}

std::size_t RelaysFor(std::size_t workers) {
  if (workers <= kRelayAbove) {
    return 0;
  }
  return std::max(kFewestRelays, (workers + kWorkersEach - 1) / kWorkersEach);
}

}  // namespace rosearch::cell
