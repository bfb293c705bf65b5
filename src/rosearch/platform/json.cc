#include "rosearch/platform/json.h"

#include <glog/logging.h>
#include <google/protobuf/message.h>
#include <google/protobuf/util/json_util.h>

namespace rosearch {

std::string ToJson(const google::protobuf::Message& message) {
  google::protobuf::util::JsonPrintOptions options;
  options.preserve_proto_field_names = true;
  std::string text;
  const auto status = google::protobuf::util::MessageToJsonString(message, &text, options);
  CHECK(status.ok()) << "type=" << message.GetTypeName() << " status=" << status.ToString();
  return text;
}

bool internal::ParseJson(const std::string& text, google::protobuf::Message& message) {
  google::protobuf::util::JsonParseOptions options;
  options.ignore_unknown_fields = true;
  return google::protobuf::util::JsonStringToMessage(text, &message, options).ok();
}

}  // namespace rosearch
