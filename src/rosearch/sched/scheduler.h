#ifndef ROSEARCH_SCHED_SCHEDULER_H_
#define ROSEARCH_SCHED_SCHEDULER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "rosearch/log/event_line.h"
#include "rosearch/sched/cell_configuration.h"
#include "rosearch/sched/fill_index.h"
#include "rosearch/sched/instant.h"
#include "rosearch/sched/job_spec.h"
#include "rosearch/sched/job_state.h"
#include "rosearch/sched/order.h"
#include "rosearch/sched/scheduler_settings.h"
#include "rosearch/sched/worker_facts.h"
#include "rosearch/sched/worker_state.h"

namespace rosearch::sched {

/// What becomes of a job that a caller hands in.
enum class submit_verdict : std::uint8_t {
  kAccepted,  ///< stored, now or before
  kPending,   ///< will be accepted once `scheduler::OnStored` settles it
  kRefused,   ///< it has not been accepted and never runs
};

struct submit_answer {
  submit_verdict verdict{submit_verdict::kRefused};
  duration retry_after{};  ///< refused: when it pays to come back; zero: never as it is
  std::string_view reason{};

  friend bool operator==(const submit_answer&, const submit_answer&) = default;
};

/// What becomes of a caller's order to cancel.
enum class cancel_verdict : std::uint8_t {
  kCancelled,  ///< stored, now or before; or the job has ended
  kPending,    ///< will be acknowledged once `scheduler::OnStored` settles it
  kUnknown,    ///< there is no such job
};

/// A record for the store; the newest of each key counts.
struct stored_record {
  std::string key;
  std::string value;  ///< empty: the key is dropped

  friend bool operator==(const stored_record&, const stored_record&) = default;
};

/// Records that are stored together or not at all.
struct state_batch {
  std::uint64_t number{0};
  std::vector<stored_record> records;

  friend bool operator==(const state_batch&, const state_batch&) = default;
};

/// A job whose caller waits for the store's word.
struct settled_job {
  std::string id;
  bool accepted{false};       ///< else refused: not stored, it never runs
  bool cancelled{false};      ///< the order to cancel is stored
  std::string_view reason{};  ///< refused: why

  friend bool operator==(const settled_job&, const settled_job&) = default;
};

/// How a worker is to be watched next.
struct watch_request {
  std::string worker;
  std::string address;
  std::uint64_t acked_end{0};  ///< ends up to here are stored: the worker may forget them
  bool extend_lease{false};
  duration wait{};  ///< the worker may keep its answer back so long for an end

  friend bool operator==(const watch_request&, const watch_request&) = default;
};

/// Why a watch brought no report.
enum class watch_failure : std::uint8_t {
  kNoAnswer,
  kOtherLife,   ///< another life of the worker answered
  kStaleFence,  ///< the worker obeys a newer leader
};

/// Figures about the state, for people.
struct cell_counts {
  std::size_t jobs{0};
  std::size_t waiting_tasks{0};
  std::size_t runs{0};
  std::size_t workers_live{0};
  std::size_t workers{0};
  std::size_t leases_ending{0};         ///< live workers whose lease ends within `kLeaseEnding`
  std::size_t unsettled{0};             ///< workers that may run old work and haven't answered
  duration oldest_report{};             ///< age of the oldest newest report of a live worker
  std::uint64_t placement_attempts{0};  ///< tries to place a waiting step, since the beginning
  std::uint64_t worker_looks{0};  ///< workers looked at for a waiting step, since the beginning

  friend bool operator==(const cell_counts&, const cell_counts&) = default;
};

/// A lease that ends within this is about to lapse: it is extended every 0.6 s.
inline constexpr duration kLeaseEnding = std::chrono::seconds{3};

/// What a step waits for, in words of docs/OPERATIONS.md, and what each worker is to it.
struct wait_view {
  std::string_view what{};
  std::size_t unsettled{0};    ///< workers that may run old work and haven't answered
  std::size_t out_of_use{0};   ///< silent, leaving, gone, or not yet recorded
  std::size_t left_alone{0};   ///< after failures
  std::size_t unfit{0};        ///< by label, pool or spreading
  std::size_t not_allowed{0};  ///< by advice
  std::size_t no_room{0};
  std::size_t open{0};

