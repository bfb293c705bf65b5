#ifndef ROSEARCH_ADMISSION_SHED_WINDOW_H_
#define ROSEARCH_ADMISSION_SHED_WINDOW_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "rosearch/core/time.h"

namespace rosearch::admission {

/// Validity of a shed window, counted from when the entry sent the ping whose reply carried it.
inline constexpr duration kWindowValidity = std::chrono::milliseconds{300};

/// A queue as an entry has to know it to decide whether a call is for a closed queue.
struct shed_queue {
  std::string host;         ///< in lower case, without a port
  std::string path_prefix;  ///< the longest match wins
  duration retry_after{};   ///< zero: the queue accepts jobs
  bool requires_key{false};

  friend bool operator==(const shed_queue&, const shed_queue&) = default;
};

/// The queues that accept no new jobs, as the leader of an epoch tells the entries.
struct shed_window {
  std::uint64_t epoch{0};
  std::uint64_t version{0};  ///< 0: no queue is closed
  std::vector<shed_queue> queues{};

  friend bool operator==(const shed_window&, const shed_window&) = default;
};

}  // namespace rosearch::admission

#endif  // ROSEARCH_ADMISSION_SHED_WINDOW_H_
