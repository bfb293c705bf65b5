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
  std::string name;                ///< of the VM, for people and logs
  std::string callers_address;     ///< host:port where callers' connections arrive
  std::string ready_address;       ///< host:port where the balancer asks whether to send callers
  std::string metrics_address;     ///< host:port of metrics and dump; empty: none
  std::string peer_address;        ///< host:port for messages between the cell's processes
  std::vector<std::string> seeds;  ///< peer addresses of processes that may be there
  std::string store_address;       ///< host:port of the platform's store
  std::string advice_address;      ///< host:port of the advice service; empty: none
  std::uint32_t processor_milli{1000};  ///< thousandths of a processor this process may use
  std::uint32_t file_descriptors{1024};
  duration grace{std::chrono::seconds{6}};  ///< after an order to stop the process is killed then
  leader_settings leading{};
  election_settings electing{};

  friend bool operator==(const cell_settings&, const cell_settings&) = default;
};

/// Reads a settings file.
/// @param text  JSON as docs/SETTINGS.md describes it.
/// @return the settings, or what is wrong with them.
[[nodiscard]] result<cell_settings> ParseCellSettings(const std::string& text);

}  // namespace rosearch::cell

#endif  // ROSEARCH_CELL_CELL_SETTINGS_H_
