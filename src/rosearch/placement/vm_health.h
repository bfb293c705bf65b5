#ifndef ROSEARCH_PLACEMENT_VM_HEALTH_H_
#define ROSEARCH_PLACEMENT_VM_HEALTH_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "rosearch/core/id.h"
#include "rosearch/core/time.h"

namespace rosearch {

/// What may be sent to a VM.
enum class vm_condition {
  kHealthy,  ///< any work
  kSuspect,  ///< no new work until its probe is due
  kProbing,  ///< one task at a time, until enough have succeeded
};

/// When a VM is suspected and how it is trusted again.
struct vm_health_settings {
  std::uint32_t window{20};          ///< the last results of a VM that count
  std::uint32_t least_failures{4};   ///< fewer than this suspects nobody
  std::uint32_t least_jobs{2};       ///< failures of fewer jobs than this suspect nobody
  std::uint32_t failed_percent{50};  ///< of the window
  std::uint32_t times_peers{3};      ///< the share of failures is at least so many times the peers'
  std::uint32_t job_vms{3};          ///< a job that failed on so many VMs and succeeded on none
  std::uint32_t probe_successes{3};  ///< successes in a row that end the probing
  std::uint32_t known_jobs{4096};    ///< jobs remembered, the oldest forgotten first
  duration probe_patience{std::chrono::seconds{60}};  ///< a probe that runs so long succeeded
  duration first_pause{std::chrono::seconds{30}};
  duration longest_pause{std::chrono::minutes{10}};

  friend bool operator==(const vm_health_settings&, const vm_health_settings&) = default;
};

/// Finds VMs that fail what they start. Such a VM is always free, so that it attracts work, and
/// customers see one task after the other fail. A job that fails on every VM is the job's own
/// fault: it condemns no VM.
class vm_health {
 public:
  explicit vm_health(vm_health_settings settings = {}) : settings_{settings} {}

  /// Counts a task that was sent to the VM.
  void OnStarted(const vm_id& vm, const std::string& job, time_point now);
  /// Counts a task that ended well, or with an error that is not the VM's.
  void OnSucceeded(const vm_id& vm, const std::string& job, time_point now);
  /// Counts a task that failed on the VM.
  void OnFailed(const vm_id& vm, const std::string& job, time_point now);
  /// Forgets a task that ended without a result, for example one that was cancelled.
  void OnAbandoned(const vm_id& vm, const std::string& job);
  /// Forgets a VM that was replaced.
  void Remove(const vm_id& vm);

  /// @return whether one more task may be sent to the VM at `now`.
  [[nodiscard]] bool MayTake(const vm_id& vm, time_point now) const;
  /// @return the condition as of `now`; a VM never heard of is healthy.
  [[nodiscard]] vm_condition ConditionOf(const vm_id& vm, time_point now) const;
  /// @return when the VM's probing begins; nothing where it is healthy.
  [[nodiscard]] std::optional<time_point> ProbeAt(const vm_id& vm) const;

  /// Moves VMs whose pause is over to probing.
  /// @return the VMs whose condition changed since the last call, sorted.
  std::vector<vm_id> Tick(time_point now);

 private:
  struct sample {
    std::string job;
    bool failed{};
  };
  struct probe {
    std::string job;
    time_point trusted_at;
  };
  struct record {
    std::deque<sample> window;
    vm_condition condition{vm_condition::kHealthy};
    time_point probe_at{};
    duration pause{};
    std::optional<probe> running;
    std::uint32_t successes{};
  };
  struct job_record {
    std::set<vm_id> failed_on;
    bool succeeded{};
  };

  job_record& JobOf(const std::string& job);
  [[nodiscard]] bool IsJobsFault(const job_record& job) const;
  void ExcuseJob(const std::string& job);
  void AddSample(record& entry, const std::string& job, bool failed);
  void DropOldest(record& entry);
  [[nodiscard]] bool IsBad(const record& entry) const;
  void Suspect(const vm_id& vm, record& entry, time_point now);
  void Trust(const vm_id& vm, record& entry);
  void OnProbeSucceeded(const vm_id& vm, record& entry);

  vm_health_settings settings_;
  std::map<vm_id, record> vms_;
  std::map<std::string, job_record> jobs_;
  std::deque<std::string> job_order_;
  std::set<vm_id> changed_;
  std::uint64_t samples_{};
  std::uint64_t failures_{};
};

}  // namespace rosearch

#endif  // ROSEARCH_PLACEMENT_VM_HEALTH_H_
