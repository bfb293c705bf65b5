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

namespace rosearch::sched {

/// How sure we are that a run is under way.
enum class run_phase : std::uint8_t {
  kStarting,  ///< ordered, no answer yet
  kUnsure,    ///< the answer was lost: it may run now, later or never
  kRunning,   ///< the worker said so
  kStopping,  ///< ordered to stop; still counts against the worker's room
};

/// Why we stop a run.
enum class stop_reason : std::uint8_t {
  kNone,
  kJobOver,     ///< its job was cancelled or has failed
  kOtherCopy,   ///< another copy of the task is done
  kUnanswered,  ///< its start was never answered
  kGangBroken,  ///< another member of its gang is gone
  kPreempted,   ///< makes room for more urgent work
  kStuck,       ///< its progress stands still
  kLeaving,     ///< its worker leaves before it can end
  kSlow,        ///< it works so slowly that it ends sooner elsewhere
  kStranger,    ///< belongs to no job that is known
};

/// @return the word for a reason in logs.
[[nodiscard]] std::string_view StopReasonName(stop_reason reason) noexcept;

/// @return the word for the end of a run in logs.
[[nodiscard]] std::string_view EndKindName(end_kind how) noexcept;

/// How far a run was at a moment.
struct progress_mark {
  time_point at{};
  std::uint32_t percent{0};

  friend bool operator==(const progress_mark&, const progress_mark&) = default;
};

/// One run of one task at one worker, from the order to start it until it is certainly over.
struct live_run {
  std::string task;
  std::uint32_t run{0};
  worker_state* worker{nullptr};
  step_state* step{nullptr};  ///< null: belongs to no job that is known
  std::uint32_t index{0};     ///< of the task in its step
  resources charged{};        ///< counted against the worker
  run_phase phase{run_phase::kStarting};
  stop_reason reason{stop_reason::kNone};
  std::string ticket;
  std::string checkpoint;  ///< newest that the worker reported
  std::uint32_t percent{0};
  std::uint32_t tries{1};      ///< sendings of the order to start
  time_point started_at{};     ///< when it was first ordered
  time_point known_at{};       ///< when the worker's word of it, or of its stop, came
  time_point progressed_at{};  ///< when `percent` last grew
  /// From where its speed is measured: its start or, where it resumes or was taken over, the first
  /// report.
  std::optional<progress_mark> measured_from{};
  bool copied{false};           ///< another copy was started since this one is slow
  time_point next_try{kNever};  ///< when an unanswered order is sent again
  bool stop_heard{false};       ///< the worker answered the order to stop
  bool missing{false};          ///< it wasn't in the last report, though it should have been
  std::uint32_t pace{100};      ///< share of its speed that we let it have, in percent
  std::uint32_t load{0};        ///< see `running_row::load`
};

/// Failures of a worker against those of its peers.
class worker_health {
 public:
  /// Takes in a run that ended well.
  void Good() {
    in_a_row_ = 0;
    pauses_ = 0;
  }
  /// Takes in a run that failed, hung or was refused for bad health.
  /// @return whether the worker is to be left alone from now on.
  bool Bad(const scheduler_settings& settings, time_point now);
  /// Takes in that a run works far slower than it does elsewhere.
  /// @return how long the worker is left alone.
  duration Slow(const scheduler_settings& settings, time_point now);
  /// Takes in that a run worked as fast as elsewhere.
  void Swift() { slow_pauses_ = 0; }
  /// Leaves the worker alone for a while without holding it against it.
  void Pause(time_point until) { shunned_until_ = std::max(shunned_until_, until); }

  [[nodiscard]] bool Usable(time_point now) const { return now >= shunned_until_; }
  /// @return whether a task that already failed should rather go elsewhere.
  [[nodiscard]] bool Suspect() const { return in_a_row_ > 0 || pauses_ > 0 || slow_pauses_ > 0; }

 private:
  std::uint32_t in_a_row_{0};
  std::uint32_t pauses_{0};
  std::uint32_t slow_pauses_{0};
  time_point shunned_until_{};
};

/// Where our conversation with a worker stands.
enum class session_phase : std::uint8_t {
  kNew,     ///< has not answered this leader yet
  kLive,    ///< answers
  kSilent,  ///< the last watch was not answered
};

/// Room at a worker that a step which waited long keeps for itself; nobody else of the same or a
/// lower priority may use it.
struct room_reservation {
  const step_state* step{nullptr};  ///< told apart by; never followed
  std::uint32_t priority{0};
  resources room{};
  time_point until{};  ///< then it is anybody's

  friend bool operator==(const room_reservation&, const room_reservation&) = default;
};

/// One life of a worker: what it holds, what we have promised there and what it last said.
struct worker_state {
  worker_facts facts;
  session_phase session{session_phase::kNew};
  bool listed{true};  ///< in the platform's registry
  /// Stored as one that may run anything: only then may anything start. One that falls silent or
  /// leaves is stored as closed, with what may still run there, so that a successor waits for these
  /// alone: where workers were replaced one after another, two that had left kept all old jobs of a
  /// new leader waiting for 8.4 s.
  bool recorded{false};
  std::vector<std::string> held_tasks;  ///< restored: may run here until the worker has answered
  std::uint32_t strangers{0};           ///< runs of unknown size: nothing may start beside them
  resources used{};                     ///< charged by all runs that may be under way
  /// Until then what runs here may go on without hearing from us; counted from our last sending.
  time_point lease_until{};
  time_point leaves_at{kNever};  ///< while draining: what runs is sure to run so long
  std::uint64_t seen_end{0};     ///< newest end taken in
  std::uint64_t acked_end{0};    ///< newest end that is stored
  time_point report_sent_at{};   ///< when the watch of the newest report was sent
  std::uint32_t silent_watches{0};
  worker_health health;
  double slowness{1.0};         ///< run times against those of siblings elsewhere, smoothed
  std::uint32_t speed_runs{0};  ///< runs that `slowness` rests on
  std::unordered_map<std::string, std::unique_ptr<live_run>> runs;  ///< by task
  std::uint32_t service_runs{0};
  std::uint32_t leftover_runs{0};
  std::optional<room_reservation> reservation;
  bool fill_changed{false};  ///< since the index of workers by fill was last brought up to date
  std::uint64_t room_version{0};  ///< of the cell's room when some was last freed here

  [[nodiscard]] resources Free() const { return facts.capacity - used; }
  /// @return whether a step has reserved room here.
  [[nodiscard]] bool ReservedFor(const step_state& step) const {
    return reservation && reservation->step == &step;
  }
  /// @return the room that a step may use: what others of no lower priority have reserved
  ///         is not its.
  [[nodiscard]] resources FreeFor(const step_state& step) const;
  /// @return whether it is there and doesn't leave.
  [[nodiscard]] bool TakesWork() const {
    return session == session_phase::kLive && listed && !facts.draining;
  }
  /// @return whether runs may be started there: it is stored as one that may run anything, and all
  ///         that runs there is known.
  [[nodiscard]] bool MayStart() const { return TakesWork() && recorded && strangers == 0; }
};

}  // namespace rosearch::sched

#endif  // ROSEARCH_SCHED_WORKER_STATE_H_
