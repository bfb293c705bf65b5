#ifndef ROSEARCH_PLATFORM_ANSWER_H_
#define ROSEARCH_PLATFORM_ANSWER_H_

#include <string>
#include <string_view>
#include <utility>

#include "rosearch/platform/http_client.h"
#include "rosearch/platform/json.h"

namespace rosearch {

/// With the value 1 in an answer: the target's own word that it did not run the request.
inline constexpr std::string_view kNotRunHeader = "rosearch-not-run";

/// Names the request to an executor.
inline constexpr std::string_view kRequestIdHeader = "rosearch-request";

inline constexpr std::string_view kJsonType = "application/json";

namespace internal {

inline constexpr unsigned kStatusOk = 200;
inline constexpr unsigned kStatusTooManyRequests = 429;
inline constexpr unsigned kStatusUnavailable = 503;

/// @return whether the target says itself that it did not run the request.
[[nodiscard]] inline bool SaysNotRun(const http_reply& reply) noexcept {
  const bool refusing =
      reply.status == kStatusTooManyRequests || reply.status == kStatusUnavailable;
  return refusing && FindHeader(reply.headers, kNotRunHeader) == "1";
}

/// @return the answer's message; `kTargetRefused` on the target's word that nothing ran, and
///         `kTargetLost` for any other answer that is not the message: what it did is unknown.
template <typename Message>
[[nodiscard]] result<Message> ReadAnswer(const result<http_reply>& answer) {
  if (answer.has_error()) {
    return answer.error();
  }
  const auto& reply = answer.value();
  if (SaysNotRun(reply)) {
    return error{error_kind::kTargetRefused, reply.body};
  }
  if (reply.status != kStatusOk) {
    return error{error_kind::kTargetLost, "status " + std::to_string(reply.status)};
  }
  auto message = FromJson<Message>(reply.body);
  if (message.has_error()) {
    return error{error_kind::kTargetLost, message.error().detail};
  }
  return message;
}

}  // namespace internal
}  // namespace rosearch

#endif  // ROSEARCH_PLATFORM_ANSWER_H_
