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

/// A step of a job: equal tasks that may run side by side.
struct step_spec {
  std::uint32_t count{1};  ///< tasks of the step
  resources need{};        ///< of one task
  duration estimate{};     ///< the caller's guess of one task's run time; often off by half
  std::vector<std::uint32_t> after{};  ///< earlier steps whose tasks must all be done first
  bool checkpoints{false};             ///< its tasks save their progress and can resume
  bool gang{false};                    ///< its tasks work only all together
  bool same_rack{false};               ///< its tasks are slower across racks
  bool may_duplicate{false};           ///< copies of one task may run side by side
  bool service{false};                 ///< its tasks run until the job is cancelled
  bool uses_leftover{false};     ///< its processors aren't promised: it takes what others leave
  std::string required_label{};  ///< a worker without it must not run the step
  std::string data_rack{};       ///< slower on every other rack
  std::uint32_t per_worker_limit{0};  ///< most tasks of the step on one worker; 0: any number
  std::optional<std::uint32_t> max_unavailable{};  ///< most tasks of it down by our own doing
  std::string image{};                             ///< tasks of one image behave alike
  duration tail_target{};  ///< what its users' response times must stay under

  friend bool operator==(const step_spec&, const step_spec&) = default;
};

/// A job as its caller described it, with what its queue said when it was accepted.
struct job_spec {
  std::string id;
  std::string queue;    ///< `queue_rules::Key` of the queue it was handed to
  std::string pool;     ///< workers of this pool run it
  std::string payload;  ///< handed to every run as it is
  std::vector<step_spec> steps;
  std::uint32_t occurrences{0};   ///< times that all steps run on a timetable; 0: once, at once
  std::int64_t first_due_ms{0};   ///< time of day in ms since 1970
  std::int64_t interval_ms{0};    ///< between occurrences
  std::uint32_t priority{0};      ///< 0 comes first
  std::uint32_t max_attempts{1};  ///< failed runs of one task after which the job has failed
  std::int64_t accepted_ms{0};    ///< time of day in ms since 1970
  duration objective{};           ///< from acceptance to completion, as promised to the caller
  std::optional<advice_cost> advice{};  ///< set: only advised workers may run its steps

  friend bool operator==(const job_spec&, const job_spec&) = default;
};

/// Where a job is in its life.
enum class job_phase : std::uint8_t {
  kQueued,     ///< accepted, nothing has started
  kRunning,    ///< something has started
  kCompleted,  ///< every task is done
  kFailed,     ///< a task failed as often as its queue allows
  kCancelled,  ///< its caller took it back
};

/// @return the word for a phase in logs and metrics.
[[nodiscard]] constexpr std::string_view PhaseName(job_phase phase) noexcept {
  constexpr std::string_view kNames[]{"queued", "running", "completed", "failed", "cancelled"};
  return kNames[static_cast<std::size_t>(phase)];
}

/// @return whether a job in that phase never starts anything again.
[[nodiscard]] constexpr bool IsTerminal(job_phase phase) noexcept {
  return phase >= job_phase::kCompleted;
}

}  // namespace rosearch::sched

#endif  // ROSEARCH_SCHED_JOB_SPEC_H_
