#ifndef ROSEARCH_SHARD_EXECUTOR_LANE_H_
#define ROSEARCH_SHARD_EXECUTOR_LANE_H_

#include <boost/json/value.hpp>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "rosearch/core/error.h"
#include "rosearch/core/id.h"
#include "rosearch/core/time.h"
#include "rosearch/shard/request_table.h"
#include "rosearch/wire/platform.pb.h"

namespace rosearch {

/// What a lane wants done.
struct lane_actions {
  struct send {
    std::uint64_t ticket{0};
    std::uint32_t attempt{0};
    vm_id vm;
    std::string address;
    time_point valid_until;
  };
  struct delegation {
    std::uint64_t ticket{0};
    std::uint32_t attempt{0};
  };
  struct failure {
    std::uint64_t ticket{0};
    error why;
  };

  std::vector<send> sends;
  std::vector<delegation> delegations;
  std::vector<failure> failures;
};

/// Sends one shard's requests to its executors, never more at once than an executor has slots.
class executor_lane {
 public:
  void SetExecutors(const std::vector<wire::vm_record>& executors, time_point now);
  void SetDrained(const vm_id& vm, bool leaving);

  void Submit(std::uint64_t ticket, const open_request& request, time_point now);
  void OnAnswered(std::uint64_t ticket, std::uint32_t attempt, time_point now);
  void OnFailed(std::uint64_t ticket, std::uint32_t attempt, const error& why, time_point now);
  void Tick(time_point now);

  /// @return what follows from the calls since the last one.
  [[nodiscard]] lane_actions Take(time_point now);

  /// Forgets every request; the executors stay.
  void Drop();

  [[nodiscard]] std::uint32_t FreeSlots() const;

  /// @return the services that open executors run.
  [[nodiscard]] std::set<std::string> Services() const;
  [[nodiscard]] boost::json::value Dump() const;

 private:
  struct executor {
    std::string address;
    std::string service;
    std::uint32_t slots{0};
    std::uint32_t busy{0};
    bool leaving{false};
    std::uint64_t instance{0};
  };
  struct item {
    std::string service;
    bool idempotent{false};
    bool delegated{false};
    std::uint32_t retries_left{0};
    std::uint32_t attempt{0};
    time_point deadline;
    vm_id at;  ///< empty while it waits
    std::set<vm_id> tried;
  };

  [[nodiscard]] bool Open(const vm_id& vm, const executor& each) const;
  [[nodiscard]] std::map<vm_id, executor>::iterator Choose(const item& request);
  [[nodiscard]] bool ServedHere(const std::string& service) const;
  void Free(item& request);

  std::map<vm_id, executor> executors_;
  std::set<vm_id> drained_;
  std::map<std::uint64_t, item> items_;
  std::deque<std::uint64_t> queue_;
  lane_actions actions_;
};

}  // namespace rosearch

#endif  // ROSEARCH_SHARD_EXECUTOR_LANE_H_
