#include "rosearch/net/memory_limit.h"

#include <unistd.h>

namespace rosearch {
namespace {

/// The rest is for what the process holds without clients, and for jobs.
constexpr std::uint32_t kClientShare = 5;

}  // namespace

std::uint32_t MachineMemoryMb() noexcept {
  const auto pages = static_cast<std::size_t>(sysconf(_SC_PHYS_PAGES));
  const auto page_bytes = static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
  return static_cast<std::uint32_t>(pages * page_bytes / kBytesPerMb);
}

std::uint32_t ClientMemoryMb(std::uint32_t memory_mb, std::uint32_t client_memory_mb) noexcept {
  return client_memory_mb > 0 ? client_memory_mb : memory_mb / kClientShare;
}

}  // namespace rosearch
