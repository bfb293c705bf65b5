#ifndef ROSEARCH_CAPACITY_ATTEMPT_KEY_H_
#define ROSEARCH_CAPACITY_ATTEMPT_KEY_H_

#include <compare>
#include <cstdint>
#include <ostream>
#include <string>

#include "rosearch/wire/common.pb.h"

namespace rosearch {

/// One attempt to run one task, as a key of sorted maps.
struct attempt_key {
  std::string task;
  std::uint32_t attempt{};

  friend auto operator<=>(const attempt_key&, const attempt_key&) = default;
  friend std::ostream& operator<<(std::ostream& out, const attempt_key& key) {
    return out << key.task << '#' << key.attempt;
  }
};

/// @return the key of an attempt named in a message.
[[nodiscard]] inline attempt_key KeyOf(const wire::task_ref& ref) {
  return {ref.task(), ref.attempt()};
}

/// @return the attempt as messages name it.
[[nodiscard]] inline wire::task_ref RefOf(const attempt_key& key) {
  wire::task_ref ref;
  ref.set_task(key.task);
  ref.set_attempt(key.attempt);
  return ref;
}

}  // namespace rosearch

#endif  // ROSEARCH_CAPACITY_ATTEMPT_KEY_H_
