#ifndef ROSEARCH_SCHED_SCHEDULER_H_
#define ROSEARCH_SCHED_SCHEDULER_H_

#include <cstdint>
#include <deque>
#include <limits>
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
#include "rosearch/sched/cell_counts.h"
#include "rosearch/sched/customer_accounts.h"
#include "rosearch/sched/fill_index.h"
#include "rosearch/sched/instant.h"
#include "rosearch/sched/job_memory.h"
#include "rosearch/sched/job_scope.h"
#include "rosearch/sched/job_spec.h"
#include "rosearch/sched/job_state.h"
#include "rosearch/sched/order.h"
#include "rosearch/sched/pool_load.h"
#include "rosearch/sched/run_outlook.h"
#include "rosearch/sched/run_time_model.h"
#include "rosearch/sched/scheduler_settings.h"
#include "rosearch/sched/stall_view.h"
#include "rosearch/sched/state_batch.h"
#include "rosearch/sched/submit_answer.h"
#include "rosearch/sched/wait_view.h"
#include "rosearch/sched/watch_request.h"
#include "rosearch/sched/worker_facts.h"
#include "rosearch/sched/worker_state.h"

namespace rosearch::sched {

/// Result of cancelling a job.
enum class cancel_verdict : std::uint8_t {
  kCancelled,  ///< stored, now or earlier, or the job has already ended
  kPending,    ///< will be acknowledged once `scheduler::OnStored` settles it
  kUnknown,    ///< there is no such job
};

/// Result for a caller that waits until its job or its cancellation is stored.
struct settled_job {
  std::string id;
  bool accepted{false};       ///< false: refused, not stored, never runs
  bool cancelled{false};      ///< the cancellation is stored
  std::string_view reason{};  ///< refused: why

  friend bool operator==(const settled_job&, const settled_job&) = default;
};

/// Time from a job's submission to its first start or to its end.
struct job_timing {
  bool ended{false};  ///< false: its first task was ordered to start
  job_phase phase{job_phase::kQueued};
  std::uint32_t priority{0};
  duration took{};  ///< since submission

  friend bool operator==(const job_timing&, const job_timing&) = default;
};

/// @return whether a step is urgent: it may use the room reserved for bursts, and is spread out.
[[nodiscard]] bool IsUrgent(const step_state& step);

/// @return the free processors that a task of a step requires, in thousandths.
[[nodiscard]] std::int64_t RequiredProcessorsMilli(const step_state& step);

/// Schedules all tasks of the cell: receives events from callers, workers, the advice service and
/// the store, and produces orders and records. It reads no clock and does no I/O, so that tests
/// can run a load with its faults deterministically.
///
/// Guarantees, even if messages are lost, delayed or duplicated: no worker is charged beyond its
/// capacity; no task runs twice at a time; no step starts before the steps that it depends on; a
/// job whose record is stored is run to an end; and an end is acknowledged only once it is
/// stored.
class scheduler {
 public:
  /// @param epoch  number of this leadership; higher than that of every earlier leader.
  /// @param log    receives a line for each decision; must outlive the scheduler.
  scheduler(const scheduler_settings& settings, std::uint64_t epoch, event_sink& log);
  ~scheduler();
  scheduler(const scheduler&) = delete;
  scheduler& operator=(const scheduler&) = delete;

  // Takeover from an earlier leader.

  /// Restores one stored record. Call for all records before any other function.
  /// @return whether the record could be decoded.
  bool Restore(const stored_record& record, const instant& now);
  /// Ends the restore phase. Runs that the former leader may have started at a recorded worker stay
  /// unknown until the worker answers or its lease has certainly expired.
  void FinishRestore(const instant& now);
  /// Sets until when former leaders may have sent orders, before or after the restore phase. Leases
  /// that they granted may last that much longer.
  void SetFormerLeadersSendUntil(time_point until);
  /// Sets the date up to which this leader was certainly the only one. A lease that ends later
  /// isn't taken for expired: a newer leader may have extended it. Until the first call nothing has
  /// to be proven.
  void SetProvenAt(time_point at) { proven_at_ = at; }
  /// @return whether a lease would be taken for expired if that date were later.
  [[nodiscard]] bool AwaitsProof() const { return awaits_proof_; }
  /// @return whether every worker of the former leader has answered or its lease has expired. Until
  ///         then an old task starts only if advice excludes all workers that haven't answered.
  [[nodiscard]] bool OldRunsSettled() const { return unsettled_.empty(); }