  friend bool operator==(const wait_view&, const wait_view&) = default;
};

/// What is to be expected of a run that is under way.
struct run_outlook {
  double slowdown{1.0};  ///< its time against that of its siblings elsewhere
  duration remaining{};  ///< at its present speed
  duration elsewhere{};  ///< a new start, the stop included

  friend bool operator==(const run_outlook&, const run_outlook&) = default;
};

/// How long a job took to come so far.
struct job_timing {
  bool ended{false};  ///< else: its first task was ordered to start
  job_phase phase{job_phase::kQueued};
  std::uint32_t priority{0};
  duration took{};  ///< since its caller handed it in

  friend bool operator==(const job_timing&, const job_timing&) = default;
};

/// What the workers of a pool that take work hold, and what waits for them; processors in
/// thousandths.
struct pool_load {
  double capacity{0};
  double free{0};                             ///< not in use
  double services{0};                         ///< used by services
  std::map<std::uint32_t, double> running{};  ///< used by other runs, by priority
  /// Work of tasks that wait, services aside: thousandths of a processor times ms, by priority.
  std::map<std::uint32_t, double> waiting{};
  time_point measure_again_at{};

  friend bool operator==(const pool_load&, const pool_load&) = default;
};

/// @return whether work may use room that is kept free for bursts, and spreads out.
[[nodiscard]] bool Urgent(const step_state& step);

/// @return processors, in thousandths, that a worker must have free for a task of a step.
[[nodiscard]] std::int64_t ProcessorsWanted(const step_state& step);

/// Decides for the whole cell what runs where and when: takes in what callers, workers, advice and
/// the store say, and gives out orders and records. It reads no clock and does no I/O, so a load
/// and its faults can be replayed exactly.
///
/// What it promises, whatever is lost, late or doubled outside: no worker is promised more than it
/// holds; no task runs twice at a time; no start before the steps it depends on; a job is owed from
/// the moment that its record is stored, and an end is acknowledged only once it is stored.
class scheduler {
 public:
  /// @param epoch  number of this leadership; higher than that of every earlier one.
  /// @param log    takes a line for each decision; must outlive the scheduler.
  scheduler(const scheduler_settings& settings, std::uint64_t epoch, event_sink& log);
  ~scheduler();
  scheduler(const scheduler&) = delete;
  scheduler& operator=(const scheduler&) = delete;

  // Taking over what an earlier leader left.

  /// Takes in one stored record. Call for all records before anything else.
  /// @return whether it could be read.
  bool Restore(const stored_record& record, const instant& now);
  /// Ends the taking over: what the former leader may have started is still unknown at every
  /// recorded worker until it answers, or until its lease has certainly lapsed.
  void FinishRestore(const instant& now);
  /// @return whether every worker that the former leader used has answered or lapsed. Until then
  ///         old tasks start only where advice rules out that they run at one that hasn't.
  [[nodiscard]] bool OldRunsSettled() const { return unsettled_.empty(); }

  // Configuration.

  /// Puts a version in force; an older one than that in force is ignored.
  void Configure(cell_configuration configuration, const instant& now);
  [[nodiscard]] const cell_configuration& configuration() const { return configuration_; }

  // Callers.

  [[nodiscard]] submit_answer Submit(job_spec job, const instant& now);
  [[nodiscard]] cancel_verdict Cancel(std::string_view id, std::string_view queue,
                                      const instant& now);
  /// @return the phase of a job as its caller may know it; nothing where there is no such job.
  [[nodiscard]] std::optional<job_phase> Phase(std::string_view id, std::string_view queue) const;
  /// @return accepted jobs of a queue of which nothing has started.
  [[nodiscard]] std::size_t Waiting(std::string_view queue) const;

  // Workers.

  /// Takes in a worker's entry in the platform's registry.
  void ObserveWorker(const worker_facts& facts, const instant& now);
  /// The registry no longer lists a worker.
  void UnlistWorker(const std::string& id, const instant& now);
  /// @return ids of the workers to watch.
  [[nodiscard]] std::vector<std::string> WatchedWorkers() const;
  /// Plans the next watch of a worker, which is then taken as sent.
  /// @return nothing where the worker needs none any more.
  [[nodiscard]] std::optional<watch_request> NextWatch(const std::string& worker,
                                                       const instant& now);
  /// @return how long the next watch of a worker should wait.
  [[nodiscard]] duration WatchPause(const std::string& worker, const instant& now) const;
  void OnReport(const std::string& worker, time_point sent_at, const worker_report& report,
                const instant& now);
  void OnWatchFailed(const std::string& worker, watch_failure failure, const instant& now);
  void OnStartAnswer(const start_order& sent, start_outcome outcome, const instant& now);
  /// @param heard  whether the worker answered that it obeys.
  void OnStopAnswer(const stop_order& sent, bool heard, const instant& now);

