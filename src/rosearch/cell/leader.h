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
  /// Between two passes over all that waits. At 800 starts a second each pass carries several ends;
  /// one pass for each of them took a whole half of a processor.
  duration pass{std::chrono::milliseconds{4}};
  /// Between two looks at what time alone changes.
  duration tick{std::chrono::milliseconds{50}};
  /// Records that nobody waits for are collected for so long, so that one append carries many.
  duration collect{std::chrono::milliseconds{15}};
  /// Batches under way at once. Where an answer of the store takes a quarter of a second, a job
  /// would wait for the batch before its own as well, both when it is accepted and when it is done.
  std::size_t batches{4};
  /// A second batch goes out beside one that is older than this; a quick store has answered by
  /// then.
  duration batch_answer{std::chrono::milliseconds{12}};
  /// An append that wasn't answered, or was refused, is sent again after this.
  duration store_retry{std::chrono::milliseconds{100}};
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
  /// A gap in our own time longer than this means that the process stood still.
  duration standstill{std::chrono::milliseconds{400}};
  /// While the store hasn't answered for so long, new jobs are refused at once.
  duration store_patience{std::chrono::milliseconds{600}};
  /// A caller that waits for the store gets an answer by then, whatever it is.
  duration caller_patience{std::chrono::milliseconds{2'500}};

  friend bool operator==(const leader_settings&, const leader_settings&) = default;
};

/// One leadership of the cell, from the claim that won to its end: reads what earlier ones left,
/// then carries decisions of a `sched::scheduler` out and brings it the answers.
/// @tparam Ports  what is outside; see `cell_ports`.
template <typename Ports>
class leader : public std::enable_shared_from_this<leader<Ports>> {
 public:
  using respond = std::function<void(caller_answer)>;

  /// @param epoch   of the claim that won.
  /// @param on_end  called once, when this process no longer leads.
  leader(boost::asio::io_context& io, Ports& ports, leader_settings settings, std::uint64_t epoch,
         event_sink& log, metric_set& metrics, std::function<void()> on_end)
      : io_{io},
        ports_{ports},
        settings_{std::move(settings)},
        epoch_{epoch},
        log_{log},
        metrics_{metrics},
        on_end_{std::move(on_end)},
        scheduler_{settings_.scheduler, epoch, log},
        tick_timer_{io},
        pass_timer_{io},
        writer_timer_{io},
        registry_timer_{io},
        configuration_timer_{io} {}

  /// Fences the former leader and takes its state over.
  void Begin() {
    began_at_ = SteadyNow();
    log_.Write(event_line{"leader_begins", event_weight::kBelief}.Add("epoch", epoch_));
    last_tick_ = Boottime();
    OnProof(SteadyNow());
    // Beside one another: where an answer of the store takes a quarter of a second, one after the
    // other kept callers waiting for 1.4 s.
    Fence();
    ReadConfiguration({});
  }

  /// @return whether jobs are taken and answered.
  [[nodiscard]] bool Serving() const { return serving_ && !over_; }
  [[nodiscard]] std::uint64_t epoch() const { return epoch_; }
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
  [[nodiscard]] sched::cell_counts Counts() const { return scheduler_.Counts(); }

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
  void PumpSoon();
  void Pump();
  void SchedulePass();
  void CarryOut(sched::order&& decided);
  void Dispatch(sched::start_order&& decided);
  void Dispatch(sched::stop_order&& decided);
  void Dispatch(sched::pace_order&& decided) { ports_.Pace(decided, epoch_); }
  void Dispatch(sched::advice_query&& decided) { advice_.Add(std::move(decided)); }
  void AskForAdvice();
  void Watch(const std::string& worker);
  void WatchAll();
  void WatchAfter(const std::string& worker, duration pause);

  void Store();
  void SendBatch(const batch_under_way& batch);
  void SendAgain();
  void OnBatchAnswer(std::uint64_t number, const append_answer& answer);
  void TakeStored();
  void NoteStore(bool reached);
  [[nodiscard]] bool StoreAway() const;
  void Settle();
  void ExpireCallers();

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
  std::function<void()> on_end_;
  sched::scheduler scheduler_;
  advice_desk advice_;
  boost::asio::steady_timer tick_timer_;
  boost::asio::steady_timer pass_timer_;
  boost::asio::steady_timer writer_timer_;
  boost::asio::steady_timer registry_timer_;
  boost::asio::steady_timer configuration_timer_;
  std::map<std::string, std::unique_ptr<boost::asio::steady_timer>> watches_;  ///< by worker
  std::unordered_map<std::string, std::vector<waiting_caller>> callers_;       ///< by job
  std::map<std::string, time_point> unlisting_;  ///< workers that may yet come back, until when
  std::deque<batch_under_way> batches_;          ///< oldest first
  std::uint64_t sequence_{0};
  std::uint64_t configuration_next_{0};
  std::uint64_t registry_next_{0};
  time_point began_at_{};
  time_point proof_at_{};
  time_point passed_at_{};
  time_point stood_still_at_{};
  time_point collect_since_{};
  time_point store_failed_at_{};
  time_point store_away_since_{};
  duration last_tick_{};
  bool store_reached_{true};
  bool state_read_{false};
  bool workers_read_{false};
  bool serving_{false};
  bool resigning_{false};
  bool over_{false};
  bool pump_posted_{false};
  bool pass_pending_{false};
  bool verifying_{false};
};

// Beginning and end.

template <typename Ports>
void leader<Ports>::Fence() {
  // An append without records sets the epoch: from its answer on the store refuses whatever the
  // former leader still sends, so what is read next is all there will ever be.
  ports_.Append(stream::kState, {}, writer_proof{"scheduler", epoch_, 0}, std::nullopt,
                Bind([](leader& self, const append_answer& answer) {
                  if (answer.outcome == append_outcome::kFenced) {
                    self.End("fenced");
                  } else if (answer.outcome == append_outcome::kStored) {
                    self.ReadState({});
                  } else {
                    self.After(self.writer_timer_, self.settings_.store_retry,
                               [](leader& again) { again.Fence(); });
                  }
                }));
}

template <typename Ports>
void leader<Ports>::ReadState(const std::string& after) {
  ports_.Newest(stream::kState, after, Bind([after](leader& self, result<newest_page> page) {
                  if (page.has_error()) {
                    self.After(self.writer_timer_, self.settings_.store_retry,
                               [after](leader& again) { again.ReadState(after); });
                    return;
                  }
                  for (const auto& record : page.value().records) {
                    if (!self.scheduler_.Restore(record, Now())) {
                      self.log_.Write(event_line{"record_unreadable", event_weight::kFailure}.Add(
                          "key", record.key));
                    }
                  }
                  if (page.value().continue_after.empty()) {
                    self.state_read_ = true;
                    self.ServeOnceRead();
                  } else {
                    self.ReadState(page.value().continue_after);
                  }
                }));
}

template <typename Ports>
void leader<Ports>::ReadConfiguration(const std::string& after) {
  ports_.Newest(stream::kConfiguration, after,
                Bind([after](leader& self, result<newest_page> page) {
                  if (page.has_error()) {
                    self.After(self.configuration_timer_, self.settings_.store_retry,
                               [after](leader& again) { again.ReadConfiguration(after); });
                    return;
                  }
                  for (const auto& record : page.value().records) {
                    self.TakeConfiguration(record);
                  }
                  self.configuration_next_ = page.value().end;
                  if (!page.value().continue_after.empty()) {
                    self.ReadConfiguration(page.value().continue_after);
                  } else if (self.serving_) {
                    self.FollowConfiguration();
                  } else {
                    self.ReadWorkers({}, true);
                  }
                }));
}

template <typename Ports>
void leader<Ports>::ReadWorkers(const std::string& after, bool first) {
  // `seen_` collects over all pages what the registry lists; the rest is gone.
  ports_.Newest(stream::kWorkers, after,
                Bind([after, first](leader& self, result<newest_page> page) {
                  if (page.has_error()) {
                    self.NoteStore(false);
                    self.After(self.registry_timer_, self.settings_.store_retry,
                               [after, first](leader& again) { again.ReadWorkers(after, first); });
                    return;
                  }
                  self.NoteStore(true);
                  std::set<std::string> seen;
                  for (const auto& record : page.value().records) {
                    self.TakeWorker(record, &seen);
                  }
                  if (after.empty()) {
                    self.registry_next_ = page.value().end;
                  }
                  const bool whole = after.empty() && page.value().continue_after.empty();
                  if (whole) {
                    for (const auto& id : self.scheduler_.WatchedWorkers()) {
                      if (!seen.contains(id)) {
                        self.Unlist(id);
                      }
                    }
                  }
                  if (!page.value().continue_after.empty()) {
                    self.ReadWorkers(page.value().continue_after, first);
                  } else if (first) {
                    self.workers_read_ = true;
                    self.ServeOnceRead();
                  } else {
                    self.FollowRegistry();
                  }
                }));
}

template <typename Ports>
void leader<Ports>::ServeOnceRead() {
  if (!state_read_ || !workers_read_) {
    return;
  }
  scheduler_.FinishRestore(Now());
  serving_ = true;
  last_tick_ = Boottime();
  const auto took = SteadyNow() - began_at_;
  metrics_.Observe("rosearch_takeover_seconds", took);
  log_.Write(event_line{"leader_serves", event_weight::kBelief}
                 .Add("epoch", epoch_)
                 .Add("took_ms", took)
                 .Add("version", scheduler_.configuration().version));
  WatchAll();
  FollowConfiguration();
  FollowRegistry();
  TickLater();
  PumpSoon();
}

template <typename Ports>
void leader<Ports>::End(std::string_view cause) {
  if (std::exchange(over_, true)) {
    return;
  }
  log_.Write(event_line{"leader_ends", event_weight::kBelief}
                 .Add("epoch", epoch_)
                 .Add("cause", cause)
                 .Add("led_ms", SteadyNow() - began_at_));
  tick_timer_.cancel();
  pass_timer_.cancel();
  writer_timer_.cancel();
  registry_timer_.cancel();
  configuration_timer_.cancel();
  for (auto& [id, timer] : watches_) {
    timer->cancel();
  }
  for (auto& [id, waiting] : std::exchange(callers_, {})) {
    for (auto& caller : waiting) {
      caller.answer({kMayBeStored, {}, 0, true});
    }
  }
  boost::asio::post(io_, [self = this->shared_from_this()] { self->on_end_(); });
}

template <typename Ports>
void leader<Ports>::Verify() {
  if (std::exchange(verifying_, true)) {
    return;
  }
  const auto asked_at = SteadyNow();
  ports_.Append(stream::kState, {}, writer_proof{"scheduler", epoch_, 0}, std::nullopt,
                Bind([asked_at](leader& self, const append_answer& answer) {
                  self.verifying_ = false;
                  if (answer.outcome == append_outcome::kFenced) {
                    self.End("fenced");
                  } else if (answer.outcome == append_outcome::kStored) {
                    self.OnProof(asked_at);
                    self.PumpSoon();
                  }
                }));
}

// What the operator and the registry say.

template <typename Ports>
void leader<Ports>::TakeConfiguration(const sched::stored_record& record) {
  if (record.key != Ports::ConfigurationKey() || record.value.empty()) {
    return;
  }
  auto read = Ports::DecodeConfiguration(record.value);
  if (!read) {
    log_.Write(event_line{"configuration_unreadable", event_weight::kFailure}.Add(
        "bytes", record.value.size()));
    return;
  }
  scheduler_.Configure(std::move(*read), Now());
  metrics_.Set("rosearch_configuration_version",
               static_cast<double>(scheduler_.configuration().version));
  PumpSoon();
}

template <typename Ports>
void leader<Ports>::FollowConfiguration() {
  const auto asked_at = SteadyNow();
  ports_.Read(stream::kConfiguration, configuration_next_, settings_.configuration_wait,
              Bind([asked_at](leader& self, result<log_page> page) {
                if (page.has_error()) {
                  self.NoteStore(false);
                  self.After(self.configuration_timer_, self.settings_.store_retry,
                             [](leader& again) { again.FollowConfiguration(); });
                  return;
                }
                (void)asked_at;
                self.NoteStore(true);
                if (page.value().trimmed) {
                  self.ReadConfiguration({});
                  return;
                }
                for (const auto& bytes : page.value().records) {
                  if (const auto record = SplitKeyed(bytes)) {
                    self.TakeConfiguration(*record);
                  }
                }
                self.configuration_next_ = page.value().next;
                self.FollowConfiguration();
              }));
}

template <typename Ports>
void leader<Ports>::TakeWorker(const sched::stored_record& record, std::set<std::string>* seen) {
  auto facts = record.value.empty() ? std::nullopt : Ports::DecodeWorker(record.key, record.value);
  const auto& pools = scheduler_.configuration().pools;
  const bool named =
      facts && std::ranges::find(pools, facts->pool, &sched::pool_rules::name) != pools.end();
  if (!named) {
    // Gone, or written by somebody else: what can't be read, or serves no pool of ours, names no
    // worker to use.
    Unlist(record.key);
    return;
  }
  if (seen != nullptr) {
    seen->insert(record.key);
  }
  unlisting_.erase(record.key);
  scheduler_.ObserveWorker(*facts, Now());
}

template <typename Ports>
void leader<Ports>::Unlist(const std::string& id) {
  const bool store_was_away =
      store_failed_at_ != time_point{} &&
      SteadyNow() - store_failed_at_ < settings_.registry_grace + std::chrono::seconds{4};
  if (store_was_away) {
    unlisting_.try_emplace(id, SteadyNow() + settings_.registry_grace);
  } else {
    scheduler_.UnlistWorker(id, Now());
  }
}

template <typename Ports>
void leader<Ports>::UnlistOverdue() {
  std::erase_if(unlisting_, [this](const auto& each) {
    const bool overdue = store_reached_ && SteadyNow() >= each.second;
    if (overdue) {
      scheduler_.UnlistWorker(each.first, Now());
    }
    return overdue;
  });
}

template <typename Ports>
void leader<Ports>::FollowRegistry() {
  After(registry_timer_, settings_.registry_every, [](leader& self) {
    self.ports_.Read(stream::kWorkers, self.registry_next_, duration{},
                     self.Bind([](leader& reader, result<log_page> page) {
                       if (page.has_error()) {
                         reader.NoteStore(false);
                         reader.FollowRegistry();
                         return;
                       }
                       reader.NoteStore(true);
                       if (page.value().trimmed) {
                         reader.ReadWorkers({}, false);
                         return;
                       }
                       for (const auto& bytes : page.value().records) {
                         if (const auto record = SplitKeyed(bytes)) {
                           reader.TakeWorker(*record, nullptr);
                         }
                       }
                       reader.registry_next_ = page.value().next;
                       reader.WatchAll();
                       reader.PumpSoon();
                       reader.FollowRegistry();
                     }));
  });
}

// Carrying out.

template <typename Ports>
void leader<Ports>::TickLater() {
  After(tick_timer_, settings_.tick, [](leader& self) {
    self.NoticeStandstill();
    const auto now = Now();
    self.scheduler_.Tick(now);
    self.UnlistOverdue();
    self.ExpireCallers();
    self.Pump();
    if (!self.over_) {
      self.TickLater();
    }
  });
}

template <typename Ports>
void leader<Ports>::PumpSoon() {
  if (std::exchange(pump_posted_, true)) {
    return;
  }
  boost::asio::post(io_, Bind([](leader& self) {
                      self.pump_posted_ = false;
                      self.Pump();
                    }));
}

template <typename Ports>
void leader<Ports>::Pump() {
  if (over_ || !serving_) {
    return;
  }
  if (scheduler_.Deposed()) {
    End("newer_leader_met");
    return;
  }
  SchedulePass();
  for (auto& decided : scheduler_.TakeOrders()) {
    CarryOut(std::move(decided));
  }
  AskForAdvice();
  Settle();
  for (const auto& worker : scheduler_.TakeAcked()) {
    const auto timer = watches_.find(worker);
    if (timer != watches_.end()) {
      timer->second->cancel();
    }
  }
  Store();
  if (resigning_ && batches_.empty() && !scheduler_.HasRecords()) {
    End("resigned");
  }
}

template <typename Ports>
void leader<Ports>::SchedulePass() {
  if (!MayAct() || resigning_ || pass_pending_) {
    return;
  }
  const auto now = SteadyNow();
  if (now - passed_at_ >= settings_.pass) {
    passed_at_ = now;
    scheduler_.Schedule(Now());
    return;
  }
  pass_pending_ = true;
  After(pass_timer_, settings_.pass - (now - passed_at_), [](leader& self) {
    self.pass_pending_ = false;
    self.Pump();
  });
}

template <typename Ports>
void leader<Ports>::CarryOut(sched::order&& decided) {
  std::visit([this](auto&& each) { Dispatch(std::move(each)); }, std::move(decided));
}

template <typename Ports>
void leader<Ports>::Dispatch(sched::start_order&& decided) {
  if (!MayAct()) {
    scheduler_.OnStartAnswer(decided, sched::start_outcome::kNotSent, Now());
    return;
  }
  const auto sent_at = SteadyNow();
  ports_.Start(decided, epoch_,
               Bind([decided, sent_at](leader& self, sched::start_outcome outcome) {
                 self.metrics_.Observe("rosearch_start_seconds", SteadyNow() - sent_at);
                 self.scheduler_.OnStartAnswer(decided, outcome, Now());
                 if (outcome != sched::start_outcome::kStarted) {
                   self.metrics_.Count("rosearch_starts_refused_total");
                   self.PumpSoon();
                 }
               }));
}

template <typename Ports>
void leader<Ports>::Dispatch(sched::stop_order&& decided) {
  if (!MayAct()) {
    return;  // the scheduler orders it again until it is heard
  }
  ports_.Stop(decided, epoch_, Bind([decided](leader& self, bool heard, bool stale_fence) {
                if (stale_fence) {
                  self.End("newer_leader_met");
                  return;
                }
                self.scheduler_.OnStopAnswer(decided, heard, Now());
              }));
}

template <typename Ports>
void leader<Ports>::AskForAdvice() {
  while (auto next = advice_.Next()) {
    const auto asked_at = SteadyNow();
    const auto& asked_now = *next;
    ports_.Advise(asked_now.helper, asked_now.query,
                  Bind([asked = asked_now, asked_at](
                           leader& self, const std::vector<sched::advised_worker>* allowed) {
                    self.advice_.Done(asked.helper);
                    self.metrics_.Observe("rosearch_advice_seconds", SteadyNow() - asked_at);
                    self.scheduler_.OnAdvice(asked.query, allowed, Now());
                    self.PumpSoon();
                  }));
  }
}

template <typename Ports>
void leader<Ports>::WatchAll() {
  for (const auto& worker : scheduler_.WatchedWorkers()) {
    if (!watches_.contains(worker)) {
      watches_[worker] = std::make_unique<boost::asio::steady_timer>(io_);
      Watch(worker);
    }
  }
}

template <typename Ports>
void leader<Ports>::WatchAfter(const std::string& worker, duration pause) {
  const auto found = watches_.find(worker);
  if (found == watches_.end()) {
    return;
  }
  found->second->expires_after(pause);
  // A wait that is cut short is as good as one that ended: there is something to say.
  found->second->async_wait(
      Bind([worker](leader& self, const boost::system::error_code&) { self.Watch(worker); }));
}

template <typename Ports>
void leader<Ports>::Watch(const std::string& worker) {
  constexpr duration kLookAgain = std::chrono::milliseconds{100};
  if (!MayAct()) {
    WatchAfter(worker, kLookAgain);
    return;
  }
  const auto watch = scheduler_.NextWatch(worker, Now());
  if (!watch) {
    watches_.erase(worker);
    return;
  }
  const auto sent_at = SteadyNow();
  ports_.Watch(*watch, epoch_, Bind([worker, sent_at](leader& self, const watch_answer& answer) {
    if (answer.report) {
      self.scheduler_.OnReport(worker, sent_at, *answer.report, Now());
    } else {
      self.scheduler_.OnWatchFailed(worker, answer.failure, Now());
    }
    self.PumpSoon();
    const auto pause = self.scheduler_.WatchPause(worker, Now());
    if (pause > duration{}) {
      self.WatchAfter(worker, pause);
    } else {
      self.Watch(worker);
    }
  }));
}

// The store.

template <typename Ports>
void leader<Ports>::NoteStore(bool reached) {
  const auto now = SteadyNow();
  if (!reached) {
    store_failed_at_ = now;
  }
  if (reached == store_reached_) {
    return;
  }
  store_reached_ = reached;
  log_.Write(event_line{reached ? "store_regained" : "store_lost", event_weight::kBelief}.Add(
      "away_ms", reached ? now - store_away_since_ : duration{}));
  store_away_since_ = now;
}

template <typename Ports>
bool leader<Ports>::StoreAway() const {
  // An append that failed is the sharpest sign; one that takes long, the other.
  return !batches_.empty() && (batches_.front().failures > 0 ||
                               SteadyNow() - batches_.front().sent_at > settings_.store_patience);
}

template <typename Ports>
void leader<Ports>::Store() {
  const auto now = SteadyNow();
  if (!scheduler_.HasRecords() || !MayAct()) {
    return;
  }
  if (!batches_.empty()) {
    const auto& newest = batches_.back();
    const bool beside = scheduler_.HasUrgentRecords() && batches_.size() < settings_.batches &&
                        batches_.front().failures == 0;
    if (!beside) {
      return;  // looked at again when an answer comes
    }
    if (now - newest.sent_at < settings_.batch_answer) {
      After(writer_timer_, settings_.batch_answer - (now - newest.sent_at),
            [](leader& self) { self.Store(); });
      return;
    }
  }
  if (collect_since_ == time_point{}) {
    collect_since_ = now;
  }
  const auto due = collect_since_ + settings_.collect;
  if (!scheduler_.HasUrgentRecords() && !resigning_ && now < due) {
    After(writer_timer_, due - now, [](leader& self) { self.Store(); });
    return;
  }
  collect_since_ = time_point{};
  auto taken = scheduler_.TakeBatch(Now());
  if (taken.records.empty()) {
    scheduler_.OnStored(taken.number, Now());
    PumpSoon();
    return;
  }
  batch_under_way made{taken.number, sequence_++, {}, now};
  for (const auto& record : taken.records) {
    made.records.push_back(JoinKeyed(record));
  }
  batches_.push_back(std::move(made));
  SendBatch(batches_.back());
}

template <typename Ports>
void leader<Ports>::SendBatch(const batch_under_way& batch) {
  const auto asked_at = SteadyNow();
  ports_.Append(stream::kState, batch.records, writer_proof{"scheduler", epoch_, batch.sequence},
                std::nullopt,
                Bind([asked_at, number = batch.number](leader& self, const append_answer& answer) {
                  if (answer.outcome == append_outcome::kStored) {
                    self.OnProof(asked_at);
                  }
                  self.OnBatchAnswer(number, answer);
                }));
}

template <typename Ports>
void leader<Ports>::SendAgain() {
  // In order: the store takes a batch only behind the one before it.
  for (const auto& batch : batches_) {
    if (!batch.stored) {
      SendBatch(batch);
    }
  }
}

template <typename Ports>
void leader<Ports>::TakeStored() {
  while (!batches_.empty() && batches_.front().stored) {
    metrics_.Observe("rosearch_append_seconds", SteadyNow() - batches_.front().sent_at);
    const auto number = batches_.front().number;
    batches_.pop_front();
    scheduler_.OnStored(number, Now());
  }
  if (!batches_.empty() && std::exchange(batches_.front().came_early, false)) {
    SendBatch(batches_.front());
  }
  NoteStore(true);
  PumpSoon();
}

template <typename Ports>
void leader<Ports>::OnBatchAnswer(std::uint64_t number, const append_answer& answer) {
  const auto batch = std::ranges::find(batches_, number, &batch_under_way::number);
  if (batch == batches_.end() || batch->stored) {
    return;
  }
  const bool ahead =
      answer.outcome == append_outcome::kOutOfSequence && answer.next_sequence > batch->sequence;
  if (answer.outcome == append_outcome::kStored || ahead) {
    // Whatever is stored has all before it stored too.
    for (auto each = batches_.begin(); each != std::next(batch); ++each) {
      each->stored = true;
    }
    TakeStored();
    return;
  }
  if (answer.outcome == append_outcome::kFenced) {
    End("fenced");
    return;
  }
  if (answer.outcome == append_outcome::kOutOfSequence && batch != batches_.begin()) {
    batch->came_early = true;
    return;
  }
  NoteStore(false);
  metrics_.Count("rosearch_appends_failed_total");
  if (answer.outcome == append_outcome::kNotStored && !batch->may_be_stored &&
      batches_.size() == 1) {
    // Certainly not stored: callers learn at once that their jobs were not accepted.
    batches_.clear();
    --sequence_;
    scheduler_.OnNotStored(number, Now());
    Settle();
    After(writer_timer_, settings_.store_retry, [](leader& self) { self.Store(); });
    return;
  }
  // It may be stored yet, or one behind it may be. The same bytes with the same sequence are stored
  // once at most, so all are sent until the store says what became of them.
  batch->may_be_stored = batch->may_be_stored || answer.outcome == append_outcome::kUnknown;
  ++batches_.front().failures;
  scheduler_.RefuseUnsent();
  Settle();
  After(writer_timer_, settings_.store_retry, [](leader& self) { self.SendAgain(); });
}

// Callers.

template <typename Ports>
void leader<Ports>::Settle() {
  for (const auto& settled : scheduler_.TakeSettled()) {
    const auto found = callers_.find(settled.id);
    if (found == callers_.end()) {
      continue;
    }
    std::vector<waiting_caller> still;
    for (auto& caller : found->second) {
      const bool mine = caller.cancels ? settled.cancelled : !settled.cancelled;
      if (!mine) {
        still.push_back(std::move(caller));
      } else if (settled.accepted || settled.cancelled) {
        caller.answer({200, "{}", 0, false});
      } else {
        caller.answer(Unavailable(1));
      }
    }
    if (still.empty()) {
      callers_.erase(found);
    } else {
      found->second = std::move(still);
    }
  }
}

template <typename Ports>
void leader<Ports>::ExpireCallers() {
  const auto now = SteadyNow();
  for (auto& each : callers_) {
    std::erase_if(each.second, [&](auto& caller) {
      if (now < caller.answer_by) {
        return false;
      }
      // Whether the job is stored is not known: the caller must not take it for refused.
      caller.answer({504, {}, 0, false});
      log_.Write(event_line{"caller_unanswered", event_weight::kFailure}
                     .Add("job", each.first)
                     .Add("cancels", static_cast<int>(caller.cancels))
                     .Add("store_reached", static_cast<int>(store_reached_)));
      return true;
    });
  }
  std::erase_if(callers_, [](const auto& each) { return each.second.empty(); });
}

template <typename Ports>
void leader<Ports>::AnswerSubmit(const std::string& id, const std::string& queue,
                                 const std::string& body, const sched::queue_rules& rules,
                                 time_point answer_by, respond answer) {
  auto read = Ports::DecodeJob(body);
  if (read.has_error()) {
    log_.Write(event_line{"job_refused", event_weight::kFailure}
                   .Add("job", id)
                   .Add("reason", "unreadable")
                   .Add("detail", read.error().detail));
    answer({400, R"({"error":")" + read.error().detail + "\"}", 0, false});
    return;
  }
  const auto now = Now();
  auto job = std::move(read).value();
  job.id = id;
  job.queue = queue;
  job.pool = rules.pool;
  job.priority = rules.priority;
  job.max_attempts = rules.max_attempts;
  job.advice = rules.advice;
  job.accepted_ms = now.wall_ms;
  const auto chain = std::chrono::duration<double, std::micro>{sched::LongestChain(job.steps)};
  job.objective =
      std::chrono::duration_cast<duration>(chain * rules.stretch) + rules.latency_target;
  // A job whose record may be stored must not be called refused, not even to a caller that asks
  // again: it waits for the store's word.
  const bool known = scheduler_.IsPending(id) || scheduler_.Phase(id, queue).has_value();
  if (!known && StoreAway()) {
    log_.Write(event_line{"job_refused", event_weight::kFailure}
                   .Add("job", id)
                   .Add("reason", "store_away")
                   .Add("away_ms", now.steady - batches_.front().sent_at));
    answer(Unavailable(1));
    return;
  }
  const auto verdict = scheduler_.Submit(std::move(job), now);
  if (verdict.verdict == sched::submit_verdict::kAccepted) {
    answer({200, "{}", 0, false});
  } else if (verdict.verdict == sched::submit_verdict::kRefused) {
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(verdict.retry_after).count();
    answer({429, {}, static_cast<std::uint32_t>(seconds), false});
  } else {
    callers_[id].push_back({std::move(answer), answer_by, false});
    PumpSoon();
  }
}