  // Configuration.

  /// Applies a configuration; one older than the current version is ignored.
  void Configure(cell_configuration configuration, const instant& now);
  [[nodiscard]] const cell_configuration& configuration() const { return configuration_; }

  // Callers.

  [[nodiscard]] submit_answer Submit(job_spec job, const instant& now);
  [[nodiscard]] cancel_verdict Cancel(std::string_view id, const job_scope& scope,
                                      const instant& now);
  /// @return the stored phase of a job, as callers see it; nothing if there is no such job.
  [[nodiscard]] std::optional<job_phase> Phase(std::string_view id, const job_scope& scope) const;
  /// @return the number of accepted jobs of a queue that haven't started yet.
  [[nodiscard]] std::size_t CountWaitingJobs(std::string_view queue) const;

  // Workers.

  /// Records a worker's entry in the platform's registry.
  void ObserveWorker(const worker_facts& facts, const instant& now);
  /// Records that the registry no longer lists a worker.
  void UnlistWorker(const std::string& id, const instant& now);
  /// @return ids of the workers to watch.
  [[nodiscard]] std::vector<std::string> WatchedWorkers() const;
  /// Prepares the next watch of a worker and records it as sent.
  /// @return nothing if the worker needs no more watches.
  [[nodiscard]] std::optional<watch_request> NextWatch(const std::string& worker,
                                                       const instant& now);
  /// @return the delay before the next watch of a worker.
  [[nodiscard]] duration WatchDelay(const std::string& worker, const instant& now) const;
  void OnReport(const std::string& worker, time_point sent_at, const worker_report& report,
                const instant& now);
  /// @param sent_to  incarnation that the watch was sent to. The answer of another worker in its
  ///                 place says nothing about a later incarnation, which may have moved.
  void OnWatchFailed(const std::string& worker, watch_failure failure, const instant& now,
                     std::optional<std::int64_t> sent_to = std::nullopt);
  void OnStartAnswer(const start_order& sent, start_outcome outcome, const instant& now);
  /// @param acknowledged  whether the worker acknowledged the order.
  void OnStopAnswer(const stop_order& sent, bool acknowledged, const instant& now);

  // Advice.

  /// Sets how many long advice queries can be sent at once. Further steps wait for a free process
  /// before their workers are chosen, instead of queueing with workers that are full by then.
  void SetLongAdviceSlots(std::size_t slots) { long_advice_slots_ = slots; }
  /// @param allowed  null if the query was not answered.
  void OnAdvice(const advice_query& query, const std::vector<advised_worker>* allowed,
                const instant& now);

  // Store.

  /// @return whether there are records to store.
  [[nodiscard]] bool HasRecords() const;
  /// @return whether a caller waits for one of the records to store.
  [[nodiscard]] bool HasUrgentRecords() const { return urgent_; }
  /// Returns the next batch of records to store.
  [[nodiscard]] state_batch TakeBatch();
  /// Records that a batch is stored.
  void OnStored(std::uint64_t number, const instant& now);
  /// Records that a batch is certainly not stored. New jobs in it are refused permanently; its
  /// other records are kept for the next batch.
  void OnNotStored(std::uint64_t number);
  /// Refuses every new job that is in no batch yet. Called while the store is unavailable, so that
  /// callers learn it immediately and can retry in time.
  void RefuseUnsentJobs();
  /// @return whether a job was submitted and is neither accepted nor refused yet.
  [[nodiscard]] bool IsPending(std::string_view id) const;
  /// @return results for callers that became available since the last call.
  [[nodiscard]] std::vector<settled_job> TakeSettled() { return std::exchange(settled_, {}); }
  /// @return workers whose ended runs were stored since the last call. Their next watch
  ///         acknowledges these ends.
  [[nodiscard]] std::vector<std::string> TakeWorkersWithStoredEnds() {
    return std::exchange(workers_with_stored_ends_, {});
  }

  // Time.

