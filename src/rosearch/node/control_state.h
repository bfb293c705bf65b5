#ifndef ROSEARCH_NODE_CONTROL_STATE_H_
#define ROSEARCH_NODE_CONTROL_STATE_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "rosearch/config/config_chain.h"
#include "rosearch/core/id.h"
#include "rosearch/ownership/assignment.h"
#include "rosearch/ownership/assignment_chain.h"
#include "rosearch/wire/record.pb.h"

namespace rosearch {

/// What one record of the control stream changed.
struct control_change {
  std::vector<assignment> assignments;  ///< valid ones, in order
  std::optional<wire::entry_announcement> announcement;
  std::optional<config::change_verdict> configuration;
  std::vector<wire::drain_order> drains;
};

/// What the control stream has agreed on: the same for every reader of the same records.
class control_state {
 public:
  /// @param shards  the number of shards of the cell.
  explicit control_state(shard_number shards);

  /// Takes the next record of the stream in.
  /// @return what it changed; nothing where it is void.
  control_change Apply(const wire::control_record& record);

  /// Takes a configuration that a peer says is in force.
  /// @return whether it is newer.
  bool AdoptConfiguration(const wire::configuration_record& record);

  /// Takes a drain order that a peer knows of.
  /// @return whether it changes anything.
  bool AdoptDrain(const wire::drain_order& order);

  /// @return everything that live readers must not lose when old records are forgotten.
  [[nodiscard]] wire::control_snapshot Snapshot(std::uint64_t upto_offset) const;

  [[nodiscard]] const config::config_chain& configuration() const noexcept { return config_; }
  [[nodiscard]] std::optional<assignment> Newest(shard_number shard) const;
  [[nodiscard]] const std::map<std::string, wire::drain_order>& drains() const noexcept {
    return drains_;
  }

  /// Forgets assignments below an epoch that certainly was in use.
  void Settle(shard_number shard, epoch_number epoch);

 private:
  void ApplySnapshot(const wire::control_snapshot& snapshot, control_change& change);

  std::vector<assignment_chain> chains_;
  config::config_chain config_;
  std::map<std::string, wire::entry_announcement> entries_;
  std::map<std::string, wire::drain_order> drains_;
};

}  // namespace rosearch

#endif  // ROSEARCH_NODE_CONTROL_STATE_H_
