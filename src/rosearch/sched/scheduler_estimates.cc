// Run times of `scheduler`: predicted for jobs, learned from ended runs.
//
// Callers' estimates are off by up to nine tenths. Jobs with an estimate that is too long would
// wait behind others until they are late, and those with one that is too short would be given up
// though they could still be in time.
#include <algorithm>
#include <chrono>

#include "rosearch/sched/scheduler.h"

namespace rosearch::sched {
namespace {

/// Min interval between two stored records of the model.
constexpr duration kRecordInterval = std::chrono::seconds{10};

/// A prediction that differs from the declared estimate by more than this factor is logged.
constexpr int kLoggedFactor = 3;

/// Lower bound of a worker's slowness when a run time is converted to that at normal speed.
constexpr double kMinSlowness = 0.1;

run_time_key KeyOf(const job_spec& job, const step_spec& step) {
  return {job.queue, job.customer, step.image};
}

double Ratio(duration a, duration b) {
  return std::chrono::duration<double>{a} / std::chrono::duration<double>{b};
}

}  // namespace

job_prediction scheduler::PredictJob(const job_spec& job) const {
  job_prediction predicted{{}, job.objective};
  predicted.run_times.reserve(job.steps.size());
  const bool uses_model = settings_.Uses(mechanism::kEstimates);
  bool differs = false;
  for (const auto& step : job.steps) {
    const bool learned = uses_model && !step.service && !step.uses_leftover;
    const auto time = learned ? run_times_.Predict(KeyOf(job, step), step.estimate) : step.estimate;
    differs = differs || time != step.estimate;
    predicted.run_times.push_back(time);
  }
  const auto* const rules = differs ? configuration_.Find(job.queue) : nullptr;
  if (rules != nullptr) {
    // Estimates that are absent don't differ, so the declared path isn't empty. The objective was
    // promised as a multiple of the declared path, plus the latency target.
    const auto path = CriticalPath(job.steps, predicted.run_times);
    const std::chrono::duration<double, duration::period> declared{job.objective -
                                                                   rules->latency_target};
    const auto stretched = declared * Ratio(path, CriticalPath(job.steps));
    predicted.objective =
        std::max(path, std::chrono::duration_cast<duration>(stretched) + rules->latency_target);
  }
  return predicted;
}

void scheduler::ApplyPrediction(job_state& job, job_prediction predicted) {
  job.predicted = std::move(predicted);
  job.finish_by = job.submitted_at + job.predicted.objective;
}

void scheduler::LogPrediction(const job_spec& spec, const job_state& job) {
  for (std::size_t at = 0; at < spec.steps.size(); ++at) {
    const auto declared = spec.steps[at].estimate;
    const auto predicted = job.predicted.run_times[at];
    if (predicted > declared * kLoggedFactor || declared > predicted * kLoggedFactor) {
      log_.Write(event_line{"run_time_predicted", event_weight::kDetail}
                     .Add("job", spec.id)
                     .Add("queue", spec.queue)
                     .Add("customer", spec.customer)
                     .Add("step", at)
                     .Add("declared_ms", declared)
                     .Add("predicted_ms", predicted)
                     .Add("objective_ms", job.predicted.objective));
      return;
    }
  }
}

std::optional<duration> scheduler::TypicalOfEarlierJobs(const step_state& step) const {
  if (!settings_.Uses(mechanism::kEstimates) || step.spec->service || step.spec->uses_leftover) {
    return std::nullopt;
  }
  return run_times_.PredictWithin(KeyOf(*step.job->spec, *step.spec), step.spec->estimate,
                                  settings_.slow_factor);
}

void scheduler::LearnRunTime(const live_run& run, duration took) {
  // What an overloaded leader measures includes its own delay.
  if (!settings_.Uses(mechanism::kEstimates) || run.step == nullptr || IsOverloaded()) {
    return;
  }
  const auto& step = *run.step->spec;
  if (step.service || step.uses_leftover) {
    return;
  }
  const auto normal = std::chrono::duration<double, duration::period>{took} /
                      std::max(kMinSlowness, run.worker->slowness);
  run_times_.Learn(KeyOf(*run.step->job->spec, step), step.estimate,
                   std::chrono::duration_cast<duration>(normal), 1.0 / step.count);
  run_times_changed_ = true;
  ++run_times_learned_;
}

void scheduler::ScheduleRunTimeRecord(const instant& now) {
  if (run_times_changed_ && now.steady >= next_run_times_record_) {
    run_times_changed_ = false;
    run_times_due_ = true;
    next_run_times_record_ = now.steady + kRecordInterval;
  }
}

}  // namespace rosearch::sched