  /// Handles timeouts and retries; call about every 50 ms.
  void Tick(const instant& now);
  /// Records the current delay of the event loop; call with each `Tick`.
  void RecordLoopDelay(duration delay);
  /// @return extra time to collect inputs before a scheduling pass: an overloaded leader handles
  ///         more inputs per pass.
  [[nodiscard]] duration ExtraPassDelay() const;
  /// @return whether the event loop is overloaded: its delay exceeds `kOverloadDelay`.
  [[nodiscard]] bool IsOverloaded() const { return loop_delay_ > kOverloadDelay; }
  /// Runs a scheduling pass, which places all tasks that fit. Call after inputs; several inputs may
  /// share one pass.
  void Schedule(const instant& now);
  /// @return the orders issued since the last call.
  [[nodiscard]] std::vector<order> TakeOrders() { return std::exchange(orders_, {}); }

  /// @return whether a worker reported a newer leader; this scheduler must issue no more orders.
  [[nodiscard]] bool Deposed() const { return deposed_; }
  [[nodiscard]] cell_counts Counts(const instant& now) const;
  /// @return attempts to place a waiting step, since the start.
  [[nodiscard]] std::uint64_t PlacementAttempts() const { return placement_attempts_; }
  /// @return the job timings recorded since the last call.
  [[nodiscard]] std::vector<job_timing> TakeTimings() { return std::exchange(timings_, {}); }
  /// @return a text for operators: steps with what each waits for, and workers with room, lease and
  ///         health.
  [[nodiscard]] std::string Dump(const instant& now) const;
  /// @return a text for operators: the state of a job, and why its waiting steps wait.
  [[nodiscard]] std::string Explain(std::string_view id, const instant& now) const;

 private:
  struct stored_effects;
  struct ended_job {
    std::string queue;
    job_phase phase{job_phase::kCompleted};
    std::int64_t ended_ms{0};
    std::string customer{};
    resources stopping{};  ///< max of runs that may still be active though they are not known
  };

  // scheduler_jobs.cc
  job_state* FindJob(std::string_view id);
  /// @return the step of a task; null if it is unknown or its occurrence is not active.
  step_state* FindStep(const task_name& name);
  /// Opens the occurrence of a task that a worker lists, if this leader hasn't: an earlier one
  /// whose clock was ahead has.
  /// @return the step of the task; null if there is no such task, or if its job isn't accepted or
  ///         has ended.
  step_state* FindOrOpenStep(const task_name& name, const instant& now);
  void RecordTiming(const job_state& job, bool ended, const instant& now);
  void OpenDueOccurrences(job_state& job, const instant& now);
  [[nodiscard]] occurrence_state& OpenOccurrence(job_state& job);
  /// Enters bytes of a job in the memory for jobs.
  void CountBytes(job_state& job, std::size_t bytes);
  void EraseJob(const std::string& id);
  void OpenSteps(job_state& job, occurrence_state& occurrence, const instant& now);
  void FinishTask(step_state& step, std::uint32_t index, const instant& now);
  void FinishStep(step_state& step, const instant& now);
  void FailTask(step_state& step, std::uint32_t index, std::uint32_t run, const std::string& worker,
                const instant& now);
  void EndJob(job_state& job, job_phase phase, const instant& now);
  void ForgetEndedJobs(const instant& now);
  void ResolveRules(job_state& job) const;
  void RetireEndedJobs(const instant& now);
  void FinishOccurrence(job_state& job, occurrence_state& occurrence, const instant& now);
  [[nodiscard]] submit_answer Admit(const job_spec& job, const job_prediction& predicted,
                                    const instant& now);
  /// @return how long a job would wait for the leader's event loop, in ms.
  [[nodiscard]] double EstimateLeaderDelayMs(const job_spec& job) const;
  [[nodiscard]] pool_load MeasureLoad(const std::string& pool) const;
  /// @return the load of a pool from a recent measurement.
  [[nodiscard]] const pool_load& RecentLoad(const std::string& pool, const instant& now);
  [[nodiscard]] double MeanSlackMs(const job_spec& job, const job_prediction& predicted);
  [[nodiscard]] bool FitsSomewhere(const job_spec& job) const;
  /// @return whether there is room for all tasks of a job's first step now.
  [[nodiscard]] bool HasRoomForFirstStep(const job_spec& job) const;
  void MarkDirty(job_state& job, bool urgent);

