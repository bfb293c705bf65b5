#ifndef ROSEARCH_CELL_CELL_SETTINGS_H_
#define ROSEARCH_CELL_CELL_SETTINGS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "rosearch/cell/election.h"
#include "rosearch/cell/leader.h"
#include "rosearch/core/result.h"
#include "rosearch/core/time.h"

namespace rosearch::cell {

/// Settings of one process of a cell.
struct cell_settings {
  std::string name;                     ///< name of the VM, for operators and logs
  std::string callers_address;          ///< host:port that listens for callers
  std::string ready_address;            ///< host:port of the load balancer's readiness check
  std::string metrics_address;          ///< host:port of metrics and dump; empty: none
  std::string peer_address;             ///< host:port for messages between processes of the cell
  std::vector<std::string> seeds;       ///< peer addresses of possible processes of the cell
  std::string store_address;            ///< host:port of the platform's store
  std::string advice_address;           ///< host:port of the advice service; empty: none
  std::uint32_t processor_milli{1000};  ///< processor limit in thousandths of a processor
  std::uint32_t link_mbps{0};           ///< rate of the network link in Mbit/s; 0: not known
  std::uint32_t file_descriptors{1024};
  std::uint32_t memory_mb{0};               ///< memory that the process may use
  std::uint32_t client_memory_mb{0};        ///< of it, what clients may make the process hold
  duration grace{std::chrono::seconds{6}};  ///< time from a stop order until the process is killed
  leader_settings leading{};
  election_settings electing{};

  friend bool operator==(const cell_settings&, const cell_settings&) = default;
};

/// Reads a settings file.
/// @param text  JSON as docs/SETTINGS.md describes it.
/// @return the settings, or the first error found.
[[nodiscard]] result<cell_settings> ParseCellSettings(const std::string& text);

}  // namespace rosearch::cell

#endif  // ROSEARCH_CELL_CELL_SETTINGS_H_
