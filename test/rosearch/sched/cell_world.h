#ifndef TEST_ROSEARCH_SCHED_CELL_WORLD_H_
#define TEST_ROSEARCH_SCHED_CELL_WORLD_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "rosearch/core/random_source.h"
#include "rosearch/log/event_line.h"
#include "rosearch/sched/scheduler.h"

namespace rosearch::sched {

/// Event sink that records log lines for assertions.
class recording_sink final : public event_sink {
 public:
  void Write(const event_line& line) override { lines.push_back(line.text()); }
  [[nodiscard]] bool Has(const std::string& part) const;

  std::vector<std::string> lines;
};

/// Probabilities of the faults that a simulated cell injects; 0 disables a fault.
struct world_faults {
  double order_answer_lost{0};   ///< per order: executed, but the answer is lost
  double order_delayed{0};       ///< per order: not answered, executed 2 to 12 s later
  double run_fails{0};           ///< per run: ends as failed
  double store_refuses{0};       ///< per append: refused
  double store_answer_lost{0};   ///< per append: stored, but the answer is lost
  double store_drops{0};         ///< per append: neither stored nor answered
  double advice_answer_lost{0};  ///< per advice query: never answered
  double worker_restarts{0};     ///< per worker and second: restarts under a new id
  double in_place_restarts{0};   ///< per worker and second: restarts under its id
  double worker_unreachable{0};  ///< per worker and second: unreachable for 1 to 9 s
  double leader_dies{0};         ///< per second: replaced by a new leader
  double stale_orders{0};        ///< per order of a former leader: arrives seconds late; unused
};

/// Processor time that a leader with a whole processor spends on its work; 0 means free.
struct leader_cost {
  duration message{};  ///< per answer, report or request received
  duration attempt{};  ///< per attempt to place a waiting step
  duration order{};    ///< per order sent

  friend bool operator==(const leader_cost&, const leader_cost&) = default;
};

/// Configuration of a simulated cell.
struct world_options {
  resources worker{};               ///< capacity of each; 0: 8 to 32 processors, no accelerators
  advice_cost long_queue_advice{};  ///< of the long queue; 0: it needs no advice
  std::uint32_t advice_allowed_tenths{7};  ///< tenths of the workers that advice allows
  std::size_t max_advice_queries{0};       ///< concurrent advice queries; 0: unlimited
  bool has_urgent_queue{true};             ///< whether an urgent queue shares the workers
  leader_cost cost{};
};

/// Discrete-event simulation of a cell in virtual time: one leading scheduler, workers that start
/// every run they are ordered to, a store, advice and callers. The same seed gives the same run.
/// Records each violated invariant instead of failing at once.
class cell_world {
 public:
  cell_world(std::uint64_t seed, const world_faults& faults, std::size_t workers,
             const scheduler_settings& settings = {}, const world_options& options = {});
  ~cell_world();

  /// Submits a job under a generated id.
  /// @return the id.
  /// @param real_factor  real run times as a multiple of the declared estimates.
  std::string Submit(job_spec job, double real_factor = 1);
  void Cancel(const std::string& id);
  /// Advances virtual time, then checks the phases of all jobs.
  void Run(duration span);
  /// Stops injecting random faults. Faults that have already begun run their course.
  void ClearFaults() { faults_ = {}; }
  void SetFaults(const world_faults& faults) { faults_ = faults; }
  /// Replaces the leader by a new one that restores from the store, and clears the log.
  void ReplaceLeader();
  void DisconnectWorker(std::size_t number, duration span);
  /// Sets the share of a processor that the leader has from now on.
  void SetLeaderProcessorShare(double share) { processor_share_ = share; }
  /// Makes every run that starts at the worker from now on end as failed.
  void MakeWorkerFail(std::size_t number);
  /// Multiplies the duration of runs that start at the worker from now on; 1 is normal speed.
  void SetWorkerSlowdown(std::size_t number, double factor);

  /// @return descriptions of the invariants violated so far, with their times.
  [[nodiscard]] const std::vector<std::string>& Violations() const { return violations_; }
  [[nodiscard]] std::optional<job_phase> Phase(const std::string& id) const;
  /// @return ids of accepted jobs that haven't reached a terminal phase; services are left out.
  [[nodiscard]] std::vector<std::string> Unfinished() const;
  [[nodiscard]] std::size_t StartCount() const { return start_count_; }
  [[nodiscard]] bool Refused(const std::string& job) const { return jobs_.at(job).refused; }
  [[nodiscard]] std::size_t RunningCount(const std::string& job) const;
  [[nodiscard]] scheduler& Leader() { return *leader_; }
  [[nodiscard]] const recording_sink& Log() const { return log_; }
  [[nodiscard]] instant Now() const;
  /// @return time from submission to the latest successful task end; nothing before the first.
  [[nodiscard]] std::optional<duration> CompletionTime(const std::string& job) const;