  // Advice.

  /// @param allowed  nothing where the question was not answered.
  void OnAdvice(const advice_query& asked, const std::vector<advised_worker>* allowed,
                const instant& now);

  // Store.

  /// @return whether there is anything to store.
  [[nodiscard]] bool HasRecords() const;
  /// @return whether somebody waits for what there is to store.
  [[nodiscard]] bool HasUrgentRecords() const { return urgent_; }
  /// Collects what has to be stored; one batch at a time.
  [[nodiscard]] state_batch TakeBatch();
  /// The batch is stored.
  void OnStored(std::uint64_t number, const instant& now);
  /// The batch is certainly not stored. New jobs in it are refused for good, the rest is kept for
  /// the next batch.
  void OnNotStored(std::uint64_t number);
  /// Refuses every new job that no batch has carried to the store yet: it is away, and a caller
  /// that is told so at once can come back in time.
  void RefuseUnsent();
  /// @return whether a job was handed in and what becomes of it is still open.
  [[nodiscard]] bool IsPending(std::string_view id) const;
  /// @return callers that can be answered since the last call.
  [[nodiscard]] std::vector<settled_job> TakeSettled() { return std::exchange(settled_, {}); }
  /// @return workers whose ends were stored since the last call: they wait to be watched.
  [[nodiscard]] std::vector<std::string> TakeAcked() { return std::exchange(acked_, {}); }

  // Time.

  /// Looks after what time alone changes; call every 50 ms or so.
  void Tick(const instant& now);
  /// Takes in how late the process just was with what was due; call with each `Tick`.
  void NoteDelay(duration delay);
  /// @return how long to let inputs collect for one pass, beyond the usual: a late leader decides
  ///         about more at a time.
  [[nodiscard]] duration PassPause() const;
  /// @return whether what is due waits noticeably for the process.
  [[nodiscard]] bool Late() const { return loop_delay_ > kLate; }
  /// Places what can be placed. Call after inputs; several may share one call.
  void Schedule(const instant& now);
  /// @return the orders decided since the last call.
  [[nodiscard]] std::vector<order> TakeOrders() { return std::exchange(orders_, {}); }

  /// @return whether a newer leader was met; this scheduler must decide nothing more.
  [[nodiscard]] bool Deposed() const { return deposed_; }
  [[nodiscard]] cell_counts Counts(const instant& now) const;
  /// @return tries to place a waiting step, since the beginning.
  [[nodiscard]] std::uint64_t PlacementAttempts() const { return placement_attempts_; }
  /// @return what jobs took since the last call.
  [[nodiscard]] std::vector<job_timing> TakeTimings() { return std::exchange(timings_, {}); }
  /// @return a text for people: steps with what each waits for, workers with room, lease and
  /// health.
  [[nodiscard]] std::string Dump(const instant& now) const;
  /// @return a text for people: where one job stands, and why what waits of it waits.
  [[nodiscard]] std::string Explain(std::string_view id, const instant& now) const;

 private:
  struct stored_effects;
  struct ended_job {
    std::string queue;
    job_phase phase{job_phase::kCompleted};
    std::int64_t ended_ms{0};
  };

