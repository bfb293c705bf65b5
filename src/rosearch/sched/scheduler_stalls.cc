// Detects steps that don't start although workers have free room for them.
//
// Such a step isn't visible in the counts of waiting tasks or in what a full cell waits for. Its
// caller sees a job that stays queued while workers are idle, so the cause is logged for each step
// and the oldest stall is a metric.
#include <algorithm>
#include <chrono>

#include "rosearch/sched/scheduler.h"

namespace rosearch::sched {
namespace {

/// Interval between two checks of one step.
constexpr duration kCheckInterval = std::chrono::milliseconds{500};

/// Interval between two log lines about the same stalled step.
constexpr duration kLogInterval = std::chrono::seconds{2};

/// Max workers that are considered per tick, so that the check costs the same in cells of any size;
/// in a large cell with many waiting steps each is checked less often.
constexpr std::size_t kMaxWorkersPerTick = 4'000;

/// After a starved step has used a reserved worker, the reservation holds against others for twice
/// the time of its run and this long. Otherwise a gang whose workers are used again and again would
/// never find all of them free.
constexpr duration kFirmMargin = std::chrono::seconds{2};

}  // namespace

bool scheduler::MayStall(const step_state& step, const instant& now) const {
  const auto& job = *step.job;
  const bool runs = !step.spec->service && job.live > 0;
  if (runs || step.at_limit || !IsStartable(step)) {
    return false;
  }
  return std::ranges::any_of(
      step.tasks, [&](const auto& task) { return WantsStart(task) && IsDue(task, now); });
}

advice_phase scheduler::AdvicePhaseOf(const step_state& step, const instant& now) const {
  if (!step.job->advice) {
    return advice_phase::kNotNeeded;
  }
  if (step.advice.HasPendingQuery(now.steady)) {
    return advice_phase::kInFlight;
  }
  if (step.advice.IsQueryOverdue(now.steady)) {
    return advice_phase::kOverdue;
  }
  if (step.awaits_advice_slot) {
    return advice_phase::kNoProcess;
  }
  return now.steady < step.advice.next_query_at ? advice_phase::kBackingOff
                                                : advice_phase::kNothingPending;
}

std::size_t scheduler::CountPlaces(const step_state& step, const worker_state& worker) const {
  const auto& facts = worker.facts;
  const bool open = worker.TakesWork() && facts.pool == step.job->pool &&
                    facts.HasLabel(step.spec->required_label) && !step.advice.Refused(facts.id);
  if (!open) {
    return 0;
  }
  auto need = step.spec->need;
  need.processors_milli = RequiredProcessorsMilli(step);
  auto places = static_cast<std::size_t>(need.CountIn(worker.Free()));
  if (step.spec->per_worker_limit > 0) {
    const auto runs = CountRunsOn(step, worker);
    const auto left = step.spec->per_worker_limit - std::min(step.spec->per_worker_limit, runs);
    places = std::min<std::size_t>(places, left);
  }
  return places;
}

stall_view scheduler::DiagnoseStall(const step_state& step, const instant& now) const {
  stall_view view;
  view.wanted = step.spec->gang ? step.tasks.size() : 1;
  view.advice = AdvicePhaseOf(step, now);
  if (step.advice.query_sent_at() != time_point{}) {
    view.asked_ago = now.steady - step.advice.query_sent_at();
  }
  const auto min_expiry = now.steady + settings_.ticket_margin;
  for (const auto& [id, worker] : workers_) {
    const auto places = CountPlaces(step, *worker);
    if (places == 0) {
      continue;
    }
    view.places += places;
    ++view.workers;
    const bool unreserved = step.spec->need.FitsIn(worker->FreeFor(step));
    view.reserved += unreserved ? 0 : 1;
    view.urgent_reserve += unreserved && !Fits(step, *worker) ? 1 : 0;
    view.quarantined += worker->health.IsUsable(now.steady) ? 0 : 1;
    view.not_ready += worker->MayStart() ? 0 : 1;
    if (step.job->advice) {
      const auto* const allowance = step.advice.Find(worker.get());
      view.not_advised += allowance == nullptr ? 1 : 0;
      view.no_ticket += allowance != nullptr && allowance->expires <= min_expiry ? 1 : 0;
    }
  }
  return view;
}

void scheduler::DetectStalls(const instant& now) {
  // Starts where the last tick ran out of its budget, so that each step has its turn.
  const auto count = waiting_steps_.size();
  const auto first = stall_cursor_;
  std::size_t considered = 0;
  for (std::size_t at = 0; at < count; ++at) {
    const auto index = (first + at) % count;
    auto& step = *waiting_steps_[index];
    if (!MayStall(step, now)) {
      EndStall(step, now);
    } else if (now.steady >= step.next_stall_check_at && considered < kMaxWorkersPerTick) {
      considered += workers_.size();
      step.next_stall_check_at = now.steady + kCheckInterval;
      CheckStall(step, now);
      stall_cursor_ = index + 1;
    }
  }
}

void scheduler::CheckStall(step_state& step, const instant& now) {
  const auto view = DiagnoseStall(step, now);
  if (!view.HasAmpleRoom()) {
    EndStall(step, now);
    return;
  }
  if (step.stalled_since == time_point{}) {
    step.stalled_since = now.steady;
    step.next_stall_log_at = now.steady + settings_.starvation_timeout;
  }
  if (now.steady < step.next_stall_log_at) {
    return;
  }
  step.starved = settings_.Uses(mechanism::kStarvation);
  step.next_stall_log_at = now.steady + kLogInterval;
  step.stall_logged = true;
  log_.Write(event_line{"step_stalled", event_weight::kFailure}
                 .Add("job", step.job->spec->id)
                 .Add("step", step.Name())
                 .Add("idle", step.CountIdleTasks())
                 .Add("stalled_ms", now.steady - step.stalled_since)
                 .Add("wanted", view.wanted)
                 .Add("places", view.places)
                 .Add("workers", view.workers)
                 .Add("reserved", view.reserved)
                 .Add("urgent_reserve", view.urgent_reserve)
                 .Add("left_alone", view.quarantined)
                 .Add("not_ready", view.not_ready)
                 .Add("not_advised", view.not_advised)
                 .Add("no_ticket", view.no_ticket)
                 .Add("advice", AdvicePhaseName(view.advice))
                 .Add("asked_ms_ago", view.asked_ago));
}

void scheduler::RecordUseOfReservation(const worker_state& worker, const step_state& by,
                                       const instant& now) {
  if (!worker.reservation || worker.reservation->step == &by || !by.starved) {
    return;
  }
  const auto* const holder = worker.reservation->step;
  const auto found = std::ranges::find(open_steps_, holder);
  if (found != open_steps_.end()) {
    (*found)->reservations_firm_until = now.steady + 2 * by.RunTime() + kFirmMargin;
    (*found)->yielded_to = &by;
  }
  for (const auto& [id, each] : workers_) {
    if (each->reservation && each->reservation->step == holder) {
      each->reservation->firm = true;
      each->reservation->yielded_to = &by;
    }
  }
}

void scheduler::EndStall(step_state& step, const instant& now) {
  if (std::exchange(step.stall_logged, false)) {
    log_.Write(event_line{"step_stall_ended", event_weight::kFailure}
                   .Add("job", step.job->spec->id)
                   .Add("step", step.Name())
                   .Add("stalled_ms", now.steady - step.stalled_since)
                   .Add("runs", step.job->live));
  }
  step.stalled_since = time_point{};
  step.starved = false;
}

}  // namespace rosearch::sched
