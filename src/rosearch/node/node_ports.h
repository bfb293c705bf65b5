#ifndef ROSEARCH_NODE_NODE_PORTS_H_
#define ROSEARCH_NODE_NODE_PORTS_H_

#include <cstdint>
#include <string>

#include "rosearch/core/id.h"
#include "rosearch/core/time.h"
#include "rosearch/journal/appender.h"
#include "rosearch/journal/stream_reader.h"
#include "rosearch/shard/shard_output.h"
#include "rosearch/wire/peer.pb.h"

namespace rosearch {

/// Which reader an answer of the log is for: the control stream, a shard's stream or a read-back.
struct log_question {
  enum class use { kControl, kShard, kReadBack };
  use what{use::kControl};
  std::uint64_t number{0};  ///< the shard, or the appender's question

  friend bool operator==(const log_question&, const log_question&) = default;
};

/// What a node needs of the world. None of these may block or call back into the node at once; each
/// question is answered exactly once by the matching input of the node.
template <typename Ports>
concept node_ports = requires(Ports ports, const std::string& address,
                              const wire::peer_message& message,
                              const journal::append_request& append, const log_question& question,
                              const journal::read_request& read, duration wait, shard_number shard,
                              const worker_send& worker, const executor_send& executor) {
  ports.SendPeer(address, message);  // no answer
  ports.Append(append);              // OnAppended or OnAppendFailed
  ports.Read(question, read, wait);  // OnLogRead or OnLogReadFailed
  ports.GetVmList();                 // OnVmList or OnVmListFailed
  ports.Exchange(shard, worker);     // OnWorkerReport or OnWorkerFailed
  ports.Run(shard, executor);        // OnExecutorAnswer
};

}  // namespace rosearch

#endif  // ROSEARCH_NODE_NODE_PORTS_H_