  // scheduler_jobs.cc
  job_state* FindJob(std::string_view id);
  /// @return the step that a task belongs to; null where it isn't known or isn't under way.
  step_state* FindStep(const task_name& name);
  void NoteTiming(const job_state& job, bool ended, const instant& now);
  void OpenDue(job_state& job, const instant& now);
  void OpenSteps(job_state& job, occurrence_state& occurrence, const instant& now);
  void FinishTask(step_state& step, std::uint32_t index, const instant& now);
  void FinishStep(step_state& step, const instant& now);
  void FailTask(step_state& step, std::uint32_t index, std::uint32_t run, const std::string& worker,
                const instant& now);
  void EndJob(job_state& job, job_phase phase, const instant& now);
  void Forget(const instant& now);
  void ResolveRules(job_state& job) const;
  void RetireEnded(const instant& now);
  void FinishOccurrence(job_state& job, occurrence_state& occurrence, const instant& now);
  [[nodiscard]] submit_answer Admit(const job_spec& job, const instant& now);
  /// @return how long a job would wait for the leader's own time, in ms.
  [[nodiscard]] double WaitsForLeaderMs(const job_spec& job) const;
  [[nodiscard]] pool_load MeasureLoad(const std::string& pool) const;
  /// @return what a pool holds and what waits for it, measured lately.
  [[nodiscard]] const pool_load& LoadOf(const std::string& pool, const instant& now);
  [[nodiscard]] double MeanSlackMs(const job_spec& job);
  [[nodiscard]] bool FitsSomewhere(const job_spec& job) const;
  /// @return whether there is room for all tasks of a job's first step now.
  [[nodiscard]] bool HasPlaces(const job_spec& job) const;
  void MarkDirty(job_state& job, bool urgent);

  // scheduler_store.cc
  void DropNewJob(const std::string& id, std::string_view reason);
  void RestoreJob(const std::string& id, const std::string& job_text,
                  const std::string& progress_text, const instant& now);
  void AckWhatNeedsNoRecord();
  [[nodiscard]] std::string EncodeWorkers(std::vector<std::string>& open) const;
  void HoldTasks(worker_state& worker);
  void ReleaseTasks(worker_state& worker);
  void SetNotBefore(const std::string& task, time_point not_before);

  // scheduler_runs.cc
  /// Counts a run wherever it has to be counted; `Detach` takes it out again.
  live_run& Attach(step_state& step, std::uint32_t index, worker_state& worker,
                   std::uint32_t number, const instant& now);
  live_run& BeginRun(step_state& step, std::uint32_t index, worker_state& worker,
                     std::uint32_t number, std::string checkpoint, std::string ticket,
                     const instant& now);
  void OrderStart(live_run& run, const instant& now);
  void OrderStop(live_run& run, const instant& now);
  void TellRepeated(const live_run& run, std::string_view order);
  live_run* FindRun(const std::string& worker, const std::string& task, std::uint32_t run);
  /// @param for_step  preempted: the step that needs the room.
  void StopRun(live_run& run, stop_reason reason, const instant& now,
               const step_state* for_step = nullptr);
  void EndRun(live_run& run, end_kind how, const std::string& checkpoint, const instant& now);
  void Detach(live_run& run);
  void ApplyEnd(step_state& step, std::uint32_t index, std::uint32_t run, end_kind how,
                const std::string& worker, const std::string& checkpoint, const instant& now);
  void ApplyGangEnd(step_state& step, std::uint32_t run, end_kind how, const std::string& worker,
                    const std::string& checkpoint, const instant& now);
  void Adopt(worker_state& worker, const running_row& row, const instant& now);
  void TakeEnd(worker_state& worker, const ended_row& row, const instant& now);
  void LookForMissing(worker_state& worker, time_point sent_at, const worker_report& report,
                      const instant& now);
  void BreakGang(step_state& step, const instant& now);
  void StopStranger(worker_state& worker, const running_row& row, const instant& now);
  void RefuseStart(live_run& run, start_outcome outcome, const instant& now);
  void LoseRuns(worker_state& worker, std::string_view cause, const instant& now);
  void RetryOrders(worker_state& worker, const instant& now);
  void StopStuckRuns(worker_state& worker, const instant& now);
  void EmptyLeavingWorker(worker_state& worker, const instant& now);
  void PaceLeftovers(worker_state& worker);
  void DropWorker(const std::string& id);
  void SettleWorker(const std::string& id, std::string_view how, const instant& now);
  [[nodiscard]] duration LongestLease() const;
  /// @return the number of a task's so many-th run under this leadership.
  [[nodiscard]] std::uint32_t RunNumber(std::uint32_t count) const;

  // scheduler_progress.cc
  /// @return what a step's tasks take, by those that ended and those under way elsewhere than at
  ///         `beside`; nothing where too few tell.
  [[nodiscard]] std::optional<duration> TypicalTime(const step_state& step,
                                                    const worker_state& beside) const;
  /// @return how long a run goes on at its present speed, and how its speed compares.
  [[nodiscard]] std::optional<run_outlook> Outlook(const live_run& run, const instant& now) const;
  void NoteSpeed(const live_run& run, duration took);
  void RescueSlowRuns(worker_state& worker, const instant& now);
  void Rescue(live_run& run, const run_outlook& outlook, const instant& now);
  [[nodiscard]] bool MayRescue() const;

