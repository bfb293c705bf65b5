#ifndef ROSEARCH_SCHED_WORKER_STATE_H_
#define ROSEARCH_SCHED_WORKER_STATE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "rosearch/core/resources.h"
#include "rosearch/core/time.h"
#include "rosearch/sched/job_state.h"
#include "rosearch/sched/scheduler_settings.h"
#include "rosearch/sched/worker_facts.h"
#include "rosearch/sched/worker_record.h"

namespace rosearch::sched {

/// State of a run as known to the scheduler.
enum class run_phase : std::uint8_t {
  kStarting,  ///< start order sent, no answer yet
  kUnsure,    ///< the answer was lost: it may be running, start later or never start
  kRunning,   ///< confirmed by the worker
  kStopping,  ///< stop order sent; still charged to the worker
};

/// Why the scheduler stops a run.
enum class stop_reason : std::uint8_t {
  kNone,
  kJobOver,     ///< its job was cancelled or has failed
  kOtherCopy,   ///< another copy of the task is done
  kUnanswered,  ///< its start order was never answered
  kGangBroken,  ///< another member of its gang has ended
  kPreempted,   ///< preempted by more urgent work
  kStuck,       ///< it makes no progress
  kLeaving,     ///< its worker leaves before the run would end
  kSlow,        ///< so slow that a restart elsewhere would end sooner
  kUnknownRun,  ///< belongs to no known job
};

/// @return the name of a reason in logs.
[[nodiscard]] std::string_view StopReasonName(stop_reason reason) noexcept;

/// @return the name of an end kind in logs.
[[nodiscard]] std::string_view EndKindName(end_kind how) noexcept;

/// Progress of a run at a point in time.
struct progress_mark {
  time_point at{};
  std::uint32_t percent{0};

  friend bool operator==(const progress_mark&, const progress_mark&) = default;
};

/// A run of a task at a worker, from its start order until it has certainly ended.
struct live_run {
  std::string task;
  std::uint32_t run{0};
  worker_state* worker{nullptr};
  step_state* step{nullptr};            ///< null: belongs to no known job
  std::uint32_t index{0};               ///< index of the task in its step
  resources charged{};                  ///< resources charged to the worker
  customer_account* customer{nullptr};  ///< whose limit it counts against; null: none
  resources customer_charge{};          ///< resources charged to the customer
  run_phase phase{run_phase::kStarting};
  stop_reason reason{stop_reason::kNone};
  std::string ticket;
  std::string checkpoint;  ///< newest reported by the worker
  std::uint32_t percent{0};
  std::uint32_t tries{1};      ///< number of times that the start order was sent
  time_point started_at{};     ///< when the start order was first sent
  time_point confirmed_at{};   ///< when the worker confirmed the start, or the stop
  time_point progressed_at{};  ///< when `percent` last increased
  /// Start of the speed measurement: the start of the run, or its first report if it resumed from a
  /// checkpoint or was adopted from an earlier leader.
  std::optional<progress_mark> measured_from{};
  bool from_scratch{false};       ///< started by this leader, and not from a checkpoint
  bool copied{false};             ///< another copy was started because this run is slow
  time_point retry_at{kNever};    ///< when an unanswered order is retried
  bool stop_acknowledged{false};  ///< the worker acknowledged the stop order
  bool missing{false};            ///< missing from the last report, which should have listed it
  std::uint32_t pace{100};        ///< speed limit set by the scheduler, in percent
  std::uint32_t load{0};          ///< see `running_row::load`
  /// Copies of the start order that may still be in flight: a restarted worker would execute them.
  std::uint32_t unanswered_starts{0};
  time_point ordered_at{};     ///< when its start, or later its stop, was first ordered
  time_point start_sent_at{};  ///< when the newest copy of the start order was sent
  bool listed{false};          ///< listed in a report of the worker's incarnation
  bool adopted{false};         ///< found in a report; an earlier leader sent its start order
};

/// @return how long a run has taken up to now; nothing if this leader hasn't seen its start or not
///         all of its work: the run was adopted, resumed from a checkpoint, or may have started
///         with a repeated order.
[[nodiscard]] inline std::optional<duration> ObservedRunTime(const live_run& run, time_point now) {
  const bool complete = run.from_scratch && run.tries == 1;
  return complete ? std::optional{now - run.started_at} : std::nullopt;
}

/// A start order that was never answered, of a run that has ended. The incarnation that ended the
/// run refuses the order, but a restarted worker would execute it.
struct late_start {
  std::string task;
  std::uint32_t run{0};
  time_point expires{};  ///< it is no longer in flight then

  friend bool operator==(const late_start&, const late_start&) = default;
};

/// Tracks failures and slow runs of a worker, and excludes it from placement after them.
class worker_health {
 public:
  /// Records a successful run.
  void RecordSuccess() {
    consecutive_failures_ = 0;
    quarantines_ = 0;
  }
  /// Records a run that failed, got stuck or was refused for bad health.
  /// @return whether the worker is now quarantined.
  bool RecordFailure(const scheduler_settings& settings, time_point now);
  /// Records a run that is far slower than its siblings elsewhere.
  /// @return how long the worker is quarantined.
  duration RecordSlowRun(const scheduler_settings& settings, time_point now);
  /// Withdraws a slow run, whose task turned out to be as slow elsewhere.
  void WithdrawSlowRun() {
    slow_until_ = {};
    slow_quarantines_ -= slow_quarantines_ > 0 ? 1 : 0;
  }
  /// Records a run that was as fast as its siblings elsewhere.
  void RecordNormalRun() { slow_quarantines_ = 0; }
  /// Excludes the worker from placement until a time, without counting a failure.
  void ExcludeUntil(time_point until) { excluded_until_ = std::max(excluded_until_, until); }

