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

#include "rosearch/cell/advice_desk.h"
#include "rosearch/cell/cell_metrics.h"
#include "rosearch/cell/ports.h"
#include "rosearch/core/time.h"
#include "rosearch/log/event_line.h"
#include "rosearch/metrics/metric_set.h"
#include "rosearch/platform/clock.h"
#include "rosearch/sched/scheduler.h"

namespace rosearch::cell {

/// Bounds of a `leader`.
struct leader_settings {
  sched::scheduler_settings scheduler{};
  /// Between two passes over all that waits. With hundreds of starts a second each carries several
  /// ends; one pass for each of them would take most of the process's time.
  duration pass{std::chrono::milliseconds{4}};
  /// Between two looks at what time alone changes.
  duration tick{std::chrono::milliseconds{50}};
  /// What is due comes so late where the process has more to do than it has time for.
  duration late_after{std::chrono::milliseconds{100}};
  /// Records that nobody waits for are collected for so long, so that one append carries many.
  duration collect{std::chrono::milliseconds{15}};
  /// Batches under way at once. Where an answer of the store takes a quarter of a second, a job
  /// would wait for the batch before its own as well, both when it is accepted and when it is done.
  std::size_t batches{4};
  /// A second batch goes out beside one that is older than this, and than a quarter of what an
  /// append usually takes: a quick store has answered by then, and a slow one, which takes them one
  /// at a time, isn't sent more than it gets through.
  duration batch_answer{std::chrono::milliseconds{12}};
  /// An append that wasn't answered, or was refused, is sent again after this.
  duration store_retry{std::chrono::milliseconds{100}};
  /// While the store is away, it is asked so often whether it is back. Calls that hang on it end
  /// only after seconds: left to them, its return would be noticed late.
  duration probe_every{std::chrono::milliseconds{150}};
  /// Between two reads of the workers' registry. A worker that leaves must get no new work within
  /// 2 s of saying so; this leaves three tries.
  duration registry_every{std::chrono::milliseconds{450}};
  /// How long a read of the configuration waits for news; two of them fit into the time by which a
  /// version must be in force.
  duration configuration_wait{std::chrono::milliseconds{900}};
  /// After the store was away, entries of the registry that are missing may come back for so long.
  duration registry_grace{std::chrono::milliseconds{2'600}};
  /// Without proof that nobody else leads, nothing is ordered after this. Below
  /// `scheduler_settings::old_leader_silence` by what an order may take to arrive.
  duration proof_life{std::chrono::milliseconds{1'500}};
  /// So long after a read of the log of claims was sent, jobs that aren't known are called unknown.
  /// A read waits for up to 1 s; a job must be known at every process 3 s after it was accepted.
  duration claims_known_for{std::chrono::milliseconds{2'500}};
  /// A gap in our own time longer than this means that the process stood still.
  duration standstill{std::chrono::milliseconds{400}};
  /// While the store hasn't answered for so long, and for three times what an append usually takes,
  /// new jobs are refused at once.
  duration store_patience{std::chrono::milliseconds{600}};
  /// Whatever an append usually takes: a caller that is told so then can still come back in time.
  duration longest_store_patience{std::chrono::milliseconds{1'500}};
  /// A caller that waits for the store gets an answer by then, whatever it is.
  duration caller_patience{std::chrono::milliseconds{2'500}};

  friend bool operator==(const leader_settings&, const leader_settings&) = default;
};

/// What a `leader` tells its process. All of them are called on the thread of the io_context.
struct leader_hooks {
  /// Asked before some workers are watched for the first time, when all are known.
  /// @return how long to wait before the next are.
  std::function<duration()> watch_pause;
  std::function<void()> on_end;  ///< once, when this process no longer leads
};

/// One leadership of the cell, from the claim that won to its end: reads what earlier ones left,
/// then carries decisions of a `sched::scheduler` out and brings it the answers.
/// @tparam Ports  what is outside; see `cell_ports`.
template <typename Ports>
class leader : public std::enable_shared_from_this<leader<Ports>> {
 public:
  using respond = std::function<void(caller_answer)>;

  /// @param epoch   of the claim that won.
  /// @param hooks   none of them empty.
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

  /// Fences the former leader and takes its state over.
  void Begin() {
    began_at_ = SteadyNow();
    log_.Write(event_line{"leader_begins", event_weight::kBelief}.Add("epoch", epoch_));
    last_tick_ = Boottime();
    OnNoNewerClaim(SteadyNow());
    // Beside one another: with a slow store, callers would wait for several of its answers.
    Fence();
    ReadConfiguration({});
  }

  /// @return whether jobs are taken and answered.
  [[nodiscard]] bool Serving() const { return serving_ && !over_; }
  [[nodiscard]] std::uint64_t epoch() const { return epoch_; }
  /// @return workers that are known.
  [[nodiscard]] std::size_t Workers() const { return workers_; }
  [[nodiscard]] const sched::cell_configuration& configuration() const {
    return scheduler_.configuration();
  }

  /// Somebody who would know of a newer leader knows of none.
  /// @param asked_at  when that was asked.
  void OnProof(time_point asked_at) {
    if (asked_at >= stood_still_at_) {
      proof_at_ = std::max(proof_at_, SteadyNow());
    }
  }

  /// The log of claims was read to its end and shows no newer claim.
  /// @param asked_at  when that read was sent.
  void OnNoNewerClaim(time_point asked_at) {
    no_newer_claim_at_ = std::max(no_newer_claim_at_, asked_at);
    OnProof(asked_at);
  }

  /// A peer's sign of life that names this leadership. What was received while the process stood
  /// still proves nothing.
  void OnPeerSign() {
    constexpr duration kBacklog = std::chrono::milliseconds{250};
    if (SteadyNow() - stood_still_at_ > kBacklog) {
      OnProof(SteadyNow());
    }
  }

  /// Names this process, as an empty text, and the peers that can ask for advice.
  void SetHelpers(const std::vector<std::string>& helpers) {
    advice_.SetHelpers(helpers);
    PumpSoon();
  }

  /// Answers one caller's request.
  void Handle(const caller_request& request, duration time_left, respond answer);

  /// Stores what is decided and then ends.
  void Resign() {
    resigning_ = true;
    PumpSoon();
  }

  /// Ends at once.
  void End(std::string_view cause);

  [[nodiscard]] std::string Dump() const { return scheduler_.Dump(Now()); }
  [[nodiscard]] std::string Explain(std::string_view job) const {
    return scheduler_.Explain(job, Now());
  }
  /// Puts what the scheduler counts into the metrics.
  void FillMetrics();

 private:
  using self_pointer = std::shared_ptr<leader>;

  struct waiting_caller {
    respond answer;
    time_point answer_by;
    bool cancels{false};
  };
  struct batch_under_way {
    std::uint64_t number{0};
    std::uint64_t sequence{0};
    std::vector<std::string> records;
    time_point sent_at{};
    bool stored{false};
    bool came_early{
        false};  ///< overtook the one before it on the way: the store waits for that one
    bool may_be_stored{false};  ///< one sending of it was never answered
    std::uint32_t failures{0};  ///< sendings that brought no good answer
  };

  [[nodiscard]] static sched::instant Now() {
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    return {SteadyNow(), std::chrono::duration_cast<std::chrono::milliseconds>(wall).count()};
  }
  /// Goes on while the machine is suspended, unlike the steady clock.
  [[nodiscard]] static duration Boottime() {
    timespec read{};
    clock_gettime(CLOCK_BOOTTIME, &read);
    return std::chrono::seconds{read.tv_sec} +
           std::chrono::duration_cast<duration>(std::chrono::nanoseconds{read.tv_nsec});
  }

  /// @return whether no newer leader can have taken over unnoticed. Without this a process that
  /// stood still would go on ordering from a picture that is seconds old.
  [[nodiscard]] bool MayAct() {
    NoticeStandstill();
    return !over_ && SteadyNow() - proof_at_ < settings_.proof_life;
  }
  /// @return whether a job that isn't known here is known nowhere. Peers' signs don't count: a peer
  /// may follow a leader that another has replaced, and that one has accepted jobs since.
  [[nodiscard]] bool KnowsAllJobs() {
    return MayAct() && SteadyNow() - no_newer_claim_at_ < settings_.claims_known_for;
  }
  void NoticeStandstill() {
    const auto now = Boottime();
    if (now - last_tick_ > settings_.standstill) {
      log_.Write(event_line{"stood_still", event_weight::kBelief}.Add("for_ms", now - last_tick_));
      stood_still_at_ = SteadyNow();
      proof_at_ = time_point{};
      Verify();
    }
    last_tick_ = std::max(last_tick_, now);
  }
  void Verify();
  template <typename Callback>
  void TouchStore(Callback on_answer);

  void Fence();
  void ReadState(const std::string& after);
  void ReadConfiguration(const std::string& after);
  void ReadWorkers(const std::string& after, bool first);
  void ServeOnceRead();

  void FollowConfiguration();
  void TakeConfiguration(const sched::stored_record& record);
  void FollowRegistry();
  void TakeWorker(const sched::stored_record& record, std::set<std::string>* seen);
  void Unlist(const std::string& id);
  void UnlistOverdue();

  void TickLater();
  /// Takes in how late a tick came: so long does everything wait that reaches this process.
  void NoteDelay(duration delay);
  void PumpSoon();
  void Pump();
  void SchedulePass();
  void CarryOut(sched::order&& decided);
  void Dispatch(sched::start_order&& decided);
  void Dispatch(sched::stop_order&& decided);
  void Dispatch(sched::pace_order&& decided) { ports_.Pace(decided, epoch_); }
  void Dispatch(sched::advice_query&& decided) { advice_.Add(std::move(decided), SteadyNow()); }
  void AskForAdvice();
  void Watch(const std::string& worker);
  void WatchAll();
  /// @param late  how late this call comes: so long does everything wait for the process.
  void WatchSome(duration late);
  void WatchAfter(const std::string& worker, duration pause);

  void Store();
  void SendBatch(const batch_under_way& batch);
  void SendAgain();
  void ProbeStore();
  void OnBatchAnswer(std::uint64_t number, const append_answer& answer);
  void TakeStored();
  void NoteStore(bool reached);
  [[nodiscard]] bool StoreAway() const;
  void Settle();
  void ExpireCallers();
  void RefuseJob(std::string_view reason, const caller_answer& how, const respond& answer);
  void NoteTimings();

  void AnswerSubmit(const std::string& id, const std::string& queue, const std::string& body,
                    const sched::queue_rules& rules, time_point answer_by, respond answer);
  [[nodiscard]] static caller_answer Unavailable(std::uint32_t retry_after_s) {
    return {503, {}, retry_after_s, false};
  }

  template <typename Callback>
  auto Bind(Callback callback) {
    return [self = this->shared_from_this(), callback = std::move(callback)](auto&&... args) {
      if (!self->over_) {
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
  advice_desk advice_;
  boost::asio::steady_timer tick_timer_;
  boost::asio::steady_timer pass_timer_;
  boost::asio::steady_timer writer_timer_;
  boost::asio::steady_timer registry_timer_;
  boost::asio::steady_timer configuration_timer_;
  boost::asio::steady_timer watch_timer_;
  std::map<std::string, std::unique_ptr<boost::asio::steady_timer>> watches_;  ///< by worker
  std::unordered_map<std::string, std::vector<waiting_caller>> callers_;       ///< by job
  std::map<std::string, time_point> unlisting_;  ///< workers that may yet come back, until when
  std::deque<batch_under_way> batches_;          ///< oldest first
  std::deque<std::string> unwatched_;            ///< workers that are about to be watched
  std::set<std::string> slice_;  ///< of the workers watched last for the first time: unanswered
  time_point slice_at_{};        ///< when they were watched
  bool rested_{false};           ///< others were given time since then
  std::size_t workers_{0};       ///< that are known
  std::uint64_t sequence_{0};
  std::uint64_t configuration_next_{0};
  std::uint64_t registry_next_{0};
  time_point began_at_{};
  time_point proof_at_{};
  time_point no_newer_claim_at_{};
  time_point passed_at_{};
  time_point stood_still_at_{};
  duration usual_append_{};  ///< what a batch takes to be stored, smoothed
  time_point collect_since_{};
  time_point sent_again_at_{};
  time_point probed_at_{};
  time_point store_failed_at_{};
  time_point store_away_since_{};
  duration last_tick_{};
  bool late_{false};  ///< the process was late by more than `leader_settings::late_after`
  bool store_reached_{true};
  bool first_stored_{false};  ///< a batch of this leadership is stored
  bool state_read_{false};
  bool workers_read_{false};
  bool serving_{false};
  bool resigning_{false};
  bool over_{false};
  bool pump_posted_{false};
  bool pass_pending_{false};
  bool verifying_{false};
};

}  // namespace rosearch::cell

#include "rosearch/cell/internal/leader_callers.h"
#include "rosearch/cell/internal/leader_inputs.h"
#include "rosearch/cell/internal/leader_orders.h"
#include "rosearch/cell/internal/leader_store.h"
#include "rosearch/cell/internal/leader_takeover.h"
#include "rosearch/cell/internal/leader_views.h"

#endif  // ROSEARCH_CELL_LEADER_H_
