#ifndef ROSEARCH_API_REQUEST_HEADERS_H_
#define ROSEARCH_API_REQUEST_HEADERS_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "rosearch/core/result.h"
#include "rosearch/net/http_server.h"

namespace rosearch {

/// The longest that a caller may let something wait, in milliseconds.
inline constexpr std::uint64_t kLongestDeadlineMs = 3'600'000;

/// What the headers of a request say.
struct request_headers {
  std::string customer;
  std::string request;
  std::string label;
  bool idempotent{false};
  bool urgent{false};
  std::optional<std::uint64_t> issued_ms;
  std::optional<std::chrono::milliseconds> deadline;
};

/// @return what the headers of a request say, or `kInvalidRequest` naming the first that is wrong.
[[nodiscard]] result<request_headers> ReadHeaders(const http_call& call);

/// @param name  in lower case.
/// @return the header's value, or an empty text.
[[nodiscard]] std::string HeaderOf(const http_call& call, const std::string& name);

/// @return the number, or none where the text is absent or no number.
[[nodiscard]] std::optional<std::uint64_t> NumberOf(const std::string& text);

}  // namespace rosearch

#endif  // ROSEARCH_API_REQUEST_HEADERS_H_
