#ifndef ROSEARCH_CELL_INTERNAL_LEADER_TAKEOVER_H_
#define ROSEARCH_CELL_INTERNAL_LEADER_TAKEOVER_H_

// Start and end of a leadership: fences the former leader, restores the stored state, starts
// serving, ends. Included by leader.h.

#include "rosearch/cell/leader.h"

namespace rosearch::cell {

template <typename Ports>
void leader<Ports>::Fence() {
  // An append without records sets the epoch. Once it is answered, the store refuses appends of
  // the former leader, so the state that is read next is complete.
  const auto asked_at = SteadyNow();
  ports_.Append(stream::kState, {}, writer_proof{"scheduler", epoch_, 0}, std::nullopt,
                Bind([asked_at](leader& self, const append_answer& answer) {
                  if (answer.outcome == append_outcome::kFenced) {
                    self.End("fenced");
                  } else if (answer.outcome == append_outcome::kStored) {
                    self.OnNoNewerClaim(asked_at);
                    self.fenced_at_ = SteadyNow();
                    self.LimitFormerLeaders();
                    self.ReadState({});
                  } else {
                    self.After(self.writer_timer_, self.settings_.store_retry_interval,
                               [](leader& retrying) { retrying.Fence(); });
                  }
                }));
}

template <typename Ports>
void leader<Ports>::ReadState(const std::string& after) {
  ports_.ReadNewest(
      stream::kState, after, Bind([after](leader& self, result<newest_page> page) {
        if (page.has_error()) {
          self.After(self.writer_timer_, self.settings_.store_retry_interval,
                     [after](leader& retrying) { retrying.ReadState(after); });
          return;
        }
        for (const auto& record : page.value().records) {
          if (!self.scheduler_.Restore(record, Now())) {
            self.log_.Write(
                event_line{"record_unreadable", event_weight::kFailure}.Add("key", record.key));
          }
        }
        if (page.value().continue_after.empty()) {
          self.state_read_ = true;
          self.ServeWhenRestored();
        } else {
          self.ReadState(page.value().continue_after);
        }
      }));
}

template <typename Ports>
void leader<Ports>::ReadConfiguration(const std::string& after) {
  ports_.ReadNewest(
      stream::kConfiguration, after, Bind([after](leader& self, result<newest_page> page) {
        if (page.has_error()) {
          self.After(self.configuration_timer_, self.settings_.store_retry_interval,
                     [after](leader& retrying) { retrying.ReadConfiguration(after); });
          return;
        }
        for (const auto& record : page.value().records) {
          self.ApplyConfiguration(record);
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
  // Workers missing from the registry are removed only if it fits into one page.
  ports_.ReadNewest(
      stream::kWorkers, after, Bind([after, first](leader& self, result<newest_page> page) {
        if (page.has_error()) {
          self.RecordStoreAnswer(false);
          self.After(self.registry_timer_, self.settings_.store_retry_interval,
                     [after, first](leader& retrying) { retrying.ReadWorkers(after, first); });
          return;
        }
        self.RecordStoreAnswer(true);
        std::set<std::string> seen;
        for (const auto& record : page.value().records) {
          self.ApplyWorkerRecord(record, &seen);
        }
        if (after.empty()) {
          self.registry_next_ = page.value().end;
        }
        const bool single_page = after.empty() && page.value().continue_after.empty();
        if (single_page) {
          for (const auto& id : self.scheduler_.WatchedWorkers()) {
            if (!seen.contains(id)) {
              self.RemoveWorker(id);
            }
          }
        }
        if (!page.value().continue_after.empty()) {
          self.ReadWorkers(page.value().continue_after, first);
        } else if (first) {
          self.workers_read_ = true;
          self.ServeWhenRestored();
        } else {
          self.FollowRegistry();
        }
      }));
}

template <typename Ports>
void leader<Ports>::ServeWhenRestored() {
  if (!state_read_ || !workers_read_) {
    return;
  }
  scheduler_.FinishRestore(Now());
  serving_ = true;
  last_tick_ = Boottime();
  const auto took = SteadyNow() - began_at_;
  metrics_.Observe("rosearch_takeover_seconds", took);
  log_.Write(event_line{"leader_serves", event_weight::kStateChange}
                 .Add("epoch", epoch_)
                 .Add("took_ms", took)
                 .Add("version", scheduler_.configuration().version));
  WatchNewWorkers();
  FollowConfiguration();
  FollowRegistry();
  ScheduleTick();
  PostPump();
}

template <typename Ports>
void leader<Ports>::End(std::string_view cause) {
  if (std::exchange(ended_, true)) {
    return;
  }
  log_.Write(event_line{"leader_ends", event_weight::kStateChange}
                 .Add("epoch", epoch_)
                 .Add("cause", cause)
                 .Add("led_ms", SteadyNow() - began_at_));
  tick_timer_.cancel();
  pass_timer_.cancel();
  writer_timer_.cancel();
  registry_timer_.cancel();
  configuration_timer_.cancel();
  watch_timer_.cancel();
  for (auto& [id, timer] : watches_) {
    timer->cancel();
  }
  EndQueuedCalls();
  for (auto& [id, waiting] : std::exchange(callers_, {})) {
    for (auto& caller : waiting) {
      caller.answer({kMayBeStored, {}, 0, true});
    }
  }
  boost::asio::post(io_, [self = this->shared_from_this()] { self->hooks_.on_end(); });
}

/// Appends no records, which changes nothing but is refused when a newer leader has taken over.
/// @param on_answer  called unless the append was fenced, with the leader, the time of sending and
///                   whether the store accepted the append.
template <typename Ports>
template <typename Callback>
void leader<Ports>::AppendNothing(Callback on_answer) {
  const auto asked_at = SteadyNow();
  ports_.Append(
      stream::kState, {}, writer_proof{"scheduler", epoch_, 0}, std::nullopt,
      Bind([asked_at, on_answer = std::move(on_answer)](leader& self, const append_answer& answer) {
        if (answer.outcome == append_outcome::kFenced) {
          self.End("fenced");
          return;
        }
        const bool stored = answer.outcome == append_outcome::kStored;
        if (stored) {
          self.OnNoNewerClaim(asked_at);
        }
        on_answer(self, asked_at, stored);
      }));
}

// A former leader has a proof for at most `timeout` after it was fenced, or `max_unconfirmed` if a
// majority of the processes may still follow it.
template <typename Ports>
void leader<Ports>::LimitFormerLeaders() {
  if (fenced_at_ == time_point{}) {
    return;
  }
  const bool stopped = predecessors_stopped_at_ != time_point{};
  const auto proven_until =
      stopped ? std::max(fenced_at_, predecessors_stopped_at_) + settings_.proof.timeout
              : fenced_at_ + settings_.proof.max_unconfirmed;
  const auto send_until = proven_until + settings_.order_delivery_time;
  log_.Write(event_line{"former_leaders_limited", event_weight::kStateChange}
                 .Add("epoch", epoch_)
                 .Add("stopped", static_cast<int>(stopped))
                 .Add("send_for_ms", send_until - SteadyNow()));
  scheduler_.SetFormerLeadersSendUntil(send_until);
}

template <typename Ports>
void leader<Ports>::OnPredecessorsStopped() {
  if (predecessors_stopped_at_ != time_point{}) {
    return;
  }
  predecessors_stopped_at_ = SteadyNow();
  log_.Write(event_line{"predecessors_stopped", event_weight::kStateChange}
                 .Add("epoch", epoch_)
                 .Add("after_ms", predecessors_stopped_at_ - began_at_));
  LimitFormerLeaders();
}

template <typename Ports>
void leader<Ports>::RenewProof() {
  const auto now = SteadyNow();
  const auto proven_at = proof_.ProvenAt();
  scheduler_.SetProvenAt(proven_at);
  const bool may_act = MayAct();
  if (std::exchange(may_act_logged_, may_act) != may_act) {
    log_.Write(event_line{may_act ? "leadership_proven" : "leadership_unproven",
                          event_weight::kStateChange}
                   .Add("epoch", epoch_)
                   .Add("proof_age_ms", AgeForLog(proven_at, now))
                   .Add("claims_age_ms", AgeForLog(proof_.NoNewerClaimAt(), now)));
  }
  const bool wanted = now - proven_at >= settings_.proof_renewal_age || scheduler_.AwaitsProof();
  if (wanted && now - proof_asked_at_ >= settings_.proof_renewal_interval) {
    proof_asked_at_ = now;
    VerifyLeadership();
  }
}

template <typename Ports>
void leader<Ports>::VerifyLeadership() {
  if (std::exchange(verifying_, true)) {
    return;
  }
  AppendNothing([](leader& self, time_point, bool) {
    self.verifying_ = false;
    self.PostPump();
  });
}

}  // namespace rosearch::cell

#endif  // ROSEARCH_CELL_INTERNAL_LEADER_TAKEOVER_H_
