#ifndef ROSEARCH_CONFIG_SETTINGS_H_
#define ROSEARCH_CONFIG_SETTINGS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "rosearch/config/fault.h"
#include "rosearch/config/schema.h"
#include "rosearch/core/id.h"
#include "rosearch/core/time.h"

namespace rosearch::config {

/// Who and where this entry is.
struct entry_settings {
  entry_id name;
  region_id region;
  failure_domain_id failure_domain;

  friend bool operator==(const entry_settings&, const entry_settings&) = default;
};

/// The port that callers and operators use.
struct http_settings {
  std::string host;
  std::uint16_t port{0};
  std::string advertised_host;  ///< told to others; `host` where the document gives none
  std::uint32_t threads{0};
  std::uint32_t max_connections{0};
  std::uint32_t memory_mb{0};         ///< that the process may use; 0: that of the machine
  std::uint32_t client_memory_mb{0};  ///< of it, what clients may make it hold; 0: a fifth
  std::uint32_t max_header_bytes{0};
  std::uint32_t max_body_bytes{0};
  duration idle{};            ///< a connection without a request is closed after this
  duration header_timeout{};  ///< from the first byte of a request to the end of its head
  duration body_timeout{};    ///< from the end of the head to the end of the body

  friend bool operator==(const http_settings&, const http_settings&) = default;
};

/// The port that other entries use.
struct peer_settings {
  std::string host;
  std::uint16_t port{0};
  std::string advertised_host;  ///< told to others; `host` where the document gives none
  std::uint32_t max_queued{0};  ///< messages that wait for one peer

  friend bool operator==(const peer_settings&, const peer_settings&) = default;
};

/// The platform's services.
struct platform_settings {
  std::vector<std::string> log;  ///< host:port, tried in order
  std::string vm_list;           ///< host:port
  duration connect_timeout{};
  duration answer_timeout{};
  duration log_poll{};      ///< how long one read of the log waits for a record
  duration vm_list_poll{};  ///< between two reads of the VM list
  duration vm_list_lag{};   ///< by how much the list may lag

  friend bool operator==(const platform_settings&, const platform_settings&) = default;
};

/// The shards of one region.
struct region_shards {
  region_id name;
  std::uint32_t shards{0};

  friend bool operator==(const region_shards&, const region_shards&) = default;
};

/// How the cell is cut into shards. Must be the same at every entry.
struct cell_settings {
  std::vector<region_shards> regions;  ///< shards are numbered through in this order

  /// @return the number of shards of all regions together.
  [[nodiscard]] std::uint32_t ShardCount() const noexcept;

  /// @return the region of a shard; empty where there is no such shard.
  [[nodiscard]] region_id RegionOf(shard_number shard) const;

  /// @return the shards of a region, ascending.
  [[nodiscard]] std::vector<shard_number> ShardsOf(const region_id& region) const;

  friend bool operator==(const cell_settings&, const cell_settings&) = default;
};

/// The right to act for a shard.
struct rights_settings {
  duration right{};            ///< how long a renewal holds
  duration renew{};            ///< between two renewals
  duration proof{};            ///< how long a proof of not being overtaken holds
  std::uint32_t drift_ppm{0};  ///< by how much two clocks may differ, in millionths

  friend bool operator==(const rights_settings&, const rights_settings&) = default;
};

/// Writing to and reading from the platform's log.
struct journal_settings {
  duration linger{};                   ///< how long a record waits for others to share its append
  std::uint32_t appends_per_s{0};      ///< of this entry, over all streams
  std::uint32_t burst{0};              ///< appends that may follow each other at once
  std::uint32_t max_append_bytes{0};   ///< of one append
  std::uint32_t max_waiting_bytes{0};  ///< of records that wait for the log
  duration retention{};                ///< after which the log forgets
  duration retry_least{};              ///< first wait after a failed append
  duration retry_most{};               ///< longest wait after failed appends

  friend bool operator==(const journal_settings&, const journal_settings&) = default;
};

/// Word between entries that they are there.
struct heartbeat_settings {
  duration interval{};
  std::uint32_t missed{0};  ///< silent intervals after which a peer is passed over

  friend bool operator==(const heartbeat_settings&, const heartbeat_settings&) = default;
};

/// Leases of tasks at their workers.
struct lease_settings {
  duration lease{};
  duration renew{};

  friend bool operator==(const lease_settings&, const lease_settings&) = default;
};

/// Bounds of this entry's memory.
struct limit_settings {
  std::uint32_t queued_per_customer{0};
  std::uint32_t open_calls{0};
  std::uint32_t known_requests{0};  ///< ids of non-idempotent requests kept for each shard
  duration request_memory{};        ///< how long such an id is kept

  friend bool operator==(const limit_settings&, const limit_settings&) = default;
};

/// The planned stop.
struct stop_settings {
  duration grace{};    ///< until the process exits whatever is left
  duration unready{};  ///< between "not ready" and the end of accepting, for the balancer

  friend bool operator==(const stop_settings&, const stop_settings&) = default;
};

/// Which log lines are kept and where.
struct log_settings {
  std::string level;  ///< info, warning or error
  std::string dir;    ///< empty: standard error

  friend bool operator==(const log_settings&, const log_settings&) = default;
};

/// Everything that `rosearch serve` reads at its start.
struct settings {
  entry_settings entry;
  http_settings http;
  peer_settings peer;
  platform_settings platform;
  cell_settings cell;
  rights_settings rights;
  journal_settings journal;
  heartbeat_settings heartbeat;
  lease_settings leases;
  limit_settings limits;
  stop_settings stop;
  log_settings log;

  friend bool operator==(const settings&, const settings&) = default;
};

/// @return the keys of a settings file.
[[nodiscard]] const schema& SettingsSchema() noexcept;

/// @param text  JSON.
/// @return the settings, and every fault of the text at once.
[[nodiscard]] checked<settings> ParseSettings(std::string_view text);

/// @return the page docs/SETTINGS.md.
[[nodiscard]] std::string SettingsMarkdown();

}  // namespace rosearch::config

#endif  // ROSEARCH_CONFIG_SETTINGS_H_
