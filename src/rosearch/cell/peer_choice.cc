#include "rosearch/cell/peer_choice.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace rosearch::cell {
namespace {

/// A leader with at most this many workers uses no relays.
constexpr std::size_t kMaxUnrelayedWorkers = 150;

/// Number of worker connections that the processor share of one relay can serve.
constexpr std::size_t kWorkersPerRelay = 250;

/// With fewer relays, the loss of one would interrupt too many exchanges at once.
constexpr std::size_t kMinRelays = 4;

}  // namespace

std::size_t RankOf(std::string_view peer, std::string_view key) {
  std::string text;
  text.reserve(peer.size() + key.size());
  text.append(peer).append(key);
  return std::hash<std::string>{}(text);
}

std::vector<std::string> HighestRanked(std::vector<std::string> peers, std::string_view key,
                                       std::size_t max_count) {
  std::vector<std::pair<std::size_t, std::string>> ranked;
  ranked.reserve(peers.size());
  for (auto& peer : peers) {
    const auto rank = RankOf(peer, key);
    ranked.emplace_back(rank, std::move(peer));
  }
  std::ranges::sort(ranked, std::greater{});
  ranked.resize(std::min(ranked.size(), max_count));
  std::vector<std::string> chosen;
  chosen.reserve(ranked.size());
  for (auto& [rank, peer] : ranked) {
    chosen.push_back(std::move(peer));
  }
  return chosen;
}

bool IsHighestRanked(std::string_view self, const std::vector<std::string>& others,
                     std::string_view key, std::size_t max_count) {
  const std::pair own{RankOf(self, key), self};
  const auto higher = std::ranges::count_if(others, [&](const std::string& other) {
    return std::pair{RankOf(other, key), std::string_view{other}} > own;
  });
  return static_cast<std::size_t>(higher) < max_count;
}

std::size_t RelayCount(std::size_t workers) {
  if (workers <= kMaxUnrelayedWorkers) {
    return 0;
  }
  return std::max(kMinRelays, (workers + kWorkersPerRelay - 1) / kWorkersPerRelay);
}

}  // namespace rosearch::cell
