#include "rosearch/cell/store_types.h"

namespace rosearch::cell {

std::optional<sched::stored_record> SplitKeyed(const std::string& bytes) {
  if (bytes.empty()) {
    return std::nullopt;
  }
  const auto length = static_cast<unsigned char>(bytes[0]);
  if (bytes.size() < 1U + length) {
    return std::nullopt;
  }
  return sched::stored_record{bytes.substr(1, length), bytes.substr(1U + length)};
}

std::string JoinKeyed(const sched::stored_record& record) {
  std::string bytes;
  bytes.reserve(1 + record.key.size() + record.value.size());
  bytes.push_back(static_cast<char>(static_cast<unsigned char>(record.key.size())));
  return bytes.append(record.key).append(record.value);
}

}  // namespace rosearch::cell