  // scheduler_store.cc
  void RefuseNewJob(const std::string& id, std::string_view reason);
  void RestoreJob(const std::string& id, const std::string& job_text,
                  const std::string& progress_text, const instant& now);
  /// Waits as for a worker that never answers until all leases of former leaders have ended: which
  /// workers they used isn't known.
  void WaitForUnknownWorkers(const instant& now);
  /// Logs how much of a job the store has as done.
  void LogRestoredJob(const job_state& job);
  void AckEndsWithoutRecords();
  /// A worker and its incarnation.
  using worker_incarnation = std::pair<std::string, std::int64_t>;
  /// Encodes the record of all workers and records it as sent with a batch.
  [[nodiscard]] std::string EncodeWorkers(std::uint64_t batch);
  /// Records that a batch with the record of all workers is stored.
  void SettleWorkerRecords(std::uint64_t batch);
  /// @return a worker if the incarnation is its newest known one; otherwise null.
  [[nodiscard]] worker_state* FindIncarnation(const std::string& worker, std::int64_t born);
  /// @return the task of this name; null if it is unknown or its occurrence is not active.
  [[nodiscard]] task_state* FindTask(std::string_view text);
  /// Holds each task that may run on closed workers until all their leases have ended.
  void HoldTasks();
  /// Ends the hold for one worker.
  void ReleaseTasks(worker_state& worker);
  /// @return the end of the leases that former leaders may have granted.
  [[nodiscard]] time_point FormerLeaseEnd(const instant& now) const;
  /// @return the time by which a lease must have ended to count as expired.
  [[nodiscard]] time_point LeaseClock(const instant& now) const {
    return std::min(now.steady, proven_at_);
  }
  /// @return how long ago this leader was certainly the only one, for the log; zero if nothing has
  ///         to be proven.
  [[nodiscard]] duration ProofAge(const instant& now) const {
    return proven_at_ == kNever ? duration{} : AgeForLog(proven_at_, now.steady);
  }
  /// @return whether neither a backoff nor a lease under which it may still run holds a task back.
  [[nodiscard]] bool IsDue(const task_state& task, const instant& now) const {
    return task.not_before <= now.steady && task.held_until <= LeaseClock(now);
  }

  // scheduler_runs.cc
  /// Adds a run to the counts and lists of its job, step and worker; `DetachRun` removes it.
  live_run& AttachRun(step_state& step, std::uint32_t index, worker_state& worker,
                      std::uint32_t number, const instant& now);
  live_run& BeginRun(step_state& step, std::uint32_t index, worker_state& worker,
                     std::uint32_t number, std::string checkpoint, std::string ticket,
                     const instant& now);
  void OrderStart(live_run& run, const instant& now);
  void OrderStop(live_run& run, const instant& now);
  void LogRepeatedOrder(const live_run& run, std::string_view order);
  live_run* FindRun(const std::string& worker, const std::string& task, std::uint32_t run);
  /// @param for_step  for a preemption: the step that needs the room.
  void StopRun(live_run& run, stop_reason reason, const instant& now,
               const step_state* for_step = nullptr);
  void EndRun(live_run& run, end_kind how, const std::string& checkpoint, const instant& now);
  void DetachRun(live_run& run);
  void ApplyEnd(step_state& step, std::uint32_t index, std::uint32_t run, end_kind how,
                const std::string& worker, const std::string& checkpoint, const instant& now);
  void ApplyGangEnd(step_state& step, std::uint32_t run, end_kind how, const std::string& worker,
                    const std::string& checkpoint, const instant& now);
  void AdoptRun(worker_state& worker, const running_row& row, const instant& now);
  void HandleEnd(worker_state& worker, const ended_row& row, const instant& now);
  /// Logs a report with rows that can't be read, once until one is whole again.
  void LogUnreadableReport(worker_state& worker, const worker_report& report);
  void EndMissingRuns(worker_state& worker, time_point sent_at, const worker_report& report,
                      const instant& now);
  void StopGang(step_state& step, const instant& now);
  void StopUnknownRun(worker_state& worker, const running_row& row, const instant& now);
  /// Records that a worker has said that a run started.
  void ConfirmRun(live_run& run, const instant& now);
  void HandleRefusedStart(live_run& run, start_outcome outcome, const instant& now);
  /// Ends the runs of a worker that doesn't answer, if its lease has certainly expired.
  void EndExpiredLease(worker_state& worker, const instant& now);
  void EndRunsAsLost(worker_state& worker, std::string_view cause, const instant& now);
  void RetryOrders(worker_state& worker, const instant& now);
  void StopStuckRuns(worker_state& worker, const instant& now);
  void StopRunsOnDrainingWorker(worker_state& worker, const instant& now);
  void ThrottleLeftoverRuns(worker_state& worker);
  void DropWorker(const std::string& id);
  void SettleWorker(const std::string& id, std::string_view how, const instant& now);
  [[nodiscard]] duration MaxLeaseDuration() const;
  /// Records that a worker is sent a lease. Its end is decided here alone: if it were counted from
  /// the sending, a process that stood still before that would grant more than it recorded.
  /// @return the end of the lease, to be sent as such.
  [[nodiscard]] time_point GrantLease(worker_state& worker, const instant& now) const;
  /// @return the run number for a task's `count`-th run under this leadership.
  [[nodiscard]] std::uint32_t RunNumber(std::uint32_t count) const;

