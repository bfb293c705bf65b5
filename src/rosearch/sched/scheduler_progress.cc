// Straggler mitigation: detects runs that are far slower than their siblings on other workers, and
// moves them.
//
// A worker that becomes slower by a factor of seven still looks lightly loaded, since it holds few
// runs, each for a long time. Every step then places a task there, and one straggler delays its
// whole job: within four seconds, seven jobs took more than three times as long as their callers
// had been promised.
#include <algorithm>
#include <chrono>

#include "rosearch/sched/scheduler.h"

namespace rosearch::sched {
namespace {

/// Minimum time that a run is observed before its speed is estimated. Progress comes in whole
/// percents, and their rounding distorts a shorter observation.
constexpr duration kMinObservedTime = std::chrono::milliseconds{250};

/// Minimum observation as a share of the typical run time of its siblings.
constexpr double kMinObservedShare = 0.25;

/// Slowdown from which a single run is enough to treat its worker as slow. It is above 3, since one
/// task may have three times the work of its siblings.
constexpr double kSingleRunSlowdown = 4.0;

/// Minimum weight of one run in the smoothed slowness of its worker, and the bounds of its ratio.
/// Tasks of a step differ by a third; ten runs average that out.
constexpr double kMinSlownessWeight = 0.1;
constexpr double kMinSlownessRatio = 0.4;
constexpr double kMaxSlownessRatio = 2.5;

/// Minimum number of siblings with a known run time before a run is compared with them.
constexpr std::size_t kMinSiblings = 2;

/// Max runs of one task that are moved as slow. A task that is as slow on its third worker is long,
/// and each move throws away what was done.
constexpr std::uint32_t kMaxSlowMoves = 2;

/// Progress, in percent, assumed for a run that hasn't reported any.
constexpr double kMinPercent = 1.0;

/// @return the total time of a run, extrapolated from its progress; nothing if it isn't running or
///         hasn't been observed for `kMinObservedTime`.
std::optional<duration> ProjectedTime(const live_run& run, const instant& now) {
  if (!run.measured_from || run.phase != run_phase::kRunning) {
    return std::nullopt;
  }
  const auto observed = now.steady - run.measured_from->at;
  if (observed < kMinObservedTime) {
    return std::nullopt;
  }
  const double gained =
      std::max(kMinPercent, static_cast<double>(run.percent) - run.measured_from->percent);
  return std::chrono::duration_cast<duration>(observed * (100.0 / gained));
}

}  // namespace

std::optional<duration> scheduler::TypicalRunTime(const step_state& step,
                                                  const worker_state& excluded_worker) const {
  std::vector<duration> times;
  for (const auto& task : step.tasks) {
    if (task.took) {
      times.push_back(*task.took);
    }
  }
  for (const auto* const run : step.runs) {
    if (run->worker != &excluded_worker && run->percent > 0 && run->measured_from) {
      const auto observed = run->progressed_at - run->measured_from->at;
      const double gained = static_cast<double>(run->percent) - run->measured_from->percent;
      if (observed >= kMinObservedTime && gained > 0) {
        times.push_back(std::chrono::duration_cast<duration>(observed * (100.0 / gained)));
      }
    }
  }
  if (times.size() < kMinSiblings) {
    return std::nullopt;
  }
  const auto median = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
  std::ranges::nth_element(times, median);
  return *median;
}

std::optional<run_outlook> scheduler::EstimateOutlook(const live_run& run,
                                                      const instant& now) const {
  const auto projected = ProjectedTime(run, now);
  auto typical = projected ? TypicalRunTime(*run.step, *run.worker) : std::nullopt;
  const bool by_siblings = typical.has_value();
  if (projected && !by_siblings) {
    typical = TypicalOfEarlierJobs(*run.step);
  }
  if (!typical || *typical <= duration{} ||
      now.steady - run.measured_from->at < *typical * kMinObservedShare) {
    return std::nullopt;
  }
  // A task that was as slow on another worker is long, whatever its siblings take.
  const auto& elsewhere = run.step->tasks[run.index].time_elsewhere;
  typical = std::max(*typical, elsewhere.value_or(duration{}));
  run_outlook outlook;
  outlook.projected = *projected;
  outlook.by_siblings = by_siblings;
  outlook.slowdown =
      std::chrono::duration<double>{*projected} / std::chrono::duration<double>{*typical};
  const double left = 1.0 - std::min(100U, run.percent) / 100.0;
  outlook.remaining = std::chrono::duration_cast<duration>(*projected * left);
  const bool resumes = run.step->spec->checkpoints && !run.checkpoint.empty();
  const auto rerun = std::chrono::duration_cast<duration>(*typical * (resumes ? left : 1.0));
  const auto stop = run.step->spec->may_duplicate ? duration{} : settings_.stop_timeout;
  const auto restore = resumes ? settings_.restore : duration{};
  outlook.setup = stop + restore;
  outlook.rerun = rerun;
  return outlook;
}

void scheduler::AcquitFormerWorker(const live_run& run, const run_outlook& outlook) {
  auto& task = run.step->tasks[run.index];
  const bool as_slow_here =
      task.time_elsewhere &&
      std::chrono::duration<double>{outlook.projected} * settings_.slow_factor >
          std::chrono::duration<double>{*task.time_elsewhere};
  const auto former = workers_.find(task.moved_from);
  if (!as_slow_here || former == workers_.end() || former->second.get() == run.worker) {
    return;
  }
  task.moved_from.clear();
  former->second->health.WithdrawSlowRun();
  log_.Write(event_line{"worker_acquitted", event_weight::kStateChange}
                 .Add("worker", former->first)
                 .Add("task", run.task)
                 .Add("projected_ms", outlook.projected)
                 .Add("elsewhere_ms", *task.time_elsewhere));
}

duration scheduler::ExpectedTimeOn(const worker_state& worker, const run_outlook& outlook) {
  return outlook.setup + std::chrono::duration_cast<duration>(outlook.rerun * worker.slowness);
}

bool scheduler::HasFasterPlace(const live_run& run, const run_outlook& outlook,
                               const instant& now) const {
  const auto& step = *run.step;
  const auto is_faster = [&](const worker_state& worker) {
    const bool usable = &worker != run.worker && Fits(step, worker) &&
                        IsEligible(step, &step.tasks[run.index], worker, now);
    return usable && std::chrono::duration<double>{outlook.remaining} >
                         std::chrono::duration<double>{ExpectedTimeOn(worker, outlook)} *
                             settings_.rescue_gain;
  };
  if (step.job->advice) {
    return std::ranges::any_of(step.advice.Allowed(),
                               [&](const auto& each) { return is_faster(*each.worker); });
  }
  return std::ranges::any_of(workers_, [&](const auto& each) { return is_faster(*each.second); });
}

void scheduler::RecordRunSpeed(const live_run& run, duration took) {
  if (run.step == nullptr || !run.checkpoint.empty() || run.step->spec->service || IsOverloaded()) {
    return;
  }
  const auto typical = TypicalRunTime(*run.step, *run.worker);
  run.step->tasks[run.index].took = took;
  if (!typical || *typical <= duration{}) {
    return;
  }
  const double ratio =
      std::chrono::duration<double>{took} / std::chrono::duration<double>{*typical};
  if (ratio < settings_.slow_factor) {
    run.worker->health.RecordNormalRun();
  }
  // The first runs have a larger weight, since a new leader starts without any speed history.
  const double weight = std::max(kMinSlownessWeight, 1.0 / (2.0 + run.worker->speed_runs++));
  auto& slowness = run.worker->slowness;
  slowness += weight * (std::clamp(ratio, kMinSlownessRatio, kMaxSlownessRatio) - slowness);
}

bool scheduler::MayRescueRun() const {
  std::size_t moving = 0;
  std::size_t runs = 0;
  for (const auto& [id, worker] : workers_) {
    runs += worker->runs.size();
    for (const auto& [task, run] : worker->runs) {
      moving +=
          run->copied || (run->phase == run_phase::kStopping && run->reason == stop_reason::kSlow);
    }
  }
  const auto max_share =
      static_cast<std::size_t>(settings_.rescue_share * static_cast<double>(runs));
  return moving < std::max(max_share, settings_.min_rescues);
}

void scheduler::RescueSlowRuns(worker_state& worker, const instant& now) {
  // Reports that waited in an overloaded leader make every run look slow, and moving runs would add
  // to its load.
  if (!settings_.Uses(mechanism::kRescue) || IsOverloaded()) {
    return;
  }
  std::vector<std::pair<live_run*, run_outlook>> slow;
  std::size_t compared = 0;
  double slowest = 0;
  double slowest_by_siblings = 0;
  for (const auto& [task, run] : worker.runs) {
    const bool comparable = run->step != nullptr && !run->step->spec->service &&
                            !run->step->spec->uses_leftover && !IsTerminal(run->step->job->phase);
    const auto outlook = comparable ? EstimateOutlook(*run, now) : std::nullopt;
    if (!outlook) {
      continue;
    }
    AcquitFormerWorker(*run, *outlook);
    ++compared;
    slowest = std::max(slowest, outlook->slowdown);
    if (outlook->by_siblings) {
      slowest_by_siblings = std::max(slowest_by_siblings, outlook->slowdown);
    }
    if (outlook->slowdown >= settings_.slow_factor) {
      slow.emplace_back(run.get(), *outlook);
    }
  }
  // A single slow run among normal ones is a task with more work, which would be as slow on another
  // worker. One that only earlier jobs can be compared with may be a larger job.
  const bool conclusive = slow.size() > 1 || slowest_by_siblings >= kSingleRunSlowdown;
  if (slow.empty() || slow.size() * 2 <= compared || !conclusive) {
    return;
  }
  if (worker.health.IsUsable(now.steady)) {
    const auto quarantine = worker.health.RecordSlowRun(settings_, now.steady);
    log_.Write(event_line{"worker_slow", event_weight::kStateChange}
                   .Add("worker", worker.facts.id)
                   .Add("slow_runs", slow.size())
                   .Add("judged", compared)
                   .Add("runs", worker.runs.size())
                   .Add("slowdown_percent", static_cast<int>(std::min(slowest, 99.0) * 100))
                   .Add("left_alone_ms", quarantine));
  }
  for (const auto& [run, outlook] : slow) {
    const bool may_move = !run->copied && run->phase == run_phase::kRunning &&
                          CountSlowMoves(*run->step, run->index) < kMaxSlowMoves;
    if (may_move && MayRescueRun() && HasFasterPlace(*run, outlook, now)) {
      RescueRun(*run, outlook, now);
    }
  }
}

std::uint32_t scheduler::CountSlowMoves(const step_state& step, std::uint32_t index) {
  if (!step.spec->gang) {
    return step.tasks[index].slow_moves;
  }
  // A gang is moved as a whole.
  std::uint32_t moves = 0;
  for (const auto& task : step.tasks) {
    moves += task.slow_moves;
  }
  return moves;
}

void scheduler::RescueRun(live_run& run, const run_outlook& outlook, const instant& now) {
  auto& step = *run.step;
  log_.Write(event_line{"run_slow", event_weight::kFailure}
                 .Add("task", run.task)
                 .Add("run", run.run)
                 .Add("worker", run.worker->facts.id)
                 .Add("percent", run.percent)
                 .Add("slowdown_percent", static_cast<int>(std::min(outlook.slowdown, 99.0) * 100))
                 .Add("remaining_ms", outlook.remaining)
                 .Add("elsewhere_ms", outlook.setup + outlook.rerun)
                 .Add("copy", static_cast<int>(step.spec->may_duplicate)));
  auto& task = step.tasks[run.index];
  ++task.slow_moves;
  task.moved_from = run.worker->facts.id;
  task.time_elsewhere =
      std::min(task.time_elsewhere.value_or(outlook.projected), outlook.projected);
  if (step.spec->gang) {
    StopGang(step, now);
  } else if (step.spec->may_duplicate) {
    run.copied = true;
    step.tasks[run.index].wants_copy = true;
    step.blocked_room_version = 0;
    AddWaitingStep(step);
  } else {
    StopRun(run, stop_reason::kSlow, now);
  }
}

}  // namespace rosearch::sched
