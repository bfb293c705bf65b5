#include "rosearch/admission/id_filter.h"

#include <algorithm>
#include <utility>

namespace rosearch::admission {
namespace {

/// Ten bits and seven hashes per id give a false-positive rate of about 0.8 %.
constexpr std::size_t kBitsPerId = 10;
constexpr std::uint64_t kHashes = 7;
constexpr std::size_t kBitsPerByte = 8;
constexpr std::size_t kMinBytes = 8;

/// The finalizer of SplitMix64.
std::uint64_t Mix(std::uint64_t value) {
  value += 0x9E3779B97F4A7C15U;
  value = (value ^ (value >> 30U)) * 0xBF58476D1CE4E5B9U;
  value = (value ^ (value >> 27U)) * 0x94D049BB133111EBU;
  return value ^ (value >> 31U);
}

/// FNV-1a; std::hash may differ between builds.
std::uint64_t Hash(std::string_view id, std::uint64_t seed) {
  std::uint64_t hash = 0xCBF29CE484222325U ^ Mix(seed);
  for (const char letter : id) {
    hash = (hash ^ static_cast<unsigned char>(letter)) * 0x100000001B3U;
  }
  return Mix(hash);
}

/// Calls `visit` with each bit of an id, until it returns false.
template <typename Visitor>
bool VisitBits(std::string_view id, std::uint64_t seed, std::size_t bytes, Visitor visit) {
  const auto first = Hash(id, seed);
  const auto step = Mix(first) | 1U;
  for (std::uint64_t number = 0; number < kHashes; ++number) {
    const auto bit = (first + number * step) % (bytes * kBitsPerByte);
    if (!visit(bit / kBitsPerByte, static_cast<unsigned char>(1U << (bit % kBitsPerByte)))) {
      return false;
    }
  }
  return true;
}

}  // namespace

id_filter::id_filter(std::size_t expected_ids, std::uint64_t seed)
    : bytes_(std::max(kMinBytes, expected_ids * kBitsPerId / kBitsPerByte + 1), '\0'),
      seed_{seed} {}

id_filter::id_filter(std::string bytes, std::uint64_t seed)
    : bytes_{std::move(bytes)}, seed_{seed} {}

void id_filter::Add(std::string_view id) {
  if (bytes_.empty()) {
    return;  // contains every id
  }
  VisitBits(id, seed_, bytes_.size(), [this](std::size_t at, unsigned char mask) {
    bytes_[at] = static_cast<char>(static_cast<unsigned char>(bytes_[at]) | mask);
    return true;
  });
}

bool id_filter::MayContain(std::string_view id) const {
  return bytes_.empty() ||
         VisitBits(id, seed_, bytes_.size(), [this](std::size_t at, unsigned char mask) {
           return (static_cast<unsigned char>(bytes_[at]) & mask) != 0;
         });
}

}  // namespace rosearch::admission
