#ifndef ROSEARCH_SCHED_JOB_STATE_H_
#define ROSEARCH_SCHED_JOB_STATE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "rosearch/core/time.h"
#include "rosearch/sched/advice_book.h"
#include "rosearch/sched/instant.h"
#include "rosearch/sched/job_spec.h"

namespace rosearch::sched {

struct live_run;
struct step_state;
struct worker_state;

/// Which task of which job: its name is JOB.OCCURRENCE.STEP.INDEX.
struct task_name {
  std::string job;
  std::uint32_t occurrence{0};
  std::uint32_t step{0};
  std::uint32_t index{0};

  /// @return the name as text.
  [[nodiscard]] std::string Text() const;
  /// @return the name that a text spells; nothing where it spells none.
  [[nodiscard]] static std::optional<task_name> Parse(std::string_view text);

  friend bool operator==(const task_name&, const task_name&) = default;
};

/// One task of an open step.
struct task_state {
  bool done{false};
  std::uint32_t live{0};   ///< runs that may be under way
  bool wants_copy{false};  ///< its run is slow: a second one may start beside it
  std::uint32_t runs{0};   ///< runs begun under the present leadership
  /// Runs that ended failed. Ends are listed again until they are acknowledged, also to a new
  /// leader and there in any order: counted by number alone, one failure would count twice and a
  /// job fail too early, or one would be missed and a task tried more often than allowed.
  std::vector<std::uint32_t> failed_runs;
  std::string checkpoint;       ///< newest known; empty: none
  std::string failed_on;        ///< worker of the last failure
  time_point not_before{};      ///< no start before
  duration took{};              ///< done: how long its run worked; zero where that isn't known
  std::uint32_t quick_ends{0};  ///< of a service: runs in a row that ended early
};

/// @return whether a task is to be started.
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
  std::vector<live_run*> runs;  ///< under way
  advice_book advice;
  std::uint32_t done{0};
  bool open{false};               ///< its turn has come
  bool listed{false};             ///< among the steps that a pass looks at
  std::uint32_t gang_runs{0};     ///< gang: runs begun under the present leadership
  bool reserves_room{false};      ///< some worker is reserved for it
  time_point open_since{};        ///< when its turn came
  time_point reserve_again_at{};  ///< its reservations are not looked at before
  bool clearing{false};           ///< gang: broken, waits until all members are gone
  std::uint64_t blocked_at{0};    ///< version of the room at which nothing fitted
  time_point look_again_at{};     ///< blocked until then, unless room is freed before
  time_point tell_waiting_at{};   ///< when the log next says what it waits for

  /// @return tasks that are to be started.
  [[nodiscard]] std::uint32_t Idle() const;
  /// @return JOB.OCCURRENCE.STEP.
  [[nodiscard]] std::string Name() const;
  [[nodiscard]] bool Finished() const { return done == tasks.size(); }
};

/// One run of all steps of a job.
struct occurrence_state {
  std::uint32_t number{0};
  bool done{false};
  std::vector<std::unique_ptr<step_state>> steps;  ///< empty before it is due and once it is done
};

/// An accepted job that hasn't ended, or whose runs are still being stopped.
struct job_state {
  std::shared_ptr<const job_spec> spec;
  // What its queue says now or, where the queue is gone, last said.
  std::string pool;
  std::uint32_t priority{0};
  std::uint32_t max_attempts{1};
  std::optional<advice_cost> advice{};
  job_phase phase{job_phase::kQueued};
  job_phase stored_phase{job_phase::kQueued};  ///< what callers are told
  bool accepted{false};                        ///< stored: from now on it is owed
  bool restored{false};                        ///< accepted under an earlier leadership
  bool new_record{true};                       ///< its own record has yet to be stored
  bool dirty{false};                           ///< its progress has yet to be stored
  std::uint32_t live{0};                       ///< runs that may be under way
  time_point finish_by{};                      ///< objective, by the steady clock
  std::int64_t ended_ms{0};
  std::vector<std::unique_ptr<occurrence_state>> occurrences;  ///< all that are due so far

  /// @return how many occurrences the job has in all.
  [[nodiscard]] std::uint32_t Occurrences() const {
    return spec->occurrences == 0 ? 1 : spec->occurrences;
  }
  /// @return the step of that name; null where the job has none or it isn't under way.
  [[nodiscard]] step_state* Step(std::uint32_t occurrence, std::uint32_t step) const;
};

/// Makes the next occurrence of a job, with its steps closed.
/// @return the new occurrence.
occurrence_state& AddOccurrence(job_state& job);

/// @return the longest chain of estimates through the steps.
[[nodiscard]] duration LongestChain(const std::vector<step_spec>& steps);

/// @return work of the whole job: processors times estimates, in thousandths of a processor times
///         milliseconds.
[[nodiscard]] double TotalWork(const job_spec& job);

}  // namespace rosearch::sched

#endif  // ROSEARCH_SCHED_JOB_STATE_H_