  // scheduler_incarnations.cc
  /// Begins a new incarnation of a worker. Runs that certainly ended with the former one end as
  /// lost; a run that may have started or may still start in the new one is stopped there.
  /// @param report  report of the new incarnation that shows it; null: its registry record.
  /// @param sent_at  when the watch that brought the report was sent.
  void BeginIncarnation(worker_state& worker, std::int64_t born, const worker_report* report,
                        time_point sent_at, const instant& now);
  /// Stops a run that may execute in the worker's new incarnation.
  void StopInNewIncarnation(live_run& run, const instant& now);
  /// Stops the runs of late start orders in the worker's new incarnation.
  void StopLateStarts(worker_state& worker, const instant& now);
  /// Keeps a run's start order in `worker_state::late_starts` if it may still be in flight.
  void RecordLateStart(const live_run& run);
  /// Handles a report of a former incarnation. It counts as an unanswered watch if the watch was
  /// sent since the new one is known.
  void IgnoreReport(const worker_state& worker, std::int64_t born, time_point sent_at,
                    const instant& now);

  // scheduler_progress.cc
  /// @return the typical run time of a step's tasks, from ended runs and from active runs on
  ///         workers other than `excluded_worker`; nothing if there are too few samples.
  [[nodiscard]] std::optional<duration> TypicalRunTime(const step_state& step,
                                                       const worker_state& excluded_worker) const;
  /// @return the remaining time of a run at its current speed, and its slowdown.
  [[nodiscard]] std::optional<run_outlook> EstimateOutlook(const live_run& run,
                                                           const instant& now) const;
  void RecordRunSpeed(const live_run& run, duration took);
  void RescueSlowRuns(worker_state& worker, const instant& now);
  /// Withdraws what speaks against the worker that a task was moved from, if the task is as slow on
  /// its present one.
  void AcquitFormerWorker(const live_run& run, const run_outlook& outlook);
  /// @return the time of a new start on a worker until its end.
  [[nodiscard]] static duration ExpectedTimeOn(const worker_state& worker,
                                               const run_outlook& outlook);
  /// @return whether another worker has room for a slow run now and would end it clearly sooner.
  [[nodiscard]] bool HasFasterPlace(const live_run& run, const run_outlook& outlook,
                                    const instant& now) const;
  /// @return how often a task, or its gang, was moved as slow.
  [[nodiscard]] static std::uint32_t CountSlowMoves(const step_state& step, std::uint32_t index);
  void RescueRun(live_run& run, const run_outlook& outlook, const instant& now);
  [[nodiscard]] bool MayRescueRun() const;

  // scheduler_estimates.cc
  /// @return run times by what earlier runs took, and the objective that follows from them.
  [[nodiscard]] job_prediction PredictJob(const job_spec& job) const;
  static void ApplyPrediction(job_state& job, job_prediction predicted);
  void LogPrediction(const job_spec& spec, const job_state& job);
  /// @return the run time of a step's tasks by what earlier jobs took; nothing if their run times
  ///         differ too much to tell which run is slow.
  [[nodiscard]] std::optional<duration> TypicalOfEarlierJobs(const step_state& step) const;
  void LearnRunTime(const live_run& run, duration took);
  /// Decides whether the model of run times is stored with the next batch.
  void ScheduleRunTimeRecord(const instant& now);

