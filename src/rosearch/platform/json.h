#ifndef ROSEARCH_PLATFORM_JSON_H_
#define ROSEARCH_PLATFORM_JSON_H_

#include <string>
#include <utility>

#include "rosearch/core/result.h"

namespace google::protobuf {
class Message;
}  // namespace google::protobuf

namespace rosearch {

/// @param message  any wire message.
/// @return the message as JSON with the field names of the .proto file; fields at their default are
///         left out.
[[nodiscard]] std::string ToJson(const google::protobuf::Message& message);

namespace internal {

/// @return whether `text` was JSON of that message; `message` is undefined where it was not.
[[nodiscard]] bool ParseJson(const std::string& text, google::protobuf::Message& message);

}  // namespace internal

/// @param text  JSON; fields that this version does not know are ignored.
/// @return the message, or `kInvalidRequest` where the text is not JSON of that message.
template <typename Message>
[[nodiscard]] result<Message> FromJson(const std::string& text) {
  Message message;
  if (!internal::ParseJson(text, message)) {
    return error{error_kind::kInvalidRequest,
                 "not JSON of " + std::string{Message::descriptor()->name()}};
  }
  return message;
}

}  // namespace rosearch

#endif  // ROSEARCH_PLATFORM_JSON_H_
