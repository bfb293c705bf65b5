#ifndef ROSEARCH_SCHED_JOB_SPEC_H_
#define ROSEARCH_SCHED_JOB_SPEC_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "rosearch/core/resources.h"
#include "rosearch/core/time.h"
#include "rosearch/sched/cell_configuration.h"

namespace rosearch::sched {

/// A step of a job: identical tasks that may run in parallel.
struct step_spec {
  std::uint32_t count{1};  ///< number of tasks
  resources need{};        ///< resources of one task
  duration estimate{};     ///< caller's estimate of a task's run time; often wrong by half
  std::vector<std::uint32_t> after{};  ///< earlier steps that must complete first
  bool checkpoints{false};             ///< tasks save checkpoints and can resume from them
  bool gang{false};                    ///< all tasks must run at the same time
  bool same_rack{false};               ///< tasks are slower if spread across racks
  bool may_duplicate{false};           ///< copies of one task may run at the same time
  bool service{false};                 ///< tasks run until the job is cancelled
  bool uses_leftover{false};           ///< its processors aren't guaranteed: it uses only idle ones
  std::string required_label{};        ///< only workers with this label may run the step
  std::string data_rack{};             ///< rack of its data; tasks are slower on any other
  std::uint32_t per_worker_limit{0};   ///< max tasks of the step on one worker; 0: no limit
  std::optional<std::uint32_t>
      max_unavailable{};   ///< max tasks down at a time through stops by the scheduler
  std::string image{};     ///< tasks of the same image have the same load profile
  duration tail_target{};  ///< max tail response time for its users

  friend bool operator==(const step_spec&, const step_spec&) = default;
};

/// A job as submitted by its caller, with the rules of its queue at acceptance.
struct job_spec {
  std::string id;
  std::string queue;    ///< `queue_rules::Key` of the queue it was submitted to
  std::string pool;     ///< pool whose workers run it
  std::string payload;  ///< passed unchanged to every run
  std::vector<step_spec> steps;
  std::uint32_t occurrences{0};   ///< repetitions on a timetable; 0: runs once, immediately
  std::int64_t first_due_ms{0};   ///< Unix time in ms
  std::int64_t interval_ms{0};    ///< between occurrences
  std::uint32_t priority{0};      ///< 0 is the highest
  std::uint32_t max_attempts{1};  ///< failed runs of one task after which the job has failed
  std::int64_t accepted_ms{0};    ///< Unix time in ms
  duration objective{};           ///< from acceptance to completion, as promised to the caller
  std::optional<advice_cost> advice{};  ///< set: only advised workers may run its steps
  std::string customer{};  ///< customer it belongs to; empty: none, as its queue is open to anybody
  /// Its customer submitted it within the rate to which the customer is entitled.
  bool within_rate{true};

  friend bool operator==(const job_spec&, const job_spec&) = default;
};

/// Phase of a job's lifecycle.
enum class job_phase : std::uint8_t {
  kQueued,     ///< accepted, nothing has started
  kRunning,    ///< something has started
  kCompleted,  ///< every task is done
  kFailed,     ///< a task used up the attempts that its queue allows
  kCancelled,  ///< cancelled by its caller
};

/// @return the name of a phase in logs and metrics.
[[nodiscard]] constexpr std::string_view PhaseName(job_phase phase) noexcept {
  constexpr std::string_view kNames[]{"queued", "running", "completed", "failed", "cancelled"};
  return kNames[static_cast<std::size_t>(phase)];
}

/// @return whether a job in that phase has ended and starts no more tasks.
[[nodiscard]] constexpr bool IsTerminal(job_phase phase) noexcept {
  return phase >= job_phase::kCompleted;
}

}  // namespace rosearch::sched

#endif  // ROSEARCH_SCHED_JOB_SPEC_H_
