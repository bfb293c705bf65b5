#ifndef ROSEARCH_NODE_USAGE_DELTA_H_
#define ROSEARCH_NODE_USAGE_DELTA_H_

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "rosearch/core/id.h"
#include "rosearch/core/resources.h"
#include "rosearch/core/time.h"
#include "rosearch/ownership/party.h"
#include "rosearch/wire/peer.pb.h"

namespace rosearch {

/// Picks what a heartbeat says of the customers' use of the VMs: the rows that have changed since
/// the last one, and now and then all of them. All 21 customers in each heartbeat to each of 13
/// peers would take most of the bytes that a node may spend.
class usage_teller {
 public:
  /// A heartbeat may be lost; a row that it changed is told again no later than this.
  static constexpr duration kWholeEvery = std::chrono::seconds{5};

  /// The next heartbeat tells everything: somebody has come who knows nothing yet.
  void TellAll() noexcept { whole_at_ = time_point{}; }

  /// @param used  what each customer uses at this entry; who isn't named uses nothing.
  /// @return the rows to send; a customer that uses nothing any more has a row without amounts.
  [[nodiscard]] std::vector<wire::customer_usage> Next(const std::map<std::string, resources>& used,
                                                       time_point now);

 private:
  std::map<std::string, resources> told_;
  time_point whole_at_{};
};

/// Puts together what heartbeats of other entries have told of their customers.
class usage_memory {
 public:
  /// @param rows  of one heartbeat.
  /// @return everything that this run of the entry has told, without rows of no use.
  [[nodiscard]] std::vector<wire::customer_usage> Take(
      const party& from, const std::vector<wire::customer_usage>& rows);

 private:
  struct told_by {
    incarnation_number incarnation{0};
    std::map<std::string, wire::customer_usage> rows;
  };

  std::map<entry_id, told_by> entries_;
};

}  // namespace rosearch

#endif  // ROSEARCH_NODE_USAGE_DELTA_H_
