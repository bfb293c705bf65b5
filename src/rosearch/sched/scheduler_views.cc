// Diagnostic output of `scheduler`: counts, dumps, and reasons why steps wait.
#include <algorithm>
#include <chrono>
#include <cmath>
#include <sstream>

#include "rosearch/sched/scheduler.h"

namespace rosearch::sched {
namespace {

/// Minimum interval between two log lines about the same waiting step.
constexpr duration kWaitLogInterval = std::chrono::seconds{2};

std::int64_t Millis(duration span) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

std::string_view SessionName(session_phase phase) {
  constexpr std::string_view kNames[]{"new", "live", "silent"};
  return kNames[static_cast<std::size_t>(phase)];
}

std::string_view RunPhaseName(run_phase phase) {
  constexpr std::string_view kNames[]{"starting", "unsure", "running", "stopping"};
  return kNames[static_cast<std::size_t>(phase)];
}

std::ostream& operator<<(std::ostream& out, const wait_view& wait) {
  return out << wait.what << " unsettled=" << wait.unsettled << " out_of_use=" << wait.out_of_use
             << " left_alone=" << wait.quarantined << " unfit=" << wait.unfit
             << " not_allowed=" << wait.not_allowed << " no_room=" << wait.no_room
             << " open=" << wait.open;
}

}  // namespace

cell_counts scheduler::Counts(const instant& now) const {
  cell_counts counts;
  counts.jobs = jobs_.size();
  counts.job_bytes = job_memory_.held();
  counts.max_job_bytes = job_memory_.limit();
  counts.workers = workers_.size();
  counts.unsettled = unsettled_.size();
  counts.placement_attempts = placement_attempts_;
  counts.workers_considered = workers_considered_;
  counts.run_times_learned = run_times_learned_;
  counts.worker_restarts = worker_restarts_;
  counts.advice_unused = advice_unused_;
  for (const auto& [id, worker] : workers_) {
    counts.runs += worker->runs.size();
    for (const auto& [task, run] : worker->runs) {
      const bool confirmed = run->phase == run_phase::kRunning;
      counts.oldest_unconfirmed = std::max(counts.oldest_unconfirmed,
                                           confirmed ? duration{} : now.steady - run->ordered_at);
    }
    if (worker->session != session_phase::kLive) {
      continue;
    }
    ++counts.workers_live;
    counts.leases_ending += worker->lease_until - now.steady < kLeaseEnding ? 1 : 0;
    counts.oldest_report = std::max(counts.oldest_report, now.steady - worker->report_sent_at);
  }
  for (const auto* const step : open_steps_) {
    counts.waiting_tasks += step->CountIdleTasks();
    if (step->stalled_since != time_point{}) {
      ++counts.stalled_steps;
      counts.oldest_stall = std::max(counts.oldest_stall, now.steady - step->stalled_since);
    }
  }
  return counts;
}

wait_view scheduler::DiagnoseWait(const step_state& step, const instant& now) const {
  wait_view view;
  view.unsettled = unsettled_.size();
  if (step.Finished()) {
    view.what = "nothing";
  } else if (!step.open) {
    view.what = "earlier_steps";
  } else if (step.CountIdleTasks() == 0) {
    view.what = "its_runs";
  } else if (!step.job->accepted) {
    view.what = "store";
  } else if (!IsStartable(step)) {
    view.what = "old_workers";
  } else if (step.at_limit) {
    view.what = "customer_limit";
  }
  if (!view.what.empty()) {
    return view;
  }
  for (const auto& [id, worker] : workers_) {
    if (!worker->MayStart()) {
      ++view.out_of_use;
    } else if (!worker->health.IsUsable(now.steady)) {
      ++view.quarantined;
    } else if (!IsEligible(step, nullptr, *worker, now)) {
      ++view.unfit;
    } else if (step.advice.Refused(id)) {
      ++view.not_allowed;
    } else if (!Fits(step, *worker)) {
      ++view.no_room;
    } else {
      ++view.open;
    }
  }
  if (view.open == 0) {
    view.what = "workers";
  } else {
    view.what = step.job->advice ? "advice" : "a_pass";
  }
  return view;
}

void scheduler::LogWaitingStep(step_state& step, const instant& now) {
  if (now.steady < step.next_waiting_log_at) {
    return;
  }
  step.next_waiting_log_at = now.steady + kWaitLogInterval;
  const auto wait = DiagnoseWait(step, now);
  if (step.at_limit) {
    LogLimitWait(step, now);
    return;
  }
  log_.Write(event_line{"step_waits", event_weight::kDetail}
                 .Add("job", step.job->spec->id)
                 .Add("step", step.Name())
                 .Add("idle", step.CountIdleTasks())
                 .Add("left_ms", step.job->finish_by - now.steady)
                 .Add("waits_for", wait.what)
                 .Add("unsettled", wait.unsettled)
                 .Add("out_of_use", wait.out_of_use)
                 .Add("left_alone", wait.quarantined)
                 .Add("unfit", wait.unfit)
                 .Add("not_allowed", wait.not_allowed)
                 .Add("no_room", wait.no_room)
                 .Add("open", wait.open));
}

void scheduler::LogLimitWait(const step_state& step, const instant& now) {
  const auto& customer = *step.job->customer;
  log_.Write(event_line{"step_at_limit", event_weight::kFailure}
                 .Add("job", step.job->spec->id)
                 .Add("step", step.Name())
                 .Add("idle", step.CountIdleTasks())
                 .Add("left_ms", step.job->finish_by - now.steady)
                 .Add("customer", customer.name())
                 .Add("used_cpu", customer.used().processors_milli)
                 .Add("used_mb", customer.used().memory_mb)
                 .Add("unread_cpu", customer.unread().processors_milli)
                 .Add("unread_mb", customer.unread().memory_mb)
                 .Add("limit_cpu", customer.limit().processors_milli)
                 .Add("limit_mb", customer.limit().memory_mb));
}

std::string scheduler::Dump(const instant& now) const {
  std::ostringstream out;
  out << "epoch=" << epoch_ << " version=" << configuration_.version << " jobs=" << jobs_.size()
      << " unsettled=" << unsettled_.size() << " batches=" << storing_.size() << '\n';
  for (const auto& [id, worker] : workers_) {
    out << "worker " << id << " address=" << worker->facts.address
        << " session=" << SessionName(worker->session) << " listed=" << worker->listed
        << " recorded=" << worker->records.IsOpen(worker->born)
        << " draining=" << worker->facts.draining << " cpu_free=" << worker->Free().processors_milli
        << " mb_free=" << worker->Free().memory_mb << " runs=" << worker->runs.size()
        << " strangers=" << worker->unknown_runs
        << " lease_ms=" << Millis(worker->lease_until - now.steady)
        << " report_ms_ago=" << Millis(now.steady - worker->report_sent_at)
        << " unacked=" << worker->seen_end - worker->acked_end
        << " usable=" << worker->health.IsUsable(now.steady) << '\n';
  }
  for (const auto& [name, customer] : customers_) {
    out << "customer " << name << " cpu=" << customer.used().processors_milli << '/'
        << customer.limit().processors_milli << " mb=" << customer.used().memory_mb << '/'
        << customer.limit().memory_mb << " accelerators=" << customer.used().accelerators << '/'
        << customer.limit().accelerators << " unread_cpu=" << customer.unread().processors_milli
        << " weight=" << customer.weight() << '\n';
  }
  run_times_.Visit([&](const run_time_key& key, const run_time_regression& each) {
    out << "run_times queue=" << key.queue << " customer=" << key.customer << " image=" << key.image
        << " weight=" << each.weight << " mean_declared_ms=" << std::exp(each.mean_declared)
        << " mean_measured_ms=" << std::exp(each.mean_measured) << " residual=" << each.Residual()
        << " as_declared=" << each.DeclaredFits() << '\n';
  });
  for (const auto* const step : open_steps_) {
    out << "step " << step->Name() << " idle=" << step->CountIdleTasks() << " done=" << step->done
        << '/' << step->tasks.size() << " asking=" << step->advice.HasPendingQuery(now.steady)
        << " left_ms=" << Millis(step->job->finish_by - now.steady)
        << " waits_for=" << DiagnoseWait(*step, now) << '\n';
  }
  return out.str();
}

std::string scheduler::Explain(std::string_view id, const instant& now) const {
  std::ostringstream out;
  if (const auto ended = ended_.find(std::string{id}); ended != ended_.end()) {
    out << "job " << id << " phase=" << PhaseName(ended->second.phase)
        << " ended_ms_ago=" << now.wall_ms - ended->second.ended_ms << '\n';
    return out.str();
  }
  const auto found = jobs_.find(std::string{id});
  if (found == jobs_.end()) {
    out << "job " << id << " unknown epoch=" << epoch_ << '\n';
    return out.str();
  }
  const auto& job = *found->second;
  out << "job " << id << " phase=" << PhaseName(job.phase)
      << " stored_phase=" << PhaseName(job.stored_phase) << " accepted=" << job.accepted
      << " restored=" << job.restored << " queue=" << job.spec->queue
      << " customer=" << job.spec->customer << " within_rate=" << job.spec->within_rate
      << " priority=" << job.priority << " max_attempts=" << job.max_attempts
      << " left_ms=" << Millis(job.finish_by - now.steady) << " runs=" << job.live
      << (job.accepted ? "" : " waits_for=store") << '\n';
  for (const auto& occurrence : job.occurrences) {
    for (const auto& step : occurrence->steps) {
      out << "step " << step->Name() << " done=" << step->done << '/' << step->tasks.size()
          << " idle=" << step->CountIdleTasks() << " waits_for=" << DiagnoseWait(*step, now)
          << '\n';
      for (const auto* const run : step->runs) {
        out << "run " << run->task << " run=" << run->run << " worker=" << run->worker->facts.id
            << " phase=" << RunPhaseName(run->phase) << " percent=" << run->percent
            << " reason=" << StopReasonName(run->reason)
            << " since_ms=" << Millis(now.steady - run->started_at) << '\n';
      }
    }
  }
  return out.str();
}

}  // namespace rosearch::sched
