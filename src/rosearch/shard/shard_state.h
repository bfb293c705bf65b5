#ifndef ROSEARCH_SHARD_SHARD_STATE_H_
#define ROSEARCH_SHARD_SHARD_STATE_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "rosearch/capacity/attempt_key.h"
#include "rosearch/core/id.h"
#include "rosearch/shard/task_key.h"
#include "rosearch/wire/record.pb.h"

namespace rosearch {

/// One task of a job as the records tell it.
struct task_slot {
  wire::task_state state{wire::TASK_QUEUED};
  std::uint32_t attempt{0};  ///< 0: never asked for
  shard_number target{0};    ///< the capacity shard that was asked last
  bool held{false};          ///< a gang's hold, not yet a start
  std::uint32_t charged{0};  ///< attempts that count against the retries
  bool ran{false};           ///< an attempt that is over may have run
  wire::ending how;          ///< once ended
};

/// One accepted job.
struct job_entry {
  wire::job_accepted accepted;
  bool cancelled{false};
  std::vector<task_slot> tasks;

  /// @return whether every task has ended.
  [[nodiscard]] bool Ended() const;
};

/// One non-idempotent request that may have been sent.
struct request_entry {
  wire::request_admitted admitted;
  bool ended{false};
  wire::ending how;
};

using request_key = std::pair<std::string, std::string>;  ///< customer, request

/// All that a shard must not forget: a function of its records alone, so that the owner, its
/// witness and a reader of the log come to the same state.
class shard_state {
 public:
  /// Takes one record in. A record that doesn't fit the state (of a job that is unknown, say) has
  /// no effect, for every reader alike.
  void Apply(const wire::shard_record& record);

  /// @param snapshot  made by `Snapshot`; replaces the whole state.
  void Load(const wire::shard_snapshot& snapshot);

  /// @return the whole state; `shard`, `epoch` and `sequence` are left to the caller.
  [[nodiscard]] wire::shard_snapshot Snapshot() const;

  /// @return one job as callers see it, as a message.
  [[nodiscard]] static wire::job_snapshot Describe(const job_entry& entry);

  /// Forgets ended requests that were issued before a moment, in Unix milliseconds. Sound only
  /// where requests issued before it are refused without a look at this state.
  void ForgetRequestsBefore(std::uint64_t issued_ms);

  [[nodiscard]] const std::map<job_key, job_entry>& jobs() const noexcept { return jobs_; }
  [[nodiscard]] const std::map<attempt_key, wire::placement_made>& placements() const noexcept {
    return placements_;
  }
  [[nodiscard]] const std::map<request_key, request_entry>& requests() const noexcept {
    return requests_;
  }

  /// @return how complete the state is.
  [[nodiscard]] const wire::shard_recovery& recovery() const noexcept { return recovery_; }

  /// @return the job, or null.
  [[nodiscard]] const job_entry* FindJob(const job_key& key) const;

  /// @return the task's slot, or null.
  [[nodiscard]] const task_slot* FindTask(const task_key& key) const;

 private:
  [[nodiscard]] task_slot* Slot(const wire::task_ref& ref);
  void ApplyAccepted(const wire::job_accepted& record);
  void ApplyCancelled(const wire::job_cancelled& record);

  std::map<job_key, job_entry> jobs_;
  std::map<attempt_key, wire::placement_made> placements_;
  std::map<request_key, request_entry> requests_;
  wire::shard_recovery recovery_;
};

}  // namespace rosearch

#endif  // ROSEARCH_SHARD_SHARD_STATE_H_
