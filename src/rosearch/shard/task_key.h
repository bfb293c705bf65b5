#ifndef ROSEARCH_SHARD_TASK_KEY_H_
#define ROSEARCH_SHARD_TASK_KEY_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "rosearch/core/id.h"
#include "rosearch/core/name.h"
#include "rosearch/wire/common.pb.h"

namespace rosearch {

/// One job of one customer.
struct job_key {
  std::string customer;
  std::string job;

  friend auto operator<=>(const job_key&, const job_key&) = default;
};

/// One task of a job. As text it is `customer/job#index`; names hold neither of the two separators.
struct task_key {
  job_key job;
  std::uint32_t index{0};

  friend auto operator<=>(const task_key&, const task_key&) = default;
};

/// @return the key as text, as it stands in messages, logs and on workers.
[[nodiscard]] std::string ToText(const task_key& key);

/// @return one attempt of the task, as messages and records name it.
[[nodiscard]] wire::task_ref RefOf(const task_key& key, std::uint32_t attempt);

/// @return the key, or none where the text is no task's name.
[[nodiscard]] std::optional<task_key> ParseTaskKey(std::string_view text);

/// Where a key's state is kept.
/// @param customer, name  the customer and its job or request.
/// @param shards          the number of shards of the cell, at least 1.
/// @return the same shard in every process and every release.
[[nodiscard]] shard_number HomeShard(std::string_view customer, std::string_view name,
                                     shard_number shards) noexcept;

}  // namespace rosearch

#endif  // ROSEARCH_SHARD_TASK_KEY_H_