  static constexpr std::string_view kQueue = "cell.test/jobs/";
  static constexpr std::string_view kLongQueue = "cell.test/plans/";
  static constexpr std::string_view kPool = "pool";

 private:
  struct fake_run {
    std::uint32_t run{0};
    time_point began{};
    time_point ends{};
    bool fails{false};
    std::string checkpoint;
    resources charged{};
  };
  struct fake_worker {
    worker_facts facts;
    std::uint64_t fence{0};
    time_point lease_until{};
    time_point unreachable_until{};
    bool always_fails{false};
    double slowdown{1};
    std::uint64_t ended_count{0};
    std::map<std::string, fake_run> running;
    std::vector<ended_row> ended;
    std::map<std::string, std::uint32_t> max_ended_run;  ///< per task; runs up to it can't start
  };
  struct submitted_job {
    job_spec spec;
    double real_factor{1};
    bool accepted{false};
    bool refused{false};
    std::optional<time_point> cancelled;
    std::set<std::string> done;                             ///< tasks that succeeded at a worker
    std::map<std::string, std::set<std::uint32_t>> failed;  ///< acknowledged failed runs per task
    std::set<std::string> acked_done;  ///< tasks whose success the leader acknowledged
    time_point submitted_at{};
    time_point last_done_at{};
  };

  void ScheduleAt(time_point when, std::function<void()> what);
  void ScheduleAfter(duration span, std::function<void()> what) {
    ScheduleAt(now_ + span, std::move(what));
  }
  /// Queues an action for the leader, which runs it after all earlier ones; runs it at once where
  /// the leader's work is free.
  void EnqueueForLeader(std::function<void()> what);
  void ScheduleInbox();
  void RunNextAction();
  /// Runs a scheduling pass: at once where the leader's work is free, else after the pass interval.
  void RequestPass();
  void RunPass();
  void StartLeader();
  /// @param due  when the tick was scheduled to run; a later start counts as leader delay.
  void Tick(std::uint64_t epoch, time_point due);
  void ScheduleTick(duration pause);
  void StorePending();
  void SendBatch(std::uint64_t epoch, const state_batch& batch, bool may_be_stored);
  void SendWatch(const std::string& id, std::uint64_t epoch);
  /// @param asked  incarnation that the watch reached; its restart breaks the connection.
  void AnswerWatch(const std::string& id, std::uint64_t epoch, const watch_request& watch,
                   time_point sent_at, time_point give_up, std::optional<std::int64_t> asked);
  void Execute(const order& decided);
  void Execute(const start_order& decided);
  void Execute(const stop_order& decided);
  void Execute(const pace_order&) {}
  void Execute(const advice_query& decided);
  start_outcome Apply(const start_order& order, std::uint64_t fence);
  bool Apply(const stop_order& order, std::uint64_t fence);
  void CheckStart(const fake_worker& worker, const start_order& order);
  void EndRun(fake_worker& worker, const std::string& key, end_kind how);
  void AdvanceWorker(fake_worker& worker);
  void InjectFaults();
  /// @return all runs and unacknowledged ends of a worker.
  [[nodiscard]] worker_report ReportOf(const fake_worker& worker);
  /// Restarts a worker under its id. The leader learns it from a report or from the record, and may
  /// get a report of the former incarnation after that.
  void RestartInPlace(const std::string& id);
  void AckEnds(fake_worker& worker, std::uint64_t end);
  [[nodiscard]] fake_worker* FindWorker(const std::string& id);
  [[nodiscard]] bool Reachable(const fake_worker& worker) const {
    return now_ >= worker.unreachable_until;
  }
  void AddViolation(const std::string& what);

  random_source random_;
  world_faults faults_;
  scheduler_settings settings_;
  world_options options_;
  std::vector<time_point> advice_free_at_;  ///< per process that sends advice queries
  recording_sink log_;
  time_point now_;
  std::multimap<time_point, std::function<void()>> events_;
  std::unique_ptr<scheduler> leader_;
  std::uint64_t epoch_{0};
  double processor_share_{1};
  std::deque<std::function<void()>> inbox_;  ///< actions that the leader has yet to run
  time_point busy_until_{};
  time_point last_pass_at_{};
  std::size_t order_count_{0};  ///< sent by all leaders so far
  bool action_scheduled_{false};
  bool pass_pending_{false};
  std::map<std::string, std::string> store_;
  bool append_pending_{false};
  std::map<std::string, fake_worker> workers_;
  std::set<std::string> watched_;
  std::map<std::string, submitted_job> jobs_;
  std::vector<std::string> violations_;
  std::uint64_t next_id_{1};
  std::uint64_t next_worker_{1};
  std::size_t start_count_{0};
};

}  // namespace rosearch::sched

#endif  // TEST_ROSEARCH_SCHED_CELL_WORLD_H_
