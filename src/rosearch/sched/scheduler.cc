// Worker registry and watch scheduling of `scheduler`, and its periodic work.
#include "rosearch/sched/scheduler.h"

#include <algorithm>
#include <chrono>

namespace rosearch::sched {
namespace {

/// Retry interval for a worker that didn't answer; short enough to reach it again well before its
/// lease expires.
constexpr duration kSilentRetryInterval = std::chrono::milliseconds{300};

/// Watch interval for a worker with ends that aren't stored yet. Such a worker answers at once, so
/// the interval limits the request rate, but new ends must not be delayed by a slow store.
constexpr duration kUnackedWatchInterval = std::chrono::milliseconds{100};

/// Limits all workers together to about 1,400 watches per second, which takes a tenth of a
/// processor: with thousands of busy workers the watches alone would overload a small leader.
constexpr duration kWatchIntervalPerWorker = std::chrono::microseconds{700};

/// How long a worker may delay its answer to a watch (long poll) with and without runs on it. The
/// first grows with the number of workers, up to the second.
constexpr duration kBusyWatchTimeout = std::chrono::milliseconds{600};
constexpr duration kIdleWatchTimeout = std::chrono::milliseconds{2'000};

/// Maximum extra delays of a watch and of a scheduling pass while the leader is overloaded, so
/// that it handles more ends and inputs at a time. It then also gives workers with runs the idle
/// timeout, which delays only answers that report no end.
constexpr duration kMaxCollectDelay = std::chrono::milliseconds{500};
constexpr duration kMaxPassDelay = std::chrono::milliseconds{100};

/// @return the shortest interval between two watches of one worker at which the watches of all
///         workers stay within their limit.
duration MinWatchInterval(std::size_t workers) {
  return kWatchIntervalPerWorker * static_cast<int>(workers);
}

}  // namespace

void scheduler::ObserveWorker(const worker_facts& facts, const instant& now) {
  auto& worker = workers_[facts.id];
  if (!worker) {
    worker = std::make_unique<worker_state>();
    worker->facts = facts;
    worker->born = facts.born;
    worker->leaves_at = facts.draining ? now.steady + facts.min_time_left : kNever;
    fill_.Update(*worker);
    workers_dirty_ = true;
    log_.Write(event_line{"worker_found", event_weight::kStateChange}
                   .Add("worker", facts.id)
                   .Add("address", facts.address)
                   .Add("pool", facts.pool)
                   .Add("cpu", facts.capacity.processors_milli)
                   .Add("draining", static_cast<int>(facts.draining)));
    return;
  }
  if (facts.born < worker->born) {
    log_.Write(event_line{"worker_record_outdated", event_weight::kDetail}
                   .Add("worker", facts.id)
                   .Add("born", facts.born)
                   .Add("newest", worker->born));
    return;
  }
  const bool restarted = facts.born > worker->born;
  worker->listed = true;
  if (facts.draining && !worker->facts.draining) {
    worker->leaves_at = now.steady + facts.min_time_left;
    log_.Write(event_line{"worker_draining", event_weight::kStateChange}
                   .Add("worker", facts.id)
                   .Add("runs", worker->runs.size())
                   .Add("left_ms", facts.min_time_left));
  }
  if (worker->facts.draining != facts.draining) {
    workers_dirty_ = true;
  }
  if (worker->facts.capacity != facts.capacity || worker->facts.draining != facts.draining) {
    RecordFreedRoom(*worker);
  }
  if (!worker->HasCurrentFacts()) {
    RecordFreedRoom(*worker);
  }
  worker->facts = facts;
  if (restarted) {
    BeginIncarnation(*worker, facts.born, nullptr, {}, now);
  }
  fill_.Update(*worker);
}

void scheduler::UnlistWorker(const std::string& id, const instant&) {
  const auto found = workers_.find(id);
  if (found == workers_.end() || !found->second->listed) {
    return;
  }
  found->second->listed = false;
  log_.Write(event_line{"worker_unlisted", event_weight::kStateChange}
                 .Add("worker", id)
                 .Add("runs", found->second->runs.size()));
}

std::vector<std::string> scheduler::WatchedWorkers() const {
  std::vector<std::string> ids;
  ids.reserve(workers_.size());
  for (const auto& [id, worker] : workers_) {
    ids.push_back(id);
  }
  return ids;
}

std::optional<watch_request> scheduler::NextWatch(const std::string& id, const instant& now) {
  const auto found = workers_.find(id);
  if (deposed_ || found == workers_.end()) {
    return std::nullopt;
  }
  auto& worker = *found->second;
  const bool live = worker.session == session_phase::kLive;
  const bool lease_expired = LeaseClock(now) >= worker.lease_until && !unsettled_.contains(id);
  const bool has_late_starts = std::ranges::any_of(
      worker.late_starts, [&](const late_start& each) { return now.steady < each.expires; });
  if (!worker.listed && worker.runs.empty() && !has_late_starts && (live || lease_expired)) {
    log_.Write(event_line{"worker_dropped", event_weight::kStateChange}.Add("worker", id));
    DropWorker(id);
    return std::nullopt;
  }
  const bool answers = live && worker.silent_watches == 0;
  // A restart breaks the watch in flight. The next one may reach an incarnation that counts its
  // ends from 1 again, so it must not acknowledge them.
  const auto acked_end = answers || worker.born == 0 ? worker.acked_end : 0;
  watch_request watch{id, worker.facts.address, acked_end, duration{}, worker.born, {}};
  if (answers && worker.seen_end == worker.acked_end) {
    watch.wait =
        worker.runs.empty() || IsOverloaded()
            ? kIdleWatchTimeout
            : std::clamp(MinWatchInterval(workers_.size()), kBusyWatchTimeout, kIdleWatchTimeout);
  }
  if (answers) {
    watch.lease_end = GrantLease(worker, now);
  }
  return watch;
}

duration scheduler::WatchDelay(const std::string& id, const instant&) const {
  const auto found = workers_.find(id);
  if (found == workers_.end()) {
    return {};
  }
  const auto& worker = *found->second;
  if (worker.session != session_phase::kLive) {
    return worker.silent_watches > 0 ? kSilentRetryInterval : duration{};
  }
  const auto collect_delay = IsOverloaded() ? std::min(loop_delay_, kMaxCollectDelay) : duration{};
  return worker.seen_end > worker.acked_end
             ? std::max({kUnackedWatchInterval, MinWatchInterval(workers_.size()), collect_delay})
             : collect_delay;
}

void scheduler::RecordLoopDelay(duration delay) {
  loop_delay_ = std::min(std::exchange(newest_delay_, delay), delay);
  // Admitted jobs delay the process only some time after their admission, so an overloaded process
  // halves the number of jobs that it admits per tick.
  const auto admitted = std::exchange(admitted_since_tick_, 0);
  if (IsOverloaded()) {
    admission_limit_ = std::max(1U, std::min(admitted, admission_limit_) / 2);
  } else {
    admission_limit_ = std::min(admission_limit_ + 1, kNoAdmissionLimit);
  }
}

duration scheduler::ExtraPassDelay() const {
  // A quarter of the delay that all inputs already have adds little to their waiting time.
  return std::min(loop_delay_ / 4, kMaxPassDelay);
}

// The lease was last extended by this leader, as far as it knows. If a newer one extended it, the
// runs go on there, and a second run of their tasks would be one too many.
void scheduler::EndExpiredLease(worker_state& worker, const instant& now) {
  if (worker.session == session_phase::kLive || now.steady < worker.lease_until) {
    return;
  }
  const auto& id = worker.facts.id;
  const bool matters =
      !worker.runs.empty() || !worker.held_tasks.empty() || unsettled_.contains(id);
  if (LeaseClock(now) < worker.lease_until) {
    awaits_proof_ = awaits_proof_ || matters;
    return;
  }
  EndRunsAsLost(worker, "lease_lapsed", now);
  SettleWorker(id, "lease_lapsed", now);
  ReleaseTasks(worker);
}

void scheduler::Tick(const instant& now) {
  ForgetEndedJobs(now);
  ScheduleRunTimeRecord(now);
  awaits_proof_ = false;
  for (const auto& [id, worker] : workers_) {
    EndExpiredLease(*worker, now);
    if (worker->reservation && worker->reservation->until <= now.steady) {
      worker->reservation.reset();
    }
    RetryOrders(*worker, now);
    StopStuckRuns(*worker, now);
    StopRunsOnDrainingWorker(*worker, now);
  }
  EstimateUnreadUsage(now);
  for (const auto& [id, job] : jobs_) {
    if (job->accepted && !IsTerminal(job->phase) && job->spec->occurrences > 0) {
      OpenDueOccurrences(*job, now);
    }
  }
  RefreshStepLists();
  DetectStalls(now);
  for (auto* const step : open_steps_) {
    // A gang can't make progress if only some of its members are still running after a leader
    // change.
    if (step->spec->gang && !step->runs.empty() && OldRunsSettled() &&
        step->runs.size() < step->tasks.size()) {
      StopGang(*step, now);
    }
  }
  RetireEndedJobs(now);
}

}  // namespace rosearch::sched