  // scheduler_placement.cc
  [[nodiscard]] bool Startable(const step_state& step) const;
  /// @return whether a step that found no place would find none now: no room was freed since where
  ///         it may run.
  [[nodiscard]] bool StillBlocked(const step_state& step, const instant& now) const;
  /// Takes in that a step found no place.
  void Block(step_state& step, const instant& now) const;
  /// Takes in that room was freed at a worker.
  void NoteRoom(worker_state& worker) { worker.room_version = ++room_version_; }
  /// Takes in that any step may find room now.
  void NoteRoomEverywhere() { all_room_version_ = ++room_version_; }
  /// Takes in that a step may have tasks to start: it opened, or a run of it is gone.
  void NoteWaiting(step_state& step) {
    const bool counts = step.open && !IsTerminal(step.job->phase);
    if (counts && !std::exchange(step.listed, true)) {
      waiting_steps_.push_back(&step);
    }
  }
  /// Lists anew what is open and what of it waits.
  void ListSteps();
  /// Takes the steps of a job off all lists.
  void DropSteps(const job_state& job);
  /// @return the open steps that may find a place now, in the order in which they are served.
  [[nodiscard]] std::vector<step_state*> InOrder(const instant& now);
  [[nodiscard]] bool MayRunUnseen(const step_state& step) const;
  void PlaceTasks(step_state& step, const instant& now);
  [[nodiscard]] bool MayRun(const step_state& step, const task_state* task,
                            const worker_state& worker, const instant& now) const;
  /// @return the share of each worker of a pool that is kept for urgent work. None where no queue
  ///         of the pool is urgent: kept there, it left every second place for half a worker's
  ///         processors empty.
  [[nodiscard]] double Reserve(const std::string& pool) const;
  /// @return whether all workers are looked at for a step, since its pool is small or what it gains
  ///         by depends on more than how full they are.
  [[nodiscard]] bool LooksAtAll(const step_state& step);
  [[nodiscard]] bool Fits(const step_state& step, const worker_state& worker) const;
  [[nodiscard]] double Score(const step_state& step, const worker_state& worker) const;
  worker_state* Pick(const step_state& step, const task_state& task, bool advised,
                     const instant& now);
  void MakeRoom(step_state& step, std::uint32_t tasks, const instant& now);
  bool MakeRoomAt(step_state& step, worker_state& worker, const instant& now);
  [[nodiscard]] std::uint32_t Copies(const step_state& step, const worker_state& worker) const;

  // scheduler_advice.cc
  /// Workers that a question may name, the best of each kind first.
  struct advice_candidates {
    std::vector<worker_state*> allowed;  ///< with room; advice allows them, their tickets expired
    std::vector<worker_state*> unknown;  ///< with room; nothing is known of them
    std::vector<worker_state*> full;     ///< without room now; nothing is known of them
  };
  /// @return those workers that a question can name at most, the best for a step first.
  [[nodiscard]] std::vector<worker_state*> BestFirst(
      const step_state& step, const std::vector<worker_state*>& workers) const;
  [[nodiscard]] advice_candidates WhomToAskAbout(const step_state& step, const instant& now);
  /// @return names for a question that lets so many tasks of a step start.
  [[nodiscard]] std::vector<std::string> WhomToName(const step_state& step, std::uint32_t tasks,
                                                    const instant& now);
  [[nodiscard]] std::vector<std::string> UnseenToAskAbout(const step_state& step) const;
  void AskAboutUnseen(step_state& step, const instant& now);
  void AskAdvice(step_state& step, std::uint32_t tasks, const instant& now);
  /// @return whether a question for a step may be asked now; one that is overdue is given up.
  [[nodiscard]] bool MayAsk(step_state& step, const instant& now);
  void SendQuestion(step_state& step, std::vector<std::string> workers, std::uint32_t tasks,
                    const instant& now);

