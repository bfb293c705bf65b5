#include "rosearch/shard/task_key.h"

#include <boost/crc.hpp>
#include <charconv>

namespace rosearch {

std::string ToText(const task_key& key) {
  return key.job.customer + '/' + key.job.job + '#' + std::to_string(key.index);
}

wire::task_ref RefOf(const task_key& key, std::uint32_t attempt) {
  wire::task_ref ref;
  ref.set_task(ToText(key));
  ref.set_attempt(attempt);
  return ref;
}

std::optional<task_key> ParseTaskKey(std::string_view text) {
  const auto slash = text.find('/');
  const auto hash = text.rfind('#');
  if (slash == std::string_view::npos || hash == std::string_view::npos || hash < slash) {
    return std::nullopt;
  }
  task_key key;
  key.job.customer = text.substr(0, slash);
  key.job.job = text.substr(slash + 1, hash - slash - 1);
  const char* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data() + hash + 1, end, key.index);
  if (parsed.ec != std::errc{} || parsed.ptr != end) {
    return std::nullopt;
  }
  return key;
}

shard_number HomeShard(std::string_view customer, std::string_view name,
                       shard_number shards) noexcept {
  boost::crc_32_type crc;
  crc.process_bytes(customer.data(), customer.size());
  crc.process_byte('/');
  crc.process_bytes(name.data(), name.size());
  return crc.checksum() % shards;
}

}  // namespace rosearch
