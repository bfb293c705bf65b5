#ifndef ROSEARCH_CELL_INTERNAL_LEADER_CALLERS_H_
#define ROSEARCH_CELL_INTERNAL_LEADER_CALLERS_H_

// Requests of callers to a leader. Included by leader.h.

#include "rosearch/cell/leader.h"

namespace rosearch::cell {

template <typename Ports>
void leader<Ports>::AnswerSettledCallers() {
  for (const auto& settled : scheduler_.TakeSettled()) {
    const auto found = callers_.find(settled.id);
    if (found == callers_.end()) {
      continue;
    }
    std::vector<waiting_caller> remaining;
    for (auto& caller : found->second) {
      const bool matches = caller.cancels ? settled.cancelled : !settled.cancelled;
      if (!matches) {
        remaining.push_back(std::move(caller));
      } else if (settled.accepted || settled.cancelled) {
        caller.answer({200, "{}", 0, false});
      } else {
        const auto retry =
            intake_.RetryAfterOutage(settled.id, caller.objective, caller.came_at, SteadyNow());
        RefuseJob(settled.reason, Unavailable(retry), caller.answer);
      }
    }
    if (remaining.empty()) {
      callers_.erase(found);
    } else {
      found->second = std::move(remaining);
    }
  }
}

template <typename Ports>
void leader<Ports>::RefuseJob(std::string_view reason, const caller_answer& how,
                              const respond& answer) {
  metrics_.Count(Labelled("rosearch_jobs_refused_total", "reason", reason));
  answer(how);
}

template <typename Ports>
void leader<Ports>::ExpireCallers() {
  const auto now = SteadyNow();
  for (auto& each : callers_) {
    std::erase_if(each.second, [&](auto& caller) {
      if (now < caller.answer_by) {
        return false;
      }
      // The job may be stored, so the answer must not be a refusal.
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
std::optional<std::string> leader<Ports>::Authenticate(const caller_request& request,
                                                       const sched::queue_rules& rules,
                                                       const respond& answer) {
  const auto& configuration = scheduler_.configuration();
  const auto* const customer = request.key ? configuration.keys.Find(*request.key) : nullptr;
  if (customer != nullptr) {
    return *customer;
  }
  if (!rules.requires_key) {
    return std::string{};
  }
  const std::string_view reason =
      request.key_unknown ? "key_not_forwarded" : (request.key ? "unknown_key" : "no_key");
  log_.Write(event_line{"key_refused", event_weight::kFailure}
                 .Add("job", std::string_view{request.path}.substr(rules.path_prefix.size()))
                 .Add("queue", rules.name)
                 .Add("reason", reason)
                 .Add("version", configuration.version));
  metrics_.Count(Labelled("rosearch_keys_refused_total", "reason", reason));
  if (request.key_unknown) {
    answer(Unavailable(1));  // the retry comes through another process
  } else {
    answer({401, R"({"error":")" + std::string{reason} + "\"}", 0, false});
  }
  return std::nullopt;
}

template <typename Ports>
bool leader<Ports>::AnswerWithoutBody(const std::string& id, const sched::job_scope& scope,
                                      const sched::queue_rules& rules, time_point answer_by,
                                      bool refuse_new, respond& answer) {
  // A job whose record may be stored must not be answered as refused, not even on a retry: the
  // caller waits until the outcome of the append is known.
  if (scheduler_.Phase(id, scope)) {
    answer({200, "{}", 0, false});
    return true;
  }
  if (scheduler_.IsPending(id)) {
    sched::job_spec repeated;
    repeated.id = id;
    repeated.queue = scope.queue;
    repeated.customer = scope.customer;
    if (scheduler_.Submit(std::move(repeated), Now()).verdict == sched::submit_verdict::kPending) {
      const auto objective = intake_.UsualObjective(scope.queue).value_or(rules.latency_target);
      callers_[id].push_back({std::move(answer), answer_by, SteadyNow(), objective, false});
      return true;
    }
    return false;
  }
  const auto condition = StoreCondition();
  if (condition == store_condition::kUsable && !refuse_new) {
    return false;
  }
  const auto now = SteadyNow();
  const auto objective = intake_.UsualObjective(scope.queue).value_or(rules.latency_target);
  const bool away = condition == store_condition::kAway;
  if (away) {
    intake_.OnStoreAway(batches_.front().sent_at, now);
  }
  const std::string_view reason = away ? "store_away" : "leader_busy";
  const auto retry = away ? intake_.RetryAfterOutage(id, objective, now, now)
                          : intake_.RetryAfterBusy(id, objective, now);
  event_line line{"job_refused", event_weight::kFailure};
  line.Add("job", id).Add("reason", reason).Add("retry_after_s", retry);
  if (away) {
    line.Add("away_ms", now - batches_.front().sent_at);
  }
  log_.Write(line);
  RefuseJob(reason, {away ? 503U : 429U, {}, retry, false}, answer);
  return true;
}

template <typename Ports>
void leader<Ports>::AnswerSubmit(const std::string& id, const sched::job_scope& scope,
                                 const caller_request& request, const sched::queue_rules& rules,
                                 time_point answer_by, bool refuse_new, respond answer) {
  if (AnswerWithoutBody(id, scope, rules, answer_by, refuse_new, answer)) {
    return;
  }
  auto read = Ports::DecodeJob(request.body);
  if (read.has_error()) {
    log_.Write(event_line{"job_refused", event_weight::kFailure}
                   .Add("job", id)
                   .Add("reason", "unreadable")
                   .Add("detail", read.error().detail));
    RefuseJob("unreadable", {400, R"({"error":")" + read.error().detail + "\"}", 0, false}, answer);
    return;
  }
  const auto now = Now();
  auto job = std::move(read).value();
  job.id = id;
  job.queue = scope.queue;
  job.customer = scope.customer;
  job.pool = rules.pool;
  job.priority = rules.priority;
  job.max_attempts = rules.max_attempts;
  job.advice = rules.advice;
  job.accepted_ms = now.wall_ms;
  const auto chain = std::chrono::duration<double, std::micro>{sched::CriticalPath(job.steps)};
  const auto objective =
      std::chrono::duration_cast<duration>(chain * rules.stretch) + rules.latency_target;
  job.objective = objective;
  const auto verdict = scheduler_.Submit(std::move(job), now);
  if (verdict.verdict == sched::submit_verdict::kAccepted) {
    answer({200, "{}", 0, false});
  } else if (verdict.verdict == sched::submit_verdict::kRefused) {
    std::uint32_t retry = 0;  // a retry of this job is pointless
    if (verdict.reason == "leader_busy") {
      retry = intake_.RetryAfterBusy(id, objective, now.steady);
    } else if (verdict.retry_after > duration{}) {
      retry = intake_.RetryAfter(id, verdict.retry_after, objective, now.steady);
    }
    RefuseJob(verdict.reason, {429, {}, retry, false}, answer);
  } else {
    intake_.OnAccepted(scope.queue, objective, now.steady);
    callers_[id].push_back({std::move(answer), answer_by, SteadyNow(), objective, false});
    PostPump();
  }
}

template <typename Ports>
void leader<Ports>::Handle(const caller_request& request, duration time_left, respond answer) {
  const auto now = SteadyNow();
  const auto answer_by = now + std::min(time_left, settings_.caller_timeout);
  auto job = request.path.substr(request.path.rfind('/') + 1);
  const auto turn = intake_.OnCall(job, request.method == "POST", now);
  switch (turn) {
    case call_turn::kNow:
      intake_.OnHandled();
      HandleNow(request, answer_by, false, std::move(answer));
      break;
    case call_turn::kRefuse:
      RecordIntakeRefusal(true);
      HandleNow(request, answer_by, true, std::move(answer));
      break;
    case call_turn::kNext:
      next_calls_.push_back({request, std::move(job), turn, now, answer_by, std::move(answer)});
      break;
    case call_turn::kInOrder:
      submissions_.push_back({request, std::move(job), turn, now, answer_by, std::move(answer)});
      break;
  }
  PostSlice();
}

template <typename Ports>
void leader<Ports>::PostSlice() {
  if (!std::exchange(slice_posted_, true)) {
    boost::asio::post(io_, Bind([](leader& self) { self.RunSlice(); }));
  }
}

template <typename Ports>
void leader<Ports>::RunSlice() {
  slice_posted_ = false;
  auto now = SteadyNow();
  intake_.BeginSlice(now);
  while (intake_.CountWaiting() > 0 && intake_.HasTime(now)) {
    auto& queue = next_calls_.empty() ? submissions_ : next_calls_;
    auto call = std::move(queue.front());
    queue.pop_front();
    metrics_.Observe("rosearch_call_wait_seconds", now - call.arrived_at);
    const bool late = intake_.OnTaken(call.job, call.turn, now) || now >= call.answer_by;
    intake_.OnHandled();
    HandleNow(call.request, call.answer_by, late, std::move(call.answer));
    now = SteadyNow();
  }
  if (intake_.CountWaiting() > 0) {
    PostSlice();
  } else {
    RecordIntakeRefusal(false);
  }
}

template <typename Ports>
void leader<Ports>::RecordIntakeRefusal(bool refused) {
  const auto now = SteadyNow();
  if (refused && intake_refused_++ == 0) {
    intake_full_at_ = now;
    log_.Write(event_line{"intake_full", event_weight::kStateChange}
                   .Add("epoch", epoch_)
                   .Add("calls", intake_.CountWaiting())
                   .Add("wait_ms", intake_.ExpectedWait(now)));
  } else if (!refused && intake_refused_ > 0) {
    log_.Write(event_line{"intake_open", event_weight::kStateChange}
                   .Add("epoch", epoch_)
                   .Add("refused", std::exchange(intake_refused_, 0))
                   .Add("for_ms", now - intake_full_at_));
  }
}

template <typename Ports>
void leader<Ports>::EndQueuedCalls() {
  // They were not processed: the next leader gets them.
  for (auto* queue : {&next_calls_, &submissions_}) {
    for (auto& call : std::exchange(*queue, {})) {
      call.answer({503, {}, 0, true});
    }
  }
}

template <typename Ports>
void leader<Ports>::HandleNow(const caller_request& request, time_point answer_by, bool refuse_new,
                              respond answer) {
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
  const auto customer = Authenticate(request, *rules, answer);
  if (!customer) {
    return;
  }
  const auto queue = rules->Key();
  // A queue without keys shows all its jobs to anybody, also to callers who show a key.
  const sched::job_scope scope{queue, rules->requires_key ? *customer : std::string_view{}};
  const auto id = request.path.substr(rules->path_prefix.size());
  if (id.empty() && request.method == "GET") {
    answer({200, Ports::EncodeWaiting(scheduler_.CountWaitingJobs(queue)), 0, false});
    return;
  }
  if (!Ports::IsJobId(id)) {
    answer({404, {}, 0, false});
    return;
  }
  if (request.method == "POST") {
    AnswerSubmit(id, {queue, *customer}, request, *rules, answer_by, refuse_new, std::move(answer));
    return;
  }
  if (request.method != "GET" && request.method != "DELETE") {
    answer({405, {}, 0, false});
    return;
  }
  const bool unknown = !scheduler_.Phase(id, scope).has_value();
  if (unknown && !AllJobsKnown()) {
    answer(Unavailable(1));  // a newer leader may know the job
    return;
  }
  if (request.method == "GET") {
    const auto phase = scheduler_.Phase(id, scope);
    if (phase) {
      answer({200, Ports::EncodePhase(*phase), 0, false});
    } else {
      answer({410, {}, 0, false});
    }
    return;
  }
  switch (scheduler_.Cancel(id, scope, Now())) {
    case sched::cancel_verdict::kCancelled:
      answer({200, "{}", 0, false});
      return;
    case sched::cancel_verdict::kUnknown:
      answer({410, {}, 0, false});
      return;
    case sched::cancel_verdict::kPending:
      callers_[id].push_back({std::move(answer), answer_by, SteadyNow(), {}, true});
      PostPump();
      return;
  }
}

}  // namespace rosearch::cell

#endif  // ROSEARCH_CELL_INTERNAL_LEADER_CALLERS_H_
