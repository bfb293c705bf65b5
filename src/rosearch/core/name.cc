#include "rosearch/core/name.h"

#include <algorithm>
#include <cstddef>

namespace rosearch {
namespace {

constexpr std::size_t kMaxNameLength = 128;

constexpr bool IsNameCharacter(char c) noexcept {
  return (c >= 'A' && c <= 'Z') || (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '.' ||
         c == '_' || c == ':' || c == '-';
}

}  // namespace

bool IsValidName(std::string_view name) noexcept {
  return !name.empty() && name.size() <= kMaxNameLength &&
         std::ranges::all_of(name, IsNameCharacter);
}

}  // namespace rosearch
