#ifndef ROSEARCH_DISPATCH_DISPATCH_OUTPUT_H_
#define ROSEARCH_DISPATCH_DISPATCH_OUTPUT_H_

#include <cstdint>
#include <vector>

#include "rosearch/core/error.h"
#include "rosearch/core/id.h"
#include "rosearch/core/time.h"

namespace rosearch {

/// One attempt to be written to an executor.
struct dispatch_send {
  std::uint64_t ticket{};
  vm_id vm;
  std::uint32_t attempt{};  ///< from 1
  /// Not to be written later than this: the sender may have been paused in between.
  time_point valid_until;

  friend bool operator==(const dispatch_send&, const dispatch_send&) = default;
};

/// The final answer to a request that won't be tried again.
struct dispatch_failure {
  std::uint64_t ticket{};
  error why;

  friend bool operator==(const dispatch_failure&, const dispatch_failure&) = default;
};

/// What a call decided, in the order to be carried out.
struct dispatch_output {
  std::vector<dispatch_send> sends;
  std::vector<dispatch_failure> failures;

  friend bool operator==(const dispatch_output&, const dispatch_output&) = default;
};

}  // namespace rosearch

#endif  // ROSEARCH_DISPATCH_DISPATCH_OUTPUT_H_
