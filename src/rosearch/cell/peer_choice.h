#ifndef ROSEARCH_CELL_PEER_CHOICE_H_
#define ROSEARCH_CELL_PEER_CHOICE_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace rosearch::cell {

/// @return how high a peer ranks for a key, the same at every process: of several peers the one
///         that ranks highest is chosen, so that few choices change where a peer comes or goes.
[[nodiscard]] std::size_t RankOf(std::string_view peer, std::string_view key);

/// Chooses the peers that rank highest for a key.
/// @param most  how many at most.
/// @return the highest first; all where there are fewer.
[[nodiscard]] std::vector<std::string> HighestRanked(std::vector<std::string> peers,
                                                     std::string_view key, std::size_t most);

/// @return how many relays a leader of so many workers has; 0: it exchanges with them itself, at
///         less cost in all.
[[nodiscard]] std::size_t RelaysFor(std::size_t workers);

}  // namespace rosearch::cell

#endif  // ROSEARCH_CELL_PEER_CHOICE_H_