  // scheduler_placement.cc
  [[nodiscard]] bool IsStartable(const step_state& step) const;
  /// @return whether a step that found no room would fail again, since no room was freed on workers
  ///         that it may run on.
  [[nodiscard]] bool StillBlocked(const step_state& step, const instant& now) const;
  /// Records that a step found no room.
  void MarkBlocked(step_state& step, const instant& now) const;
  /// Records that room was freed at a worker.
  void RecordFreedRoom(worker_state& worker) { worker.room_version = ++room_version_; }
  /// Records that any step may find room now.
  void RecordRoomForAnyStep() { all_room_version_ = ++room_version_; }
  /// Records that a step may have tasks to start, because it opened or a run of it ended.
  void AddWaitingStep(step_state& step) {
    const bool counts = step.open && !IsTerminal(step.job->phase);
    if (counts && !std::exchange(step.listed, true)) {
      waiting_steps_.push_back(&step);
    }
  }
  /// Rebuilds the lists of open and waiting steps.
  void RefreshStepLists();
  /// Removes the steps of a job from all lists.
  void DropSteps(const job_state& job);
  /// @return the open steps that may find room now, in scheduling order.
  [[nodiscard]] std::vector<step_state*> StepsInPlacementOrder(const instant& now);
  [[nodiscard]] bool MayRunOnUnsettledWorker(const step_state& step) const;
  void PlaceTasks(step_state& step, const instant& now);
  [[nodiscard]] bool IsEligible(const step_state& step, const task_state* task,
                                const worker_state& worker, const instant& now) const;
  /// @return whether each task of a step may fail once more without failing the job. Only then may
  ///         a starved step use a worker that is excluded for failures.
  [[nodiscard]] static bool HasSpareAttempt(const step_state& step);
  /// @return the share of each worker of a pool that is reserved for urgent work. Zero if no queue
  ///         of the pool is urgent: a reserve would then only waste room, such as every second
  ///         place for tasks that need half of a worker's processors.
  [[nodiscard]] double UrgentReserveShare(const std::string& pool) const;
  /// @return whether all workers are considered for a step, because its pool is small or the best
  ///         placement depends on more than processor utilization.
  [[nodiscard]] bool ScansAllWorkers(const step_state& step);
  [[nodiscard]] bool Fits(const step_state& step, const worker_state& worker) const;
  [[nodiscard]] double Score(const step_state& step, const worker_state& worker) const;
  worker_state* PickWorker(const step_state& step, const task_state& task, bool advised,
                           const instant& now);
  void PreemptForStep(step_state& step, std::uint32_t tasks, const instant& now);
  bool PreemptOnWorker(step_state& step, worker_state& worker, const instant& now);
  [[nodiscard]] std::uint32_t CountRunsOn(const step_state& step, const worker_state& worker) const;

