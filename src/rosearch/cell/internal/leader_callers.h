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
        RefuseJob(settled.reason, Unavailable(1), caller.answer);
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
void leader<Ports>::AnswerSubmit(const std::string& id, const sched::job_scope& scope,
                                 const std::string& body, const sched::queue_rules& rules,
                                 time_point answer_by, respond answer) {
  auto read = Ports::DecodeJob(body);
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
  job.objective =
      std::chrono::duration_cast<duration>(chain * rules.stretch) + rules.latency_target;
  // A job whose record may be stored must not be answered as refused, not even on a retry: the
  // caller waits until the outcome of the append is known.
  const bool known = scheduler_.IsPending(id) || scheduler_.Phase(id, scope).has_value();
  if (!known && StoreUnavailable()) {
    log_.Write(event_line{"job_refused", event_weight::kFailure}
                   .Add("job", id)
                   .Add("reason", "store_away")
                   .Add("away_ms", now.steady - batches_.front().sent_at));
    RefuseJob("store_away", Unavailable(1), answer);
    return;
  }
  if (!known && RefuseShedJob(job, answer)) {
    return;
  }
  const auto verdict = scheduler_.Submit(std::move(job), now);
  shedding_.OnVerdict(rules.Key(), verdict, SuspendAwareNow());
  if (verdict.verdict == sched::submit_verdict::kAccepted) {
    answer({200, "{}", 0, false});
  } else if (verdict.verdict == sched::submit_verdict::kRefused) {
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(verdict.retry_after).count();
    RefuseJob(verdict.reason, {429, {}, static_cast<std::uint32_t>(seconds), false}, answer);
  } else {
    callers_[id].push_back({std::move(answer), answer_by, false});
    PostPump();
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
  const auto customer = Authenticate(request, *rules, answer);
  if (!customer) {
    return;
  }
  const auto answer_by = SteadyNow() + std::min(time_left, settings_.caller_timeout);
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
    AnswerSubmit(id, {queue, *customer}, request.body, *rules, answer_by, std::move(answer));
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
      callers_[id].push_back({std::move(answer), answer_by, true});
      PostPump();
      return;
  }
}

}  // namespace rosearch::cell

#endif  // ROSEARCH_CELL_INTERNAL_LEADER_CALLERS_H_
