#ifndef ROSEARCH_PLATFORM_PORTS_H_
#define ROSEARCH_PLATFORM_PORTS_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "rosearch/core/result.h"
#include "rosearch/core/time.h"
#include "rosearch/platform/http_client.h"
#include "rosearch/wire/platform.pb.h"

namespace rosearch {

/// Receives the offset of the first record appended.
using append_callback = std::function<void(result<std::uint64_t>)>;
using log_read_callback = std::function<void(result<wire::log_read_answer>)>;
using vm_list_callback = std::function<void(result<wire::vm_list_answer>)>;
using worker_callback = std::function<void(result<wire::worker_report>)>;
using executor_callback = std::function<void(result<http_reply>)>;

/// One request to an executor.
struct executor_call {
  std::string address;  ///< host:port
  std::string path{"/"};
  std::string request_id{};
  std::vector<http_header> headers{};
  std::string body{};
  std::string content_type{"application/json"};
  time_point valid_until{kNever};  ///< past this moment not one byte may be written
  time_point answer_by{kNever};    ///< the whole answer must be here by then
  std::size_t max_answer_bytes{std::size_t{16} << 20};
  bool idempotent{false};

  friend bool operator==(const executor_call&, const executor_call&) = default;
};

/// The platform's log: appends records all at once or not at all, and reads them by offset.
template <typename Port>
concept log_port = requires(Port port, const std::string& stream,
                            const std::vector<std::string>& records, time_point deadline,
                            std::uint64_t from, std::uint32_t max, duration wait) {
  port.Append(stream, records, deadline, append_callback{});
  port.Read(stream, from, max, wait, log_read_callback{});
};

/// The platform's lagging list of VMs.
template <typename Port>
concept vm_list_port = requires(Port port) {
  port.Get(vm_list_callback{});
};

/// A worker: takes commands and reports its tasks.
template <typename Port>
concept worker_port = requires(Port port, const std::string& address,
                               const wire::worker_command& command, time_point moment) {
  port.Exchange(address, command, moment, moment, worker_callback{});
};

/// An executor: runs one request at once.
template <typename Port>
concept executor_port = requires(Port port, executor_call call) {
  port.Run(call, executor_callback{});
};

}  // namespace rosearch

#endif  // ROSEARCH_PLATFORM_PORTS_H_
