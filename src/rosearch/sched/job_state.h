#ifndef ROSEARCH_SCHED_JOB_STATE_H_
#define ROSEARCH_SCHED_JOB_STATE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "rosearch/core/time.h"
#include "rosearch/sched/instant.h"
#include "rosearch/sched/job_spec.h"
#include "rosearch/sched/step_advice.h"

namespace rosearch::sched {

class customer_account;
struct live_run;
struct step_state;
struct worker_state;

/// Identifies a task; its text form is JOB.OCCURRENCE.STEP.INDEX.
struct task_name {
  std::string job;
  std::uint32_t occurrence{0};
  std::uint32_t step{0};
  std::uint32_t index{0};

  /// @return the text form of the name.
  [[nodiscard]] std::string Text() const;
  /// @return the parsed name; nothing if the text is not a task name.
  [[nodiscard]] static std::optional<task_name> Parse(std::string_view text);

  friend bool operator==(const task_name&, const task_name&) = default;
};

/// One task of an open step.
struct task_state {
  bool done{false};
  std::uint32_t live{0};   ///< runs that may be active
  bool wants_copy{false};  ///< its run is slow: a second copy may start
  std::uint32_t runs{0};   ///< runs started under the current leadership
  /// Numbers of the failed runs. Workers report each end until it is acknowledged, to a new leader
  /// too and in any order. With a plain counter or only the newest number, a failure could count
  /// twice, so that the job fails too early, or be missed, so that the task runs too often.
  std::vector<std::uint32_t> failed_runs;
  std::string checkpoint;                    ///< newest reported; empty: none
  std::string failed_on;                     ///< worker of the last failure
  time_point not_before{};                   ///< earliest start of the next run
  time_point held_until{};                   ///< end of the lease under which it may still run
  std::optional<duration> took{};            ///< done: duration of its run, if that is known
  std::uint32_t slow_moves{0};               ///< runs that were stopped or copied as slow
  std::string moved_from;                    ///< worker of the last of them, until it is acquitted
  std::optional<duration> time_elsewhere{};  ///< shortest time that they would have taken
  std::uint32_t consecutive_early_ends{0};   ///< service: consecutive runs that ended early
};

/// @return whether a run of the task should be started.
[[nodiscard]] inline bool WantsStart(const task_state& task) {
  return !task.done && (task.live == 0 || task.wants_copy);
}

/// One step of one occurrence of a job.
struct step_state {
  struct job_state* job{nullptr};
  const step_spec* spec{nullptr};
  std::uint32_t occurrence{0};
  std::uint32_t index{0};
  std::vector<task_state> tasks;
  std::vector<live_run*> runs;  ///< active runs
  step_advice advice;
  std::uint32_t done{0};
  bool open{false};                       ///< its dependencies are done: tasks may start
  bool listed{false};                     ///< in the list of steps that a scheduling pass considers
  std::uint32_t gang_runs{0};             ///< gang: runs started under the current leadership
  bool reserves_room{false};              ///< holds a reservation on some worker
  time_point open_since{};                ///< when it was opened
  time_point next_reservation_at{};       ///< earliest next review of its reservations
  bool stopping_gang{false};              ///< gang: broken, waiting until all its runs have ended
  std::uint64_t blocked_room_version{0};  ///< room version at which no worker had room
  time_point next_placement_at{};         ///< next placement attempt, unless room is freed earlier
  time_point next_waiting_log_at{};       ///< earliest next log line about what it waits for
  time_point stalled_since{};             ///< since then it has ample room; zero: it isn't stalled
  time_point next_stall_check_at{};       ///< earliest next check whether it is stalled
  time_point next_stall_log_at{};         ///< earliest next log line about its stall
  /// Until then no starved step but `yielded_to` may use the workers that this step has reserved.
  time_point reservations_firm_until{};
  const step_state* yielded_to{nullptr};  ///< identity only; never dereferenced
  bool starved{false};                    ///< see `scheduler_settings::starvation_timeout`
  bool stall_logged{false};               ///< its present stall was logged
  bool awaits_advice_slot{false};         ///< no process could send its advice query
  bool at_limit{false};                   ///< its customer's limit keeps tasks from starting

  /// @return the number of tasks that should be started.
  [[nodiscard]] std::uint32_t CountIdleTasks() const;
  /// @return JOB.OCCURRENCE.STEP.
  [[nodiscard]] std::string Name() const;
  [[nodiscard]] bool Finished() const { return done == tasks.size(); }
  /// @return the predicted run time of a task.
  [[nodiscard]] duration RunTime() const;
};

/// One execution of all steps of a job.
struct occurrence_state {
  std::uint32_t number{0};
  bool done{false};
  std::vector<std::unique_ptr<step_state>> steps;  ///< empty until it is due and after it is done
};

/// What is expected of a job, from its declared estimates and what earlier runs took.
struct job_prediction {
  std::vector<duration> run_times;  ///< of a task of each step
  duration objective{};             ///< from acceptance to completion, by these run times

  friend bool operator==(const job_prediction&, const job_prediction&) = default;
};

/// An accepted job that hasn't ended, or whose runs are still being stopped.
struct job_state {
  std::shared_ptr<const job_spec> spec;
  customer_account* customer{nullptr};  ///< null: belongs to no customer
  // Current rules of its queue; the last known ones if the queue was removed.
  std::string pool;
  std::uint32_t priority{0};
  std::uint32_t max_attempts{1};
  std::optional<advice_cost> advice{};
  job_phase phase{job_phase::kQueued};
  job_phase stored_phase{job_phase::kQueued};  ///< the phase that callers see
  bool accepted{false};                        ///< its record is stored: it must be run to an end
  bool restored{false};                        ///< accepted under an earlier leadership
  bool begun{false};                           ///< a worker has said that a task of it started
  bool new_record{true};                       ///< its specification has yet to be stored
  bool dirty{false};                           ///< its progress has yet to be stored
  std::uint32_t live{0};                       ///< runs that may be active
  job_prediction predicted;
  time_point submitted_at{};
  time_point finish_by{};  ///< deadline from its predicted objective
  std::int64_t ended_ms{0};
  std::vector<std::unique_ptr<occurrence_state>> occurrences;  ///< all that have become due
  std::size_t bytes{0};  ///< as entered in the memory for jobs

  /// @return the total number of occurrences of the job.
  [[nodiscard]] std::uint32_t Occurrences() const {
    return spec->occurrences == 0 ? 1 : spec->occurrences;
  }
  /// @return the step; null if it doesn't exist or its occurrence is not active.
  [[nodiscard]] step_state* Step(std::uint32_t occurrence, std::uint32_t step) const;
};

/// Adds the next occurrence to a job, with all steps closed.
/// @return the new occurrence.
occurrence_state& AddOccurrence(job_state& job);

/// @return whether a task of the job has ended as done.
[[nodiscard]] bool HasDoneTasks(const job_state& job);

/// @return the length of the critical path through the steps, by their estimates.
[[nodiscard]] duration CriticalPath(const std::vector<step_spec>& steps);
/// @param run_times  of a task of each step.
/// @return the length of the critical path through the steps.
[[nodiscard]] duration CriticalPath(const std::vector<step_spec>& steps,
                                    const std::vector<duration>& run_times);

/// @return the total work of a job, processors times estimates, in thousandths of a processor times
///         ms.
[[nodiscard]] double TotalWork(const job_spec& job);

}  // namespace rosearch::sched

#endif  // ROSEARCH_SCHED_JOB_STATE_H_