  // scheduler_customers.cc
  /// Connects a job with the account of its customer.
  void AssignCustomer(job_state& job);
  /// Charges a run to the limit of a customer; `DetachRun` releases it.
  static void ChargeCustomer(live_run& run, customer_account* customer, const resources& amount);
  /// @return max resources of a job's runs that a former leader may have started and that no worker
  ///         has reported yet.
  [[nodiscard]] resources UnreadUsage(const job_state& job, const instant& now) const;
  /// Estimates what the customers' runs use that a former leader may have started and that no
  /// worker has reported yet.
  void EstimateUnreadUsage(const instant& now);
  /// @return max resources of runs that are not known, on workers that may have such runs; nothing
  ///         if there are no such workers.
  [[nodiscard]] std::optional<resources> UnreadRoom() const;
  /// @return how many more tasks of a step its customer's limit allows to start now.
  [[nodiscard]] static std::uint32_t CountStartsWithinLimit(const step_state& step);
  /// @return whether its customer's limit allows a job's gangs to run at all.
  [[nodiscard]] bool FitsCustomerLimit(const job_spec& job);
  // scheduler_advice.cc
  /// Workers that an advice query may name; each list has the best first.
  struct advice_candidates {
    std::vector<worker_state*> allowed;  ///< with room; allowed, but their tickets have expired
    std::vector<worker_state*> unknown;  ///< with room; no advice about them yet
    std::vector<worker_state*> full;     ///< without room; no advice about them yet
  };
  /// @return the best workers for a step, best first, at most as many as one query may name.
  [[nodiscard]] std::vector<worker_state*> SelectBestWorkers(
      const step_state& step, const std::vector<worker_state*>& workers) const;
  [[nodiscard]] advice_candidates FindAdviceCandidates(const step_state& step, const instant& now);
  /// @return the share of named workers that advice allowed to steps of the same queue.
  [[nodiscard]] double& AdvisedShare(const step_state& step);
  /// @return how many workers to name for this many tasks, by the usual share that is allowed.
  [[nodiscard]] std::size_t CountNamesFor(const step_state& step, std::uint32_t tasks);
  /// @return the workers to name in a query that should allow `tasks` tasks of a step to start.
  [[nodiscard]] std::vector<std::string> ChooseWorkersToQuery(const step_state& step,
                                                              std::uint32_t tasks,
                                                              const instant& now);
  [[nodiscard]] std::vector<std::string> UnsettledWorkersToQuery(const step_state& step) const;
  void QueryUnsettledWorkers(step_state& step, const instant& now);
  void RequestAdvice(step_state& step, std::uint32_t tasks, const instant& now);
  /// @return whether a query for a step may be sent now; gives up an overdue one.
  [[nodiscard]] bool MayRequestAdvice(step_state& step, const instant& now);
  void SendAdviceQuery(step_state& step, std::vector<std::string> workers, std::uint32_t tasks,
                       const instant& now);

  // scheduler_reservations.cc
  /// Reserves workers for tasks of a step that has waited long, and preempts runs there if
  /// allowed.
  void ReserveWorkers(step_state& step, std::uint32_t tasks, const instant& now);
  void ReleaseReservations(step_state& step);
  /// @return workers that the step may run on and that no other step has reserved, earliest free
  ///         first.
  [[nodiscard]] std::vector<worker_state*> ReservableWorkers(const step_state& step,
                                                             const instant& now) const;
  /// @return the estimated time until a worker has room for a task of a step.
  [[nodiscard]] duration TimeUntilRoom(const step_state& step, const worker_state& worker,
                                       const instant& now) const;
  /// @return whether a worker reserved for a step will have room before an advice query is
  ///         answered.
  [[nodiscard]] bool HasRoomSoon(const step_state& step, const worker_state& worker,
                                 const instant& now) const;
  [[nodiscard]] bool MayPreempt(const step_state& step, const live_run& run) const;

  // scheduler_gangs.cc
  void PlaceGang(step_state& step, const instant& now);
  /// @return a worker for each member; empty if not all members can be placed.
  [[nodiscard]] std::vector<worker_state*> AssignGangWorkers(
      const step_state& step, const std::vector<worker_state*>& candidates) const;
  void RequestGangAdvice(step_state& step, const instant& now);
  /// @return how many workers without advice a gang names in one query.
  [[nodiscard]] std::size_t CountWorkersForGangQuery(const step_state& step);
  void StartGang(step_state& step, const std::vector<worker_state*>& places, const instant& now);

  // scheduler_stalls.cc
  /// @return whether a step has a task to start, and its job nothing else in progress.
  [[nodiscard]] bool MayStall(const step_state& step, const instant& now) const;
  [[nodiscard]] advice_phase AdvicePhaseOf(const step_state& step, const instant& now) const;
  /// @return how many tasks of a step fit into the free room of a worker that it may run on, also
  ///         where the scheduler doesn't let them start there.
  [[nodiscard]] std::size_t CountPlaces(const step_state& step, const worker_state& worker) const;
  [[nodiscard]] stall_view DiagnoseStall(const step_state& step, const instant& now) const;
  void DetectStalls(const instant& now);
  void CheckStall(step_state& step, const instant& now);
  void EndStall(step_state& step, const instant& now);
  /// Records that a starved step starts a run on a worker, which another step may have reserved.
  void RecordUseOfReservation(const worker_state& worker, const step_state& by, const instant& now);

  // scheduler_views.cc
  [[nodiscard]] wait_view DiagnoseWait(const step_state& step, const instant& now) const;
  void LogWaitingStep(step_state& step, const instant& now);
  void LogLimitWait(const step_state& step, const instant& now);

