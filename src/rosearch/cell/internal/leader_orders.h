#ifndef ROSEARCH_CELL_INTERNAL_LEADER_ORDERS_H_
#define ROSEARCH_CELL_INTERNAL_LEADER_ORDERS_H_

// Executes the scheduler's orders and watches the workers. Included by leader.h.

#include "rosearch/cell/leader.h"

namespace rosearch::cell {

template <typename Ports>
void leader<Ports>::RecordLoopDelay(duration delay) {
  scheduler_.RecordLoopDelay(delay);
  metrics_.Observe("rosearch_loop_delay_seconds", delay);
  const bool late = delay > settings_.lateness_threshold;
  if (std::exchange(late_, late) != late) {
    log_.Write(event_line{late ? "leader_late" : "leader_prompt", event_weight::kStateChange}
                   .Add("epoch", epoch_)
                   .Add("delay_ms", delay));
  }
}

template <typename Ports>
void leader<Ports>::ScheduleTick() {
  After(tick_timer_, settings_.tick_interval,
        [due = SteadyNow() + settings_.tick_interval](leader& self) {
          self.DetectProcessPause();
          const auto now = Now();
          self.RecordLoopDelay(now.steady - due);
          self.intake_.OnTick(due, now.steady, now.steady + self.settings_.tick_interval);
          self.RenewProof();
          self.scheduler_.Tick(now);
          self.RemoveOverdueWorkers();
          self.ExpireCallers();
          self.ProbeStore();
          self.RecordTimings();
          self.Pump();
          if (!self.ended_) {
            self.ScheduleTick();
          }
        });
}

template <typename Ports>
void leader<Ports>::PostPump() {
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
  if (ended_ || !serving_) {
    return;
  }
  if (scheduler_.Deposed()) {
    End("newer_leader_met");
    return;
  }
  SchedulePass();
  for (auto& decided : scheduler_.TakeOrders()) {
    ExecuteOrder(std::move(decided));
  }
  AskForAdvice();
  AnswerSettledCallers();
  for (const auto& worker : scheduler_.TakeWorkersWithStoredEnds()) {
    const auto timer = watches_.find(worker);
    if (timer != watches_.end()) {
      timer->second->cancel();
    }
  }
  StoreRecords();
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
  const auto pause = std::max(settings_.pass_interval, scheduler_.ExtraPassDelay());
  if (now - last_pass_at_ >= pause) {
    last_pass_at_ = now;
    if (settings_.scheduler.Uses(sched::mechanism::kAdviceSlots)) {
      scheduler_.SetLongAdviceSlots(advice_.CountLongSlots(now));
    }
    scheduler_.Schedule(Now());
    return;
  }
  pass_pending_ = true;
  After(pass_timer_, pause - (now - last_pass_at_), [](leader& self) {
    self.pass_pending_ = false;
    self.Pump();
  });
}

template <typename Ports>
void leader<Ports>::ExecuteOrder(sched::order&& decided) {
  std::visit([this](auto&& each) { Dispatch(std::move(each)); }, std::move(decided));
}

template <typename Ports>
void leader<Ports>::Dispatch(sched::start_order&& decided) {
  if (!MayAct()) {
    scheduler_.OnStartAnswer(decided, sched::start_outcome::kNotSent, Now());
    return;
  }
  const auto sent_at = SteadyNow();
  metrics_.Observe("rosearch_order_delay_seconds", sent_at - last_pass_at_);
  ports_.Start(decided, epoch_,
               Bind([decided, sent_at](leader& self, sched::start_outcome outcome) {
                 self.metrics_.Observe("rosearch_start_seconds", SteadyNow() - sent_at);
                 self.scheduler_.OnStartAnswer(decided, outcome, Now());
                 if (outcome != sched::start_outcome::kStarted) {
                   self.metrics_.Count("rosearch_starts_refused_total");
                   self.PostPump();
                 }
               }));
}

template <typename Ports>
void leader<Ports>::Dispatch(sched::stop_order&& decided) {
  if (!MayAct()) {
    return;  // the scheduler repeats the order until it is acknowledged
  }
  ports_.Stop(decided, epoch_, Bind([decided](leader& self, bool acknowledged, bool stale_fence) {
                if (stale_fence) {
                  self.End("newer_leader_met");
                  return;
                }
                self.scheduler_.OnStopAnswer(decided, acknowledged, Now());
              }));
}

template <typename Ports>
void leader<Ports>::AskForAdvice() {
  while (auto next = advice_.TakeNext(SteadyNow())) {
    const auto asked_at = SteadyNow();
    const auto& request = *next;
    if (request.hedge) {
      metrics_.Count("rosearch_advice_hedged_total");
    }
    ports_.Advise({request.helper, request.hedge}, request.query,
                  Bind([asked = request, asked_at](
                           leader& self, const std::vector<sched::advised_worker>* allowed) {
                    self.OnAdviceEnd(asked, asked_at, allowed);
                  }));
  }
}

template <typename Ports>
void leader<Ports>::OnAdviceEnd(const advice_dispatcher::assignment& asked, time_point asked_at,
                                const std::vector<sched::advised_worker>* allowed) {
  metrics_.Observe("rosearch_advice_seconds", SteadyNow() - asked_at);
  if (allowed == nullptr) {
    RecordUnansweredAdvice(asked, asked_at);
  }
  if (advice_.OnEnd(asked, allowed != nullptr, SteadyNow())) {
    scheduler_.OnAdvice(asked.query, allowed, Now());
  }
  PostPump();
}

template <typename Ports>
void leader<Ports>::RecordUnansweredAdvice(const advice_dispatcher::assignment& asked,
                                           time_point asked_at) {
  const std::string_view helper = asked.helper.empty() ? "self" : std::string_view{asked.helper};
  metrics_.Count(Labelled("rosearch_advice_unanswered_total", "helper", helper));
  log_.Write(event_line{"advice_unanswered", event_weight::kFailure}
                 .Add("step", asked.query.step)
                 .Add("helper", helper)
                 .Add("workers", asked.query.workers.size())
                 .Add("took_ms", SteadyNow() - asked_at));
}

template <typename Ports>
void leader<Ports>::WatchNewWorkers() {
  const auto workers = scheduler_.WatchedWorkers();
  workers_ = workers.size();
  for (const auto& worker : workers) {
    if (!watches_.contains(worker)) {
      watches_[worker] = std::make_unique<boost::asio::steady_timer>(io_);
      unwatched_.push_back(worker);
    }
  }
  WatchNextSlice({});
}

// Watches workers in slices: a new leader that contacted thousands of workers at once delayed
// callers and peers by a second. The next slice follows when at least half of the current one has
// answered or timed out. If this call runs late, it first pauses for as long as it is late (up to
// `kMaxPause`), which leaves at least half of an overloaded process's time to other work.
template <typename Ports>
void leader<Ports>::WatchNextSlice(duration late) {
  constexpr std::size_t kSliceSize = 50;
  constexpr duration kSliceTimeout =
      std::chrono::milliseconds{100};  // some workers may have failed
  constexpr duration kRetryInterval = std::chrono::milliseconds{2};
  constexpr duration kMaxLateness = std::chrono::milliseconds{5};
  constexpr duration kMaxPause = std::chrono::milliseconds{250};
  if (unwatched_.empty()) {
    return;
  }
  const auto now = SteadyNow();
  const auto watch_later = [this, now](duration pause) {
    After(watch_timer_, pause,
          [due = now + pause](leader& self) { self.WatchNextSlice(SteadyNow() - due); });
  };
  if (late > kMaxLateness && !std::exchange(paused_before_slice_, true)) {
    watch_later(std::min(late, kMaxPause));
    return;
  }
  const auto pause = hooks_.watch_pause();
  if (unanswered_slice_.size() > kSliceSize / 2 && now - slice_watched_at_ < kSliceTimeout) {
    watch_later(std::max(pause, kRetryInterval));
    return;
  }
  paused_before_slice_ = false;
  unanswered_slice_.clear();
  slice_watched_at_ = now;
  for (std::size_t count = 0; count < kSliceSize && !unwatched_.empty(); ++count) {
    const auto worker = std::move(unwatched_.front());
    unwatched_.pop_front();
    unanswered_slice_.insert(worker);
    Watch(worker);
  }
  watch_later(pause);
}

template <typename Ports>
void leader<Ports>::WatchAfter(const std::string& worker, duration pause) {
  const auto found = watches_.find(worker);
  if (found == watches_.end()) {
    return;
  }
  found->second->expires_after(pause);
  // A cancelled wait also triggers the watch: there are new acknowledgements to send.
  found->second->async_wait(
      Bind([worker](leader& self, const boost::system::error_code&) { self.Watch(worker); }));
}

template <typename Ports>
void leader<Ports>::Watch(const std::string& worker) {
  constexpr duration kRetryInterval = std::chrono::milliseconds{100};
  if (!MayAct()) {
    WatchAfter(worker, kRetryInterval);
    return;
  }
  const auto watch = scheduler_.NextWatch(worker, Now());
  if (!watch) {
    watches_.erase(worker);
    return;
  }
  const auto sent_at = SteadyNow();
  ports_.Watch(
      *watch, epoch_,
      Bind([worker, born = watch->born, sent_at](leader& self, const watch_answer& answer) {
        self.unanswered_slice_.erase(worker);
        if (answer.report) {
          self.scheduler_.OnReport(worker, sent_at, *answer.report, Now());
        } else {
          self.scheduler_.OnWatchFailed(worker, answer.failure, Now(), born);
        }
        self.PostPump();
        const auto pause = self.scheduler_.WatchDelay(worker, Now());
        if (pause > duration{}) {
          self.WatchAfter(worker, pause);
        } else {
          self.Watch(worker);
        }
      }));
}

}  // namespace rosearch::cell

#endif  // ROSEARCH_CELL_INTERNAL_LEADER_ORDERS_H_
