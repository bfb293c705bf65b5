#ifndef ROSEARCH_CELL_PEER_CHOICE_H_
#define ROSEARCH_CELL_PEER_CHOICE_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace rosearch::cell {

/// @return the rank of a peer for a key in rendezvous hashing, the same at every process. The peer
///         with the highest rank is chosen, so few choices change when a peer joins or leaves.
[[nodiscard]] std::size_t RankOf(std::string_view peer, std::string_view key);

/// Chooses the peers that rank highest for a key.
/// @param max_count  the maximum number of peers returned.
/// @return the chosen peers, highest rank first; all of them if there are no more than `max_count`.
[[nodiscard]] std::vector<std::string> HighestRanked(std::vector<std::string> peers,
                                                     std::string_view key, std::size_t max_count);

/// @return whether this process is one of at most `max_count` that rank highest for a key.
[[nodiscard]] bool IsHighestRanked(std::string_view self, const std::vector<std::string>& others,
                                   std::string_view key, std::size_t max_count);

/// @return the number of relays for a leader of this many workers; 0: the leader contacts its
///         workers itself, which costs less in total.
[[nodiscard]] std::size_t RelayCount(std::size_t workers);

}  // namespace rosearch::cell

#endif  // ROSEARCH_CELL_PEER_CHOICE_H_