  /// A leader whose event loop is delayed by more than this sheds load: it watches workers less
  /// often, handles more inputs per pass, ignores measured run times, since they include its own
  /// delay, and admits fewer jobs.
  static constexpr duration kOverloadDelay = std::chrono::milliseconds{50};
  static constexpr std::size_t kUnlimitedAdviceSlots = std::numeric_limits<std::size_t>::max();
  static constexpr std::uint32_t kNoAdmissionLimit = 1U << 20U;
  /// Max workers with room that are compared for a step in a large pool; comparing more gives no
  /// better placement.
  static constexpr std::size_t kMaxCandidateWorkers = 120;
  /// Max unsettled workers after a leader change for which advice is requested. If there are more,
  /// most are about to answer.
  static constexpr std::size_t kMaxUnsettledWorkers = 8;

  scheduler_settings settings_;
  std::uint64_t epoch_;
  event_sink& log_;
  cell_configuration configuration_;
  customer_accounts customers_;
  std::set<std::string> urgent_pools_;  ///< pools with an urgent queue
  std::unordered_map<std::string, std::unique_ptr<job_state>> jobs_;
  job_memory job_memory_{settings_.max_job_bytes};  ///< of `jobs_`
  std::unordered_map<std::string, ended_job> ended_;
  std::map<std::string, std::unique_ptr<worker_state>> workers_;  ///< in a fixed order
  fill_index fill_;                                               ///< indexes `workers_`
  std::map<std::string, time_point> unsettled_;  ///< see `OldRunsSettled`; expiry of each lease
  std::vector<step_state*> open_steps_;
  std::vector<step_state*> waiting_steps_;       ///< open steps that may have tasks to start
  std::map<std::string, pool_load> loads_;       ///< by pool
  std::map<std::string, double> mean_slack_ms_;  ///< by queue: mean time that its jobs can wait
  std::map<std::string, double> advised_share_;  ///< by queue: share of named workers allowed
  run_time_model run_times_;
  bool run_times_changed_{false};  ///< since they were last due to be stored
  bool run_times_due_{false};      ///< to be stored with the next batch
  time_point next_run_times_record_{};
  std::uint64_t run_times_learned_{0};
  std::vector<order> orders_;
  std::vector<settled_job> settled_;
  std::vector<job_timing> timings_;
  std::vector<std::string> workers_with_stored_ends_;
  std::set<std::string> workers_with_unstored_ends_;
  std::vector<std::string> dirty_;      ///< jobs with unstored changes
  std::vector<std::string> forgotten_;  ///< ended jobs whose records must be deleted
  std::vector<std::string> retiring_;   ///< jobs to check for retirement to `ended_`
  std::vector<stored_record> restoring_;
  bool workers_dirty_{false};
  bool urgent_{false};
  bool deposed_{false};
  std::uint64_t room_version_{1};      ///< increases whenever room is freed or a worker is added
  std::uint64_t all_room_version_{1};  ///< room version of the last change that may affect any step
  std::uint64_t next_batch_{1};
  std::size_t long_advice_slots_{kUnlimitedAdviceSlots};
  std::uint64_t placement_attempts_{0};
  std::uint64_t workers_considered_{0};
  std::uint64_t worker_restarts_{0};
  std::uint64_t advice_unused_{0};  ///< answers of advice after which nothing started
  duration newest_delay_{};         ///< last value passed to `RecordLoopDelay`
  duration loop_delay_{};  ///< smaller of the last two delays: one delayed tick has no effect
  std::uint32_t admitted_since_tick_{0};              ///< jobs admitted since the last tick
  std::uint32_t admission_limit_{kNoAdmissionLimit};  ///< max jobs admitted until the next tick
  std::map<std::uint64_t, stored_effects> storing_;
  time_point next_forget_{};
  time_point restored_at_{};
  std::optional<time_point> former_leaders_send_until_{};
  time_point proven_at_{kNever};
  bool awaits_proof_{false};  ///< see `AwaitsProof`
  std::size_t stall_cursor_{
      0};  ///< index in `waiting_steps_` of the next step to check for a stall
  bool has_unread_usage_{false};  ///< `EstimateUnreadUsage` found some
};

}  // namespace rosearch::sched

#endif  // ROSEARCH_SCHED_SCHEDULER_H_
