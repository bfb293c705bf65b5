#ifndef ROSEARCH_CONFIG_JSON_VALUES_H_
#define ROSEARCH_CONFIG_JSON_VALUES_H_

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "rosearch/core/time.h"

/// Reads members of a document that `document_reader` has completed: every key is there with its
/// type and within its range, so none of these can fail.
namespace rosearch::config::internal {

[[nodiscard]] inline std::int64_t Number(const boost::json::object& from, std::string_view key) {
  return from.at(key).as_int64();
}

[[nodiscard]] inline std::uint32_t Count(const boost::json::object& from, std::string_view key) {
  return static_cast<std::uint32_t>(Number(from, key));
}

[[nodiscard]] inline std::string Text(const boost::json::object& from, std::string_view key) {
  return std::string{std::string_view{from.at(key).as_string()}};
}

[[nodiscard]] inline std::optional<bool> OptionalFlag(const boost::json::object& from,
                                                      std::string_view key) {
  const auto* const value = from.if_contains(key);
  return value == nullptr ? std::nullopt : std::optional{value->as_bool()};
}

/// @param key  of a number of milliseconds.
[[nodiscard]] inline duration Span(const boost::json::object& from, std::string_view key) {
  return std::chrono::milliseconds{Number(from, key)};
}

[[nodiscard]] inline const boost::json::object& Object(const boost::json::object& from,
                                                       std::string_view key) {
  return from.at(key).as_object();
}

}  // namespace rosearch::config::internal

#endif  // ROSEARCH_CONFIG_JSON_VALUES_H_
