#include "rosearch/config/schema.h"

namespace rosearch::config {
namespace {

std::string Values(const field& key) {
  switch (key.type) {
    case field_type::kText:
      return "text";
    case field_type::kNumber:
      return std::to_string(key.least) + " to " + std::to_string(key.most);
    case field_type::kFlag:
      return "true, false";
    case field_type::kObject:
      return "object";
    case field_type::kList:
      return "list of objects";
    case field_type::kTextList:
      return "list of texts";
    case field_type::kWord:
      break;
  }
  std::string all;
  for (const auto word : key.words) {
    all.append(all.empty() ? "" : ", ").append(word);
  }
  return all;
}

std::string Default(const field& key) {
  if (key.fallback == kRequired) {
    return "required";
  }
  return key.fallback == kOptional ? "none" : "`" + std::string{key.fallback} + "`";
}

void AppendRows(const schema& keys, const std::string& prefix, std::string& out) {
  for (const auto& key : keys.fields()) {
    const std::string name = prefix + std::string{key.key};
    const bool is_list = key.type == field_type::kList;
    // An object whose keys all have defaults needs no row of its own.
    if (key.type != field_type::kObject) {
      out.append("| `").append(name).append("` | ").append(Values(key)).append(" | ");
      out.append(key.unit).append(" | ").append(Default(key)).append(" | ");
      out.append(key.about).append(" |\n");
    }
    if (key.members != nullptr) {
      AppendRows(*key.members, name + (is_list ? "[]." : "."), out);
    }
  }
}

}  // namespace

std::string MarkdownTable(const schema& keys) {
  std::string out = "| Key | Values | Unit | Default | Meaning |\n|---|---|---|---|---|\n";
  AppendRows(keys, "", out);
  return out;
}

}  // namespace rosearch::config
