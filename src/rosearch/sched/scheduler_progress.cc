// How a scheduler notices runs that work far slower than they would elsewhere, and moves them.
//
// The load that this answers: a worker turns slow by a factor of seven and looks empty, since it
// holds few runs for long. Each step puts a task there, and one slow task holds up its whole job:
// seven jobs in the first four seconds of a replayed day ended later than three times what their
// callers had been promised.
#include <algorithm>
#include <chrono>

#include "rosearch/sched/scheduler.h"

namespace rosearch::sched {
namespace {

/// A run is judged by its progress once it has worked for so long: before, a whole percent more or
/// less says too much.
constexpr duration kLeastWatched = std::chrono::milliseconds{250};

/// And for this share of what its siblings take.
constexpr double kWatchedShare = 0.25;

/// A worker of which only one run tells is called slow where that one is so many times slower: one
/// task among its siblings may have three times their work.
constexpr double kSureFactor = 4.0;

/// How much one run moves the smoothed slowness of its worker, and within which bounds: tasks of a
/// step differ by a third, which ten runs even out.
constexpr double kSlownessWeight = 0.1;
constexpr double kLeastRatio = 0.4;
constexpr double kMostRatio = 2.5;

/// Siblings elsewhere that have to tell before one of them is called slow.
constexpr std::size_t kFewestSiblings = 2;

/// What a run is taken to have done that reports no progress yet, in percent.
constexpr double kLeastPercent = 1.0;

/// @return how long a run takes in all at the speed that it has shown; nothing where it has shown
///         none.
std::optional<duration> Projected(const live_run& run, const instant& now) {
  if (!run.measured_from || run.phase != run_phase::kRunning) {
    return std::nullopt;
  }
  const auto watched = now.steady - run.measured_from->at;
  if (watched < kLeastWatched) {
    return std::nullopt;
  }
  const double gained =
      std::max(kLeastPercent, static_cast<double>(run.percent) - run.measured_from->percent);
  return std::chrono::duration_cast<duration>(watched * (100.0 / gained));
}

}  // namespace

std::optional<duration> scheduler::TypicalTime(const step_state& step,
                                               const worker_state& beside) const {
  std::vector<duration> times;
  for (const auto& task : step.tasks) {
    if (task.took > duration{}) {
      times.push_back(task.took);
    }
  }
  for (const auto* const run : step.runs) {
    if (run->worker != &beside && run->percent > 0 && run->measured_from) {
      const auto watched = run->progressed_at - run->measured_from->at;
      const double gained = static_cast<double>(run->percent) - run->measured_from->percent;
      if (watched >= kLeastWatched && gained > 0) {
        times.push_back(std::chrono::duration_cast<duration>(watched * (100.0 / gained)));
      }
    }
  }
  if (times.size() < kFewestSiblings) {
    return std::nullopt;
  }
  const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
  std::ranges::nth_element(times, middle);
  return *middle;
}

std::optional<run_outlook> scheduler::Outlook(const live_run& run, const instant& now) const {
  const auto projected = Projected(run, now);
  const auto typical = projected ? TypicalTime(*run.step, *run.worker) : std::nullopt;
  if (!typical || *typical <= duration{} ||
      now.steady - run.measured_from->at < *typical * kWatchedShare) {
    return std::nullopt;
  }
  run_outlook outlook;
  outlook.slowdown =
      std::chrono::duration<double>{*projected} / std::chrono::duration<double>{*typical};
  const double left = 1.0 - std::min(100U, run.percent) / 100.0;
  outlook.remaining = std::chrono::duration_cast<duration>(*projected * left);
  const bool resumes = run.step->spec->checkpoints && !run.checkpoint.empty();
  const auto again = std::chrono::duration_cast<duration>(*typical * (resumes ? left : 1.0));
  const auto stop = run.step->spec->may_duplicate ? duration{} : settings_.stop_timeout;
  const auto restore = resumes ? settings_.restore : duration{};
  outlook.elsewhere = stop + restore + again;
  return outlook;
}

void scheduler::NoteSpeed(const live_run& run, duration took) {
  if (run.step == nullptr || !run.checkpoint.empty() || run.step->spec->service || Late()) {
    return;
  }
  const auto typical = TypicalTime(*run.step, *run.worker);
  run.step->tasks[run.index].took = took;
  if (!typical || *typical <= duration{}) {
    return;
  }
  const double ratio =
      std::chrono::duration<double>{took} / std::chrono::duration<double>{*typical};
  if (ratio < settings_.slow_factor) {
    run.worker->health.Swift();
  }
  // The first runs count for more: after a change of leader all is learned anew.
  const double weight = std::max(kSlownessWeight, 1.0 / (2.0 + run.worker->speed_runs++));
  auto& slowness = run.worker->slowness;
  slowness += weight * (std::clamp(ratio, kLeastRatio, kMostRatio) - slowness);
}

bool scheduler::MayRescue() const {
  std::size_t moving = 0;
  std::size_t runs = 0;
  for (const auto& [id, worker] : workers_) {
    runs += worker->runs.size();
    for (const auto& [task, run] : worker->runs) {
      moving +=
          run->copied || (run->phase == run_phase::kStopping && run->reason == stop_reason::kSlow);
    }
  }
  const auto most = static_cast<std::size_t>(settings_.rescue_share * static_cast<double>(runs));
  return moving < std::max(most, settings_.least_rescues);
}

void scheduler::RescueSlowRuns(worker_state& worker, const instant& now) {
  // Reports that waited for a late leader make each run look slow, and moving runs is more work
  // yet.
  if (!settings_.Uses(mechanism::kRescue) || Late()) {
    return;
  }
  std::vector<std::pair<live_run*, run_outlook>> slow;
  std::size_t judged = 0;
  double slowest = 0;
  for (const auto& [task, run] : worker.runs) {
    const bool counts = run->step != nullptr && !run->step->spec->service &&
                        !run->step->spec->uses_leftover && !IsTerminal(run->step->job->phase);
    const auto outlook = counts ? Outlook(*run, now) : std::nullopt;
    if (!outlook) {
      continue;
    }
    ++judged;
    slowest = std::max(slowest, outlook->slowdown);
    if (outlook->slowdown >= settings_.slow_factor) {
      slow.emplace_back(run.get(), *outlook);
    }
  }
  // One slow run among others that are not is a task with more work, which takes it along.
  const bool sure = slow.size() > 1 || slowest >= kSureFactor;
  if (slow.empty() || slow.size() * 2 <= judged || !sure) {
    return;
  }
  if (worker.health.Usable(now.steady)) {
    const auto pause = worker.health.Slow(settings_, now.steady);
    log_.Write(event_line{"worker_slow", event_weight::kBelief}
                   .Add("worker", worker.facts.id)
                   .Add("slow_runs", slow.size())
                   .Add("judged", judged)
                   .Add("runs", worker.runs.size())
                   .Add("slowdown_percent", static_cast<int>(std::min(slowest, 99.0) * 100))
                   .Add("left_alone_ms", pause));
  }
  for (const auto& [run, outlook] : slow) {
    const bool pays = std::chrono::duration<double>{outlook.remaining} >
                      std::chrono::duration<double>{outlook.elsewhere} * settings_.rescue_gain;
    if (pays && !run->copied && run->phase == run_phase::kRunning && MayRescue()) {
      Rescue(*run, outlook, now);
    }
  }
}

void scheduler::Rescue(live_run& run, const run_outlook& outlook, const instant& now) {
  auto& step = *run.step;
  log_.Write(event_line{"run_slow", event_weight::kFailure}
                 .Add("task", run.task)
                 .Add("run", run.run)
                 .Add("worker", run.worker->facts.id)
                 .Add("percent", run.percent)
                 .Add("slowdown_percent", static_cast<int>(std::min(outlook.slowdown, 99.0) * 100))
                 .Add("remaining_ms", outlook.remaining)
                 .Add("elsewhere_ms", outlook.elsewhere)
                 .Add("copy", static_cast<int>(step.spec->may_duplicate)));
  if (step.spec->gang) {
    BreakGang(step, now);
  } else if (step.spec->may_duplicate) {
    run.copied = true;
    step.tasks[run.index].wants_copy = true;
    step.blocked_at = 0;
    NoteWaiting(step);
  } else {
    StopRun(run, stop_reason::kSlow, now);
  }
}

}  // namespace rosearch::sched
