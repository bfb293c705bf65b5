#ifndef ROSEARCH_SHARD_JOB_SETTINGS_H_
#define ROSEARCH_SHARD_JOB_SETTINGS_H_

#include <chrono>
#include <cstddef>

#include "rosearch/core/time.h"

namespace rosearch {

/// How a shard drives its jobs.
struct job_settings {
  duration ask_again{std::chrono::seconds{1}};          ///< until a capacity shard has answered
  duration retry_room{std::chrono::milliseconds{200}};  ///< until room is looked for again
  duration retry_failed{std::chrono::seconds{1}};       ///< until a failed task is tried again
  duration hold{std::chrono::seconds{5}};               ///< a gang's holds lapse after this
  duration avoid{std::chrono::seconds{2}};              ///< a shard that refused a gang
  duration keep_ended{std::chrono::minutes{30}};        ///< an ended job can be asked for so long
  std::size_t steps_per_tick{400};                      ///< tasks looked at in one tick
};

}  // namespace rosearch

#endif  // ROSEARCH_SHARD_JOB_SETTINGS_H_