  [[nodiscard]] bool IsUsable(time_point now) const {
    return now >= excluded_until_ && now >= slow_until_;
  }
  /// @return whether it is excluded for failures or refusals, not only for slow runs.
  [[nodiscard]] bool IsFailing(time_point now) const { return now < excluded_until_; }
  /// @return whether a task that has already failed should preferably run elsewhere.
  [[nodiscard]] bool IsSuspect() const {
    return consecutive_failures_ > 0 || quarantines_ > 0 || slow_quarantines_ > 0;
  }

 private:
  std::uint32_t consecutive_failures_{0};
  std::uint32_t quarantines_{0};
  std::uint32_t slow_quarantines_{0};
  time_point excluded_until_{};
  time_point slow_until_{};
};

/// State of the leader's session with a worker.
enum class session_phase : std::uint8_t {
  kNew,     ///< has not answered this leader yet
  kLive,    ///< answers watches
  kSilent,  ///< its last watches were not answered
};

/// Room at a worker that is reserved for a step which has waited long. Steps of the same or a lower
/// priority must not use it.
struct room_reservation {
  const step_state* step{nullptr};  ///< identity only; never dereferenced
  std::uint32_t priority{0};
  resources room{};
  time_point until{};  ///< when the reservation expires
  bool firm{false};    ///< holds against starved steps, too, but for `yielded_to`
  const step_state* yielded_to{nullptr};  ///< identity only; never dereferenced

  friend bool operator==(const room_reservation&, const room_reservation&) = default;
};

/// A worker: its registry entry, its incarnation, the resources charged to it and its last report.
struct worker_state {
  worker_facts facts;
  session_phase session{session_phase::kNew};
  bool listed{true};  ///< listed in the platform's registry
  /// A run may start only on a worker that is stored as open, which means that it may run any task.
  /// One that falls silent or leaves is stored as closed, with the tasks that may still run there,
  /// so that a new leader delays only these. Without this, two workers that had left during a
  /// rolling replacement delayed all old jobs under a new leader for 8.4 s.
  worker_record_history records;
  std::vector<std::string> held_tasks;  ///< restored: may run here until the worker answers
  std::uint32_t unknown_runs{0};  ///< runs of unknown size; nothing may start while there are any
  resources used{};               ///< charged by all runs that may be active
  /// Until then runs here may continue without contact to the leader; counted from the last send.
  time_point lease_until{};
  time_point leaves_at{kNever};  ///< while draining: runs can continue at least until then
  std::int64_t born{0};          ///< newest known incarnation; see `worker_facts::born`
  time_point born_known_at{};    ///< when `born` last increased
  std::vector<late_start> late_starts;
  std::uint64_t seen_end{0};    ///< newest end processed
  std::uint64_t acked_end{0};   ///< newest end that is stored
  time_point report_sent_at{};  ///< when the watch that brought the newest report was sent
  std::uint32_t silent_watches{0};
  bool report_whole{true};  ///< whether all rows of the newest report could be read
  worker_health health;
  double slowness{1.0};         ///< smoothed ratio of run times to those of siblings elsewhere
  std::uint32_t speed_runs{0};  ///< number of runs in `slowness`
  std::unordered_map<std::string, std::unique_ptr<live_run>> runs;  ///< by task
  std::uint32_t service_runs{0};
  std::uint32_t leftover_runs{0};
  std::optional<room_reservation> reservation;
  bool fill_changed{false};       ///< changed since the last update of `fill_index`
  std::uint64_t room_version{0};  ///< the cell's room version when room was last freed here

  [[nodiscard]] resources Free() const { return facts.capacity - used; }
  /// @return whether room is reserved here for a step.
  [[nodiscard]] bool ReservedFor(const step_state& step) const {
    return reservation && reservation->step == &step;
  }
  /// @return the room that a step may use, without reservations of other steps of the same or a
  ///         higher priority.
  [[nodiscard]] resources FreeFor(const step_state& step) const;
  /// @return whether `facts` describe the known incarnation; a former one may have had more room.
  [[nodiscard]] bool HasCurrentFacts() const { return facts.born == born; }
  /// @return whether the worker is live, listed with its current facts and not draining.
  [[nodiscard]] bool TakesWork() const {
    return session == session_phase::kLive && listed && HasCurrentFacts() && !facts.draining;
  }
  /// @return whether runs may start there: it takes work, is stored as open and runs only known
  ///         tasks.
  [[nodiscard]] bool MayStart() const {
    return TakesWork() && records.IsOpen(born) && unknown_runs == 0;
  }
};

}  // namespace rosearch::sched

#endif  // ROSEARCH_SCHED_WORKER_STATE_H_
