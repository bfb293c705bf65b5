#include "rosearch/journal/record_id.h"

#include <charconv>
#include <utility>

namespace rosearch::journal {
namespace {

constexpr char kSeparator = '/';

std::optional<std::uint64_t> ParseNumber(std::string_view text) {
  std::uint64_t value = 0;
  const auto* const end = text.data() + text.size();
  const auto [stop, failure] = std::from_chars(text.data(), end, value);
  const bool is_number = failure == std::errc{} && stop == end;
  return is_number ? std::optional{value} : std::nullopt;
}

/// @return what comes before the last separator and what comes after it.
std::pair<std::string_view, std::string_view> SplitLast(std::string_view text) {
  const auto at = text.rfind(kSeparator);
  if (at == std::string_view::npos) {
    return {{}, text};
  }
  return {text.substr(0, at), text.substr(at + 1)};
}

}  // namespace

std::string record_id::ToString() const {
  return entry.value() + kSeparator + std::to_string(incarnation) + kSeparator +
         std::to_string(counter);
}

std::optional<record_id> ParseRecordId(std::string_view text) {
  const auto [front, last] = SplitLast(text);
  const auto [entry, middle] = SplitLast(front);
  const auto incarnation = ParseNumber(middle);
  const auto counter = ParseNumber(last);
  if (entry.empty() || !incarnation || !counter) {
    return std::nullopt;
  }
  return record_id{entry_id{std::string{entry}}, *incarnation, *counter};
}

}  // namespace rosearch::journal
