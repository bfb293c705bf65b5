#ifndef ROSEARCH_CELL_LEADER_H_
#define ROSEARCH_CELL_LEADER_H_

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "rosearch/cell/advice_dispatcher.h"
#include "rosearch/cell/call_intake.h"
#include "rosearch/cell/cell_metrics.h"
#include "rosearch/cell/leadership_proof.h"
#include "rosearch/cell/ports.h"
#include "rosearch/core/time.h"
#include "rosearch/log/event_line.h"
#include "rosearch/metrics/metric_set.h"
#include "rosearch/platform/clock.h"
#include "rosearch/sched/scheduler.h"

namespace rosearch::cell {

/// Intervals, timeouts and limits of a `leader`.
struct leader_settings {
  sched::scheduler_settings scheduler{};
  /// Minimum interval between two scheduling passes. At hundreds of starts per second each pass
  /// handles several ended runs; one pass per ended run would use most of the process's time.
  duration pass_interval{std::chrono::milliseconds{4}};
  /// Interval between checks of timers, such as leases and timeouts.
  duration tick_interval{std::chrono::milliseconds{50}};
  /// The process counts as overloaded when a tick fires later than this.
  duration lateness_threshold{std::chrono::milliseconds{100}};
  /// Records that no caller waits for are held back this long, so that one append carries many.
  duration max_collect_delay{std::chrono::milliseconds{15}};
  /// Maximum number of batches in flight. With only one, a job would also wait for the preceding
  /// batch, both on acceptance and on completion, which matters when an append takes 250 ms.
  std::size_t max_batches_in_flight{4};
  /// Minimum interval between sending two batches; the interval is at least the usual append time
  /// divided by `max_batches_in_flight`. A fast store has answered by then, and a slow one, which
  /// handles batches one at a time, isn't sent more than it can handle.
  duration min_batch_interval{std::chrono::milliseconds{12}};
  /// Delay before an unanswered or refused append is retried.
  duration store_retry_interval{std::chrono::milliseconds{100}};
  /// Upper limit of that delay, which doubles with each failure, while copies of a batch may still
  /// be executed.
  duration max_refused_pause{std::chrono::milliseconds{800}};
  /// Interval between probes of an unavailable store. Pending calls time out only after seconds, so
  /// without probes its recovery would be noticed late.
  duration store_probe_interval{std::chrono::milliseconds{150}};
  /// Interval between two reads of the worker registry. A worker that announces its departure must
  /// get no new work after 2 s; this allows three attempts.
  duration registry_read_interval{std::chrono::milliseconds{450}};
  /// Long-poll timeout of a configuration read. Two reads fit into the time by which a published
  /// version must be in force.
  duration configuration_poll_timeout{std::chrono::milliseconds{900}};
  /// After a store outage, a worker missing from the registry is removed only after this period,
  /// because its entry may reappear.
  duration registry_grace_period{std::chrono::milliseconds{2'600}};
  leadership_proof_settings proof{};
  /// A proof older than this is renewed by a request to the store. Leaves time for the answer.
  duration proof_renewal_age{std::chrono::milliseconds{750}};
  /// Minimum interval between two such requests.
  duration proof_renewal_interval{std::chrono::milliseconds{250}};
  /// Max time that an order which was sent with a proof may take to arrive.
  duration order_delivery_time{std::chrono::milliseconds{500}};
  /// Maximum age of the newest proof by the store at which a job that is missing here is answered
  /// as unknown. A read waits for up to 1 s; every process must know a job 3 s after its
  /// acceptance.
  duration max_claims_read_age{std::chrono::milliseconds{2'500}};
  /// A gap between ticks longer than this means that the process was paused.
  duration pause_threshold{std::chrono::milliseconds{400}};
  /// New jobs are refused at once when an append has been unanswered for this long and for three
  /// times the usual append time.
  duration min_store_timeout{std::chrono::milliseconds{600}};
  /// Upper limit of the timeout derived from the usual append time. A caller that is refused by
  /// then can still retry in time.
  duration max_store_timeout{std::chrono::milliseconds{1'500}};
  /// Timeout after which a caller that still waits for the store is answered with status 504.
  duration caller_timeout{std::chrono::milliseconds{2'500}};

  friend bool operator==(const leader_settings&, const leader_settings&) = default;
};

/// Callbacks of a `leader` into its process, all called on the thread of the io_context.
struct leader_hooks {
  /// Called before each slice of workers is watched for the first time.
  /// @return the pause before the next slice.
  std::function<duration()> watch_pause;
  std::function<void()> on_end;  ///< called once when the leadership ends
};

/// One leadership of the cell, from the winning claim to its end. Restores the stored state of
/// earlier leaders, then executes the decisions of a `sched::scheduler` and feeds it the answers.
/// @tparam Ports  the interface to external systems; see `cell_ports`.
template <typename Ports>
class leader : public std::enable_shared_from_this<leader<Ports>> {
 public:
  using respond = std::function<void(caller_answer)>;

  /// @param epoch   epoch of the winning claim.
  /// @param hooks   callbacks, none of them empty.
  leader(boost::asio::io_context& io, Ports& ports, leader_settings settings, std::uint64_t epoch,
         event_sink& log, metric_set& metrics, leader_hooks hooks)
      : io_{io},
        ports_{ports},
        settings_{std::move(settings)},
        epoch_{epoch},
        log_{log},
        metrics_{metrics},
        hooks_{std::move(hooks)},
        scheduler_{settings_.scheduler, epoch, log},
        tick_timer_{io},
        pass_timer_{io},
        writer_timer_{io},
        registry_timer_{io},
        configuration_timer_{io},
        watch_timer_{io} {}

  /// Fences the former leader and takes over its state.
  /// @param claimed_at  when the claim was sent, or the read of the claims that found it.
  void Begin(time_point claimed_at) {
    began_at_ = SteadyNow();
    log_.Write(event_line{"leader_begins", event_weight::kStateChange}.Add("epoch", epoch_));
    last_tick_ = Boottime();
    OnNoNewerClaim(claimed_at);
    // Run concurrently: in sequence, callers would wait for several answers of a slow store.
    Fence();
    ReadConfiguration({});
  }

  /// @return whether callers are served.
  [[nodiscard]] bool Serving() const { return serving_ && !ended_; }
  /// @return whether work of the former leader may still run unnoticed, as not every worker has
  ///         answered yet.
  [[nodiscard]] bool Restoring() const { return !serving_ || !scheduler_.OldRunsSettled(); }
  [[nodiscard]] std::uint64_t epoch() const { return epoch_; }
  /// @return the number of known workers.
  [[nodiscard]] std::size_t Workers() const { return workers_; }
  [[nodiscard]] const sched::cell_configuration& configuration() const {
    return scheduler_.configuration();
  }

  /// Records that the store held no newer claim at a date. Ignored if this process was paused since
  /// then, as its clock may have stood still.
  void OnNoNewerClaim(time_point at) {
    if (at >= resumed_at_) {
      proof_.OnNoNewerClaim(std::min(at, SteadyNow()));
    }
  }

  /// Records a ping of a process that knows no newer leader.
  /// @param heard_at  date of the newest answer of this leader that the process had received; zero:
  ///                  none.
  void OnPeerPing(const std::string& process, time_point heard_at) {
    const auto now = SteadyNow();
    proof_.OnPing(process, heard_at >= resumed_at_ ? heard_at : time_point{}, now);
  }

  /// Records a process that may claim leadership and hasn't pinged this leader yet.
  void ExpectPeer(const std::string& process) { proof_.Expect(process, SteadyNow()); }

  /// Records that the former leaders have lost their proof of leadership.
  void OnPredecessorsStopped();

  /// Sets the processes that can query the advice service; an empty string names this process.
  void SetHelpers(const std::vector<std::string>& helpers) {
    advice_.SetHelpers(helpers);
    PostPump();
  }

  /// Handles one caller's request, at once or after the events that are ready.
  void Handle(const caller_request& request, duration time_left, respond answer);

  /// Stores pending decisions, then ends the leadership.
  void Resign() {
    resigning_ = true;
    PostPump();
  }

  /// Ends the leadership at once.
  void End(std::string_view cause);

  [[nodiscard]] std::string Dump() const { return scheduler_.Dump(Now()); }
  [[nodiscard]] std::string Explain(std::string_view job) const {
    return scheduler_.Explain(job, Now());
  }
  /// Copies the scheduler's counts into the metrics.
  void FillMetrics();

 private:
  using self_pointer = std::shared_ptr<leader>;

  struct waiting_caller {
    respond answer;
    time_point answer_by;
    time_point came_at{};
    duration objective{};  ///< of its job; 0: it cancels
    bool cancels{false};
  };
  /// A call that waits for a slice.
  struct queued_call {
    caller_request request;
    std::string job;
    call_turn turn{call_turn::kInOrder};
    time_point arrived_at;
    time_point answer_by;
    respond answer;
  };
  /// What the oldest append says about new jobs.
  enum class store_condition : std::uint8_t {
    kUsable,
    kAway,        ///< the store doesn't answer, or refused
    kLeaderLate,  ///< the append is overdue, but not because of the store
  };
  struct batch_in_flight {
    std::uint64_t number{0};
    std::uint64_t sequence{0};
    std::vector<std::string> records;
    time_point sent_at{};
    loop_mark sent_mark{};
    bool stored{false};
    bool out_of_order{false};     ///< arrived before its predecessor: the store refused it
    std::uint32_t failures{0};    ///< failed attempts
    std::uint32_t copies{0};      ///< how often it was sent
    std::uint32_t unanswered{0};  ///< copies that weren't refused: they may be executed at any time
  };

  [[nodiscard]] static sched::instant Now() {
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    return {SteadyNow(), std::chrono::duration_cast<std::chrono::milliseconds>(wall).count()};
  }
  /// Unlike the steady clock, includes the time while the machine is suspended.
  [[nodiscard]] static duration Boottime() {
    timespec read{};
    clock_gettime(CLOCK_BOOTTIME, &read);
    return std::chrono::seconds{read.tv_sec} +
           std::chrono::duration_cast<duration>(std::chrono::nanoseconds{read.tv_nsec});
  }

  /// @return whether no newer leader can have taken over the work that this one would touch.
  /// Without this check a process that was paused would send orders from stale state.
  [[nodiscard]] bool MayAct() {
    DetectProcessPause();
    return !ended_ && proof_.Holds(SteadyNow());
  }
  /// @return whether a job that is unknown here is unknown to every process. A majority of the
  /// peers isn't enough: they may still follow this leader after a newer one has accepted jobs.
  [[nodiscard]] bool AllJobsKnown() {
    return MayAct() && SteadyNow() - proof_.NoNewerClaimAt() < settings_.max_claims_read_age;
  }
  void DetectProcessPause() {
    const auto now = Boottime();
    if (now - last_tick_ > settings_.pause_threshold) {
      log_.Write(
          event_line{"stood_still", event_weight::kStateChange}.Add("for_ms", now - last_tick_));
      resumed_at_ = SteadyNow();
      proof_.Discard();
      VerifyLeadership();
    }
    last_tick_ = std::max(last_tick_, now);
  }
  /// Tells the scheduler what is proven, and asks the store where that is old.
  void RenewProof();
  /// Tells the scheduler until when former leaders may have sent orders.
  void LimitFormerLeaders();
  void VerifyLeadership();
  template <typename Callback>
  void AppendNothing(Callback on_answer);

  void Fence();
  void ReadState(const std::string& after);
  void ReadConfiguration(const std::string& after);
  void ReadWorkers(const std::string& after, bool first);
  void ServeWhenRestored();

  void FollowConfiguration();
  void ApplyConfiguration(const sched::stored_record& record);
  void FollowRegistry();
  void ApplyWorkerRecord(const sched::stored_record& record, std::set<std::string>* seen);
  /// Logs and counts a registry record that names no usable worker, once per key and content.
  void ReportUnusableRecord(const sched::stored_record& record, const std::string& cause);
  void RemoveWorker(const std::string& id);
  void RemoveOverdueWorkers();

  void ScheduleTick();
  /// Records how late a tick fired, which is how long any event waits in this process.
  void RecordLoopDelay(duration delay);
  void PostPump();
  void Pump();
  void SchedulePass();
  void ExecuteOrder(sched::order&& decided);
  void Dispatch(sched::start_order&& decided);
  void Dispatch(sched::stop_order&& decided);
  void Dispatch(sched::pace_order&& decided) { ports_.Pace(decided, epoch_); }
  void Dispatch(sched::advice_query&& decided) { advice_.Add(std::move(decided), SteadyNow()); }
  void AskForAdvice();
  /// @param allowed  null if the service didn't answer.
  void OnAdviceEnd(const advice_dispatcher::assignment& asked, time_point asked_at,
                   const std::vector<sched::advised_worker>* allowed);
  void RecordUnansweredAdvice(const advice_dispatcher::assignment& asked, time_point asked_at);
  void Watch(const std::string& worker);
  void WatchNewWorkers();
  /// @param late  how late this call runs, which is how long any event waits in this process.
  void WatchNextSlice(duration late);
  void WatchAfter(const std::string& worker, duration pause);

  void StoreRecords();
  void SendBatch(batch_in_flight& batch);
  /// Logs a decision on a batch with what is known of its copies.
  void LogBatch(std::string_view outcome, const batch_in_flight& batch);
  void ResendBatches();
  /// @return the pause before batches are sent again after some failures of the oldest.
  [[nodiscard]] duration RefusedPause(std::uint32_t failures) const;
  void ProbeStore();
  void OnBatchAnswer(std::uint64_t number, const append_answer& answer);
  void CompleteStoredBatches();
  void RecordStoreAnswer(bool reached);
  /// @return whether the oldest append failed or exceeds the timeout, for whatever reason.
  [[nodiscard]] bool AppendOverdue() const;
  /// Tells the store's absence from the delay of this process.
  [[nodiscard]] store_condition StoreCondition() const;
  [[nodiscard]] duration StoreTimeout() const;
  /// Records that the store answered an append.
  void RecordAppendAnswered() { store_answered_ = intake_.Mark(SteadyNow()); }
  void AnswerSettledCallers();
  void ExpireCallers();
  void RefuseJob(std::string_view reason, const caller_answer& how, const respond& answer);
  void RecordTimings();

  /// Handles a call whose turn has come.
  /// @param refuse_new  whether a job that is not known is refused without reading its body.
  void HandleNow(const caller_request& request, time_point answer_by, bool refuse_new,
                 respond answer);
  /// Has `RunSlice` called after the events that are ready.
  void PostSlice();
  /// Handles waiting calls for the time of a slice.
  void RunSlice();
  void RecordIntakeRefusal(bool refused);
  void EndQueuedCalls();
  void AnswerSubmit(const std::string& id, const sched::job_scope& scope,
                    const caller_request& request, const sched::queue_rules& rules,
                    time_point answer_by, bool refuse_new, respond answer);
  /// Answers a submission whose job is known or can't be accepted now, without reading its body.
  /// @return whether it was answered, or waits for its earlier copy.
  [[nodiscard]] bool AnswerWithoutBody(const std::string& id, const sched::job_scope& scope,
                                       const sched::queue_rules& rules, time_point answer_by,
                                       bool refuse_new, respond& answer);
  /// Finds out for which customer a caller acts.
  /// @return its name, empty where the queue is open to anybody; nothing if the request was refused
  ///         because its key is missing or unknown.
  [[nodiscard]] std::optional<std::string> Authenticate(const caller_request& request,
                                                        const sched::queue_rules& rules,
                                                        const respond& answer);
  [[nodiscard]] static caller_answer Unavailable(std::uint32_t retry_after_s) {
    return {503, {}, retry_after_s, false};
  }

  template <typename Callback>
  auto Bind(Callback callback) {
    return [self = this->shared_from_this(), callback = std::move(callback)](auto&&... args) {
      if (!self->ended_) {
        callback(*self, std::forward<decltype(args)>(args)...);
      }
    };
  }
  template <typename Callback>
  void After(boost::asio::steady_timer& timer, duration pause, Callback callback) {
    timer.expires_after(pause);
    timer.async_wait(Bind(
        [callback = std::move(callback)](leader& self, const boost::system::error_code& failed) {
          if (!failed) {
            callback(self);
          }
        }));
  }

  boost::asio::io_context& io_;
  Ports& ports_;
  leader_settings settings_;
  std::uint64_t epoch_;
  event_sink& log_;
  metric_set& metrics_;
  leader_hooks hooks_;
  sched::scheduler scheduler_;
  advice_dispatcher advice_;
  call_intake intake_;
  std::deque<queued_call> next_calls_;   ///< waiting status queries and cancels
  std::deque<queued_call> submissions_;  ///< waiting submissions, and calls about their jobs
  boost::asio::steady_timer tick_timer_;
  boost::asio::steady_timer pass_timer_;
  boost::asio::steady_timer writer_timer_;
  boost::asio::steady_timer registry_timer_;
  boost::asio::steady_timer configuration_timer_;
  boost::asio::steady_timer watch_timer_;
  std::map<std::string, std::unique_ptr<boost::asio::steady_timer>> watches_;  ///< by worker
  std::unordered_map<std::string, std::vector<waiting_caller>> callers_;       ///< by job
  std::map<std::string, time_point> pending_removals_;  ///< workers to remove, by deadline
  /// Unusable registry records that were logged, by key and hash of the content.
  std::set<std::pair<std::string, std::size_t>> unusable_records_;
  std::deque<batch_in_flight> batches_;     ///< oldest first
  std::deque<std::string> unwatched_;       ///< workers still to be watched
  std::set<std::string> unanswered_slice_;  ///< workers of the last slice that have not answered
  time_point slice_watched_at_{};           ///< when that slice was watched
  bool paused_before_slice_{false};         ///< a pause was made since then
  std::size_t workers_{0};                  ///< known workers
  std::uint64_t next_sequence_{0};
  std::uint64_t configuration_next_{0};
  std::uint64_t registry_next_{0};
  time_point began_at_{};
  leadership_proof proof_{settings_.proof};
  time_point proof_asked_at_{};           ///< when the proof was last renewed by a request
  time_point fenced_at_{};                ///< when the former leaders were fenced; zero: not yet
  time_point predecessors_stopped_at_{};  ///< when that was known; zero: it isn't
  time_point last_pass_at_{};
  time_point resumed_at_{};
  duration smoothed_append_time_{};  ///< time that a batch takes to be stored, smoothed
  time_point collecting_since_{};
  time_point resent_at_{};
  time_point probed_at_{};
  time_point store_failed_at_{};
  loop_mark store_answered_{};  ///< the store's latest answer to an append
  time_point intake_full_at_{};
  std::uint64_t intake_refused_{0};  ///< calls refused by the intake since `intake_full_at_`
  time_point store_state_changed_at_{};
  duration last_tick_{};
  bool late_{false};  ///< the last tick exceeded `leader_settings::lateness_threshold`
  bool store_reached_{true};
  bool first_stored_{false};  ///< a batch of this leadership was stored
  bool state_read_{false};
  bool workers_read_{false};
  bool serving_{false};
  bool resigning_{false};
  bool ended_{false};
  bool pump_posted_{false};
  bool slice_posted_{false};
  bool pass_pending_{false};
  bool verifying_{false};
  bool may_act_logged_{true};  ///< the last change of `MayAct` that was logged
};

}  // namespace rosearch::cell

#include "rosearch/cell/internal/leader_callers.h"
#include "rosearch/cell/internal/leader_inputs.h"
#include "rosearch/cell/internal/leader_orders.h"
#include "rosearch/cell/internal/leader_store.h"
#include "rosearch/cell/internal/leader_takeover.h"
#include "rosearch/cell/internal/leader_views.h"

#endif  // ROSEARCH_CELL_LEADER_H_
