#ifndef ROSEARCH_SERVE_ENTRY_PORTS_H_
#define ROSEARCH_SERVE_ENTRY_PORTS_H_

#include <atomic>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>

#include "rosearch/config/settings.h"
#include "rosearch/metrics/metric_set.h"
#include "rosearch/net/peer_transport.h"
#include "rosearch/node/node.h"
#include "rosearch/node/node_ports.h"
#include "rosearch/platform/executor_client.h"
#include "rosearch/platform/http_client.h"
#include "rosearch/platform/log_client.h"
#include "rosearch/platform/vm_list_client.h"
#include "rosearch/platform/worker_client.h"

namespace rosearch {

/// Bytes and answers of one entry's own traffic with targets and the platform.
struct port_counters {
  std::atomic<std::uint64_t> exchanges{0};
  std::atomic<std::uint64_t> exchange_bytes{0};
  std::atomic<std::uint64_t> appends{0};
  std::atomic<std::uint64_t> append_bytes{0};
  std::atomic<std::uint64_t> reads{0};
  std::atomic<std::uint64_t> read_records{0};
};

class entry_node;

/// Ties a node to the real world: HTTP towards platform and targets, ZeroMQ towards peers.
class entry_ports {
 public:
  /// @param http, transport  outlive the ports.
  entry_ports(const config::settings& settings, http_client& http);

  /// Must be called before anything else.
  void Connect(entry_node& target, peer_transport& transport) noexcept;

  void SendPeer(const std::string& address, const wire::peer_message& message);
  void Append(const journal::append_request& request);
  void Read(const log_question& question, const journal::read_request& request, duration wait);
  void GetVmList();
  void Exchange(shard_number shard, const worker_send& send);
  void Run(shard_number shard, const executor_send& send);

  [[nodiscard]] const port_counters& counters() const noexcept { return counters_; }
  /// Sets the totals of bytes and messages by whom they were exchanged with.
  void WriteTraffic(metric_set& metrics) const;

 private:
  [[nodiscard]] log_client& Log() noexcept { return logs_[log_at_ % logs_.size()]; }
  void OnLogError(const error& why) noexcept;

  const config::settings& settings_;
  std::deque<log_client> logs_;
  std::atomic<std::size_t> log_at_{0};
  vm_list_client vm_list_;
  worker_client workers_;
  executor_client executors_;
  entry_node* node_{nullptr};
  peer_transport* transport_{nullptr};
  port_counters counters_;
};

/// @return the counters by name of their metric.
[[nodiscard]] std::map<std::string, double> GaugesOf(const port_counters& counters);

/// The node of a real entry.
class entry_node : public basic_node<entry_ports> {
 public:
  using basic_node::basic_node;
};

/// @return the present moment by both clocks.
[[nodiscard]] step_time StepNow();

}  // namespace rosearch

#endif  // ROSEARCH_SERVE_ENTRY_PORTS_H_