  // scheduler_reservations.cc
  /// Reserves workers for tasks of a step that has waited long, and stops there what may be
  /// stopped.
  void ReserveWorkers(step_state& step, std::uint32_t tasks, const instant& now);
  void ReleaseReservations(step_state& step);
  /// @return workers that the step may run on and nobody else has reserved, the soonest free first.
  [[nodiscard]] std::vector<worker_state*> Reservable(const step_state& step,
                                                      const instant& now) const;
  /// @return how long it takes until a worker has room for a task of a step, as far as is known.
  [[nodiscard]] duration UntilRoom(const step_state& step, const worker_state& worker,
                                   const instant& now) const;
  /// @return whether a worker that a step reserves has room by the time that an answer takes.
  [[nodiscard]] bool SoonFree(const step_state& step, const worker_state& worker,
                              const instant& now) const;
  [[nodiscard]] bool MayPreempt(const step_state& step, const live_run& run) const;

  // scheduler_gangs.cc
  void PlaceGang(step_state& step, const instant& now);
  /// @return a worker for each member; empty where they don't all find places.
  [[nodiscard]] std::vector<worker_state*> GangPlaces(
      const step_state& step, const std::vector<worker_state*>& candidates) const;
  void AskGangAdvice(step_state& step, const instant& now);
  void StartGang(step_state& step, const std::vector<worker_state*>& places, const instant& now);

  // scheduler_views.cc
  [[nodiscard]] wait_view WhyWaiting(const step_state& step, const instant& now) const;
  void TellWaiting(step_state& step, const instant& now);

  /// A leader that is later than this sheds load: it looks less often, decides about more at a
  /// time, doesn't judge workers by times that are its own, and takes in fewer jobs.
  static constexpr duration kLate = std::chrono::milliseconds{50};
  static constexpr std::uint32_t kAnyNumber = 1U << 20U;
  /// In a large pool the best of so many workers with room are as good as the best of all.
  static constexpr std::size_t kEnoughWorkers = 120;
  /// Workers that are out of reach after a change of leader and are asked about; where more are,
  /// most are about to answer.
  static constexpr std::size_t kMostUnseen = 8;

  scheduler_settings settings_;
  std::uint64_t epoch_;
  event_sink& log_;
  cell_configuration configuration_;
  std::set<std::string> urgent_pools_;  ///< pools that an urgent queue uses
  std::unordered_map<std::string, std::unique_ptr<job_state>> jobs_;
  std::unordered_map<std::string, ended_job> ended_;
  std::map<std::string, std::unique_ptr<worker_state>> workers_;  ///< in a fixed order
  fill_index fill_;                                               ///< of `workers_`
  std::map<std::string, time_point> unsettled_;  ///< see `OldRunsSettled`; when each lapses
  std::vector<step_state*> open_steps_;
  std::vector<step_state*> waiting_steps_;       ///< those of them that may have tasks to start
  std::map<std::string, pool_load> loads_;       ///< by pool
  std::map<std::string, double> mean_slack_ms_;  ///< by queue: time that its jobs can wait
  std::map<std::string, double> advised_share_;  ///< by queue: share of named workers allowed
  std::vector<order> orders_;
  std::vector<settled_job> settled_;
  std::vector<job_timing> timings_;
  std::vector<std::string> acked_;
  std::set<std::string> unacked_;       ///< workers with ends that aren't stored
  std::vector<std::string> dirty_;      ///< jobs with something to store
  std::vector<std::string> forgotten_;  ///< ended jobs whose records are to be dropped
  std::vector<std::string> retiring_;   ///< jobs that may have become ended ones
  std::vector<stored_record> restoring_;
  bool workers_dirty_{false};
  bool urgent_{false};
  bool deposed_{false};
  std::uint64_t room_version_{1};      ///< rises whenever room is freed or a worker comes
  std::uint64_t all_room_version_{1};  ///< at the last change that may concern any step
  std::uint64_t next_batch_{1};
  std::uint64_t placement_attempts_{0};
  std::uint64_t worker_looks_{0};
  duration newest_delay_{};  ///< as `NoteDelay` was last told
  duration loop_delay_{};    ///< what everything waits for the process; one late tick isn't enough
  std::uint32_t admitted_since_tick_{0};       ///< jobs taken in since the last tick
  std::uint32_t admission_limit_{kAnyNumber};  ///< jobs that may be taken in until the next one
  std::map<std::uint64_t, stored_effects> storing_;
  time_point next_forget_{};
  time_point restored_at_{};
};

}  // namespace rosearch::sched

#endif  // ROSEARCH_SCHED_SCHEDULER_H_
