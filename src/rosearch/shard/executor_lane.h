#ifndef ROSEARCH_SHARD_EXECUTOR_LANE_H_
#define ROSEARCH_SHARD_EXECUTOR_LANE_H_

#include <boost/json/value.hpp>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "rosearch/core/error.h"
#include "rosearch/core/id.h"
#include "rosearch/core/time.h"
#include "rosearch/dispatch/executor_pool.h"
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

/// One shard's executors: an `executor_pool` for each service, and the requests of services that
/// have no open executor here, which another shard is to run.
///
/// Slots that a former owner of the shard filled are not known. Nothing waits for them: an executor
/// that is full refuses, and is passed over while others have room.
class executor_lane {
 public:
  explicit executor_lane(dispatch_settings settings = {}) : settings_{settings} {}

  /// Takes in the executors as now listed. One that is missing gets nothing new; what it has is
  /// waited for.
  void SetExecutors(const std::vector<wire::vm_record>& executors, time_point now);
  void SetDrained(const vm_id& vm, bool leaving, time_point now);
  /// @param weights  each customer's share of the slots against others that wait; 1 without a row.
  void SetWeights(std::map<std::string, std::uint32_t> weights);

  void Submit(std::uint64_t ticket, const open_request& request, time_point now);
  /// @param http_status  of the answer; from 500 on it counts against the executor.
  /// @return whether it is the answer to hand on; false for an attempt that was given up.
  [[nodiscard]] bool OnAnswered(std::uint64_t ticket, std::uint32_t attempt,
                                std::uint32_t http_status, time_point now);
  void OnFailed(std::uint64_t ticket, std::uint32_t attempt, const error& why, time_point now);
  void Tick(time_point now);

  /// @return what follows from the calls since the last one.
  [[nodiscard]] lane_actions Take();

  /// Forgets every request; the executors stay.
  void Drop(time_point now);

  [[nodiscard]] std::uint32_t FreeSlots() const;

  /// @return the services that open executors run.
  [[nodiscard]] std::set<std::string> Services() const;
  [[nodiscard]] boost::json::value Dump() const;

 private:
  struct executor {
    wire::vm_record listed;
    bool present{true};  ///< in the newest list
  };
  struct item {
    std::string service;
    bool delegated{false};  ///< by another shard: not to be sent on once more
  };

  [[nodiscard]] executor_pool& PoolOf(const std::string& service);
  [[nodiscard]] bool IsOpen(const vm_id& vm, const executor& each) const;
  /// Makes a pool open or close an executor by all that is known of it.
  void UpdateOpen(const vm_id& vm, const executor& each, time_point now);
  void RemoveUnlisted(time_point now);
  /// Sends on what waits for a service whose last open executor has closed.
  void SendOnUnserved();
  void SendOn(std::uint64_t ticket, bool delegated);
  void Absorb(dispatch_output& out);

  dispatch_settings settings_;
  std::map<std::string, executor_pool> pools_;
  std::map<vm_id, executor> executors_;
  std::set<vm_id> drained_;
  std::map<std::string, std::uint32_t> weights_;
  std::map<std::uint64_t, item> items_;
  lane_actions actions_;
};

}  // namespace rosearch

#endif  // ROSEARCH_SHARD_EXECUTOR_LANE_H_
