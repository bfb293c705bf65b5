#ifndef ROSEARCH_NET_MEMORY_LIMIT_H_
#define ROSEARCH_NET_MEMORY_LIMIT_H_

#include <cstddef>
#include <cstdint>

namespace rosearch {

inline constexpr std::size_t kBytesPerMb = 1'000'000;

/// @return the memory of this machine in MB.
[[nodiscard]] std::uint32_t MachineMemoryMb() noexcept;

/// @param memory_mb         that a process may use.
/// @param client_memory_mb  the limit that its settings name; 0: none.
/// @return what clients may make the process hold, in MB.
[[nodiscard]] std::uint32_t ClientMemoryMb(std::uint32_t memory_mb,
                                           std::uint32_t client_memory_mb) noexcept;

}  // namespace rosearch

#endif  // ROSEARCH_NET_MEMORY_LIMIT_H_