template <typename Ports>
void leader<Ports>::Handle(const caller_request& request, duration time_left, respond answer) {
  if (!Serving() || resigning_) {
    answer({503, {}, 0, true});
    return;
  }
  const auto& configuration = scheduler_.configuration();
  if (configuration.version == 0) {
    answer(Unavailable(1));
    return;
  }
  const auto* const rules = configuration.Match(request.host, request.path);
  if (rules == nullptr) {
    answer({404, {}, 0, false});
    return;
  }
  const auto answer_by = SteadyNow() + std::min(time_left, settings_.caller_patience);
  const auto queue = rules->Key();
  const auto id = request.path.substr(rules->path_prefix.size());
  if (id.empty() && request.method == "GET") {
    answer({200, Ports::EncodeWaiting(scheduler_.Waiting(queue)), 0, false});
    return;
  }
  if (!Ports::IsJobId(id)) {
    answer({404, {}, 0, false});
    return;
  }
  if (request.method == "POST") {
    AnswerSubmit(id, queue, request.body, *rules, answer_by, std::move(answer));
    return;
  }
  if (request.method != "GET" && request.method != "DELETE") {
    answer({405, {}, 0, false});
    return;
  }
  const bool gone = !scheduler_.Phase(id, queue).has_value();
  if (gone && !MayAct()) {
    answer(Unavailable(1));  // a newer leader may know the job
    return;
  }
  if (request.method == "GET") {
    const auto phase = scheduler_.Phase(id, queue);
    if (phase) {
      answer({200, Ports::EncodePhase(*phase), 0, false});
    } else {
      answer({410, {}, 0, false});
    }
    return;
  }
  switch (scheduler_.Cancel(id, queue, Now())) {
    case sched::cancel_verdict::kCancelled:
      answer({200, "{}", 0, false});
      return;
    case sched::cancel_verdict::kUnknown:
      answer({410, {}, 0, false});
      return;
    case sched::cancel_verdict::kPending:
      callers_[id].push_back({std::move(answer), answer_by, true});
      PumpSoon();
      return;
  }
}

}  // namespace rosearch::cell

#endif  // ROSEARCH_CELL_LEADER_H_
