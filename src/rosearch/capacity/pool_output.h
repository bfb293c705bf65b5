#ifndef ROSEARCH_CAPACITY_POOL_OUTPUT_H_
#define ROSEARCH_CAPACITY_POOL_OUTPUT_H_

#include <string>
#include <vector>

#include "rosearch/core/id.h"
#include "rosearch/wire/peer.pb.h"
#include "rosearch/wire/platform.pb.h"
#include "rosearch/wire/record.pb.h"

namespace rosearch {

/// One command for one worker. The caller answers each with exactly one `OnReport` or
/// `OnExchangeFailed`; where it lost the right to act before it wrote the command, it writes
/// nothing and reports `kTargetUnreachable`.
struct worker_exchange {
  vm_id vm;
  std::string address;  ///< host:port
  wire::worker_command command;
  bool carries_starts{};
};

/// What a `vm_pool` wants done, appended to by each of its calls.
struct pool_output {
  std::vector<wire::shard_record> records;       ///< to be made durable, in order
  std::vector<wire::capacity_message> messages;  ///< to home shards
  std::vector<worker_exchange> exchanges;        ///< to workers
};

}  // namespace rosearch

#endif  // ROSEARCH_CAPACITY_POOL_OUTPUT_H_
