#ifndef ROSEARCH_NODE_NODE_SETTINGS_H_
#define ROSEARCH_NODE_NODE_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "rosearch/core/id.h"
#include "rosearch/core/time.h"
#include "rosearch/journal/appender.h"
#include "rosearch/ownership/party.h"
#include "rosearch/shard/shard_settings.h"

namespace rosearch {

/// Everything that a node is told at its start.
struct node_settings {
  party self;
  region_id region;
  failure_domain_id failure_domain;
  std::string peer_address;
  std::string http_address;
  std::vector<region_id> region_of_shard;  ///< one for each shard, in order
  shard_settings shard;
  journal::appender_options journal;
  duration heartbeat{std::chrono::seconds{1}};
  duration silent_after{std::chrono::milliseconds{3500}};
  /// Shards are claimed and moved no more often than this, so that a cell that starts has seen all
  /// of its members first.
  duration balance{std::chrono::seconds{1}};
  /// A move gives up waiting for requests in flight after this.
  duration move_limit{std::chrono::seconds{10}};
  duration log_wait{std::chrono::milliseconds{500}};  ///< of one read of the control stream
  duration log_retry{std::chrono::milliseconds{500}};
  duration list_interval{std::chrono::seconds{1}};
  /// An entry cut off from the log waits this long for peers to tell the configuration in force.
  duration peer_config_wait{std::chrono::seconds{3}};
  /// The control stream's state is written again this often, long before it is forgotten.
  duration snapshot_interval{std::chrono::minutes{10}};
  std::uint64_t seed{1};
};

}  // namespace rosearch

#endif  // ROSEARCH_NODE_NODE_SETTINGS_H_
