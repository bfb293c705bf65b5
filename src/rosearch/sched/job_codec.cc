#include "rosearch/sched/job_codec.h"

#include <chrono>
#include <cstddef>

#include "rosearch/sched/worker_state.h"
#include "rosearch/wire/cell.pb.h"

namespace rosearch::sched {
namespace {

std::uint64_t Micros(duration span) { return static_cast<std::uint64_t>(span.count()); }
duration FromMicros(std::uint64_t count) { return duration{static_cast<std::int64_t>(count)}; }
std::uint64_t Millis(duration span) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(span).count());
}
duration FromMillis(std::uint64_t count) {
  return std::chrono::milliseconds{static_cast<std::int64_t>(count)};
}

void EncodeStep(const step_spec& step, wire::stored_step& out) {
  out.set_count(step.count);
  out.set_processors_milli(static_cast<std::uint32_t>(step.need.processors_milli));
  out.set_memory_mb(static_cast<std::uint32_t>(step.need.memory_mb));
  out.set_accelerators(static_cast<std::uint32_t>(step.need.accelerators));
  out.set_estimate_ms(Millis(step.estimate));
  for (const auto before : step.after) {
    out.add_after(before);
  }
  out.set_checkpoints(step.checkpoints);
  out.set_gang(step.gang);
  out.set_same_rack(step.same_rack);
  out.set_may_duplicate(step.may_duplicate);
  out.set_service(step.service);
  out.set_uses_leftover(step.uses_leftover);
  out.set_required_label(step.required_label);
  out.set_data_rack(step.data_rack);
  out.set_per_worker_limit(step.per_worker_limit);
  out.set_bounds_unavailable(step.max_unavailable.has_value());
  out.set_max_unavailable(step.max_unavailable.value_or(0));
  out.set_image(step.image);
  out.set_tail_target_ms(Millis(step.tail_target));
}

step_spec DecodeStep(const wire::stored_step& in) {
  step_spec step;
  step.count = in.count();
  step.need = {in.processors_milli(), in.memory_mb(), in.accelerators()};
  step.estimate = FromMillis(in.estimate_ms());
  step.after.assign(in.after().begin(), in.after().end());
  step.checkpoints = in.checkpoints();
  step.gang = in.gang();
  step.same_rack = in.same_rack();
  step.may_duplicate = in.may_duplicate();
  step.service = in.service();
  step.uses_leftover = in.uses_leftover();
  step.required_label = in.required_label();
  step.data_rack = in.data_rack();
  step.per_worker_limit = in.per_worker_limit();
  if (in.bounds_unavailable()) {
    step.max_unavailable = in.max_unavailable();
  }
  step.image = in.image();
  step.tail_target = FromMillis(in.tail_target_ms());
  return step;
}

template <typename Each>
std::string Bits(std::size_t count, Each each) {
  std::string bits((count + 7) / 8, '\0');
  for (std::size_t at = 0; at < count; ++at) {
    if (each(at)) {
      bits[at / 8] = static_cast<char>(static_cast<unsigned char>(bits[at / 8]) | (1U << (at % 8)));
    }
  }
  return bits;
}

bool Bit(const std::string& bits, std::size_t at) {
  return at / 8 < bits.size() && ((static_cast<unsigned char>(bits[at / 8]) >> (at % 8)) & 1U) != 0;
}

void EncodeStepProgress(const step_state& step, wire::stored_progress& out) {
  wire::stored_step_progress made;
  bool any = step.done > 0;
  for (std::uint32_t at = 0; at < step.tasks.size(); ++at) {
    const auto& task = step.tasks[at];
    if (!task.failed_runs.empty()) {
      auto& failures = *made.add_failures();
      failures.set_index(at);
      failures.mutable_runs()->Add(task.failed_runs.begin(), task.failed_runs.end());
      any = true;
    }
    if (!task.done && !task.checkpoint.empty()) {
      auto& checkpoint = *made.add_checkpoints();
      checkpoint.set_index(at);
      checkpoint.set_text(task.checkpoint);
      any = true;
    }
  }
  if (!any) {
    return;
  }
  made.set_occurrence(step.occurrence);
  made.set_step(step.index);
  made.set_done(Bits(step.tasks.size(), [&](std::size_t at) { return step.tasks[at].done; }));
  *out.add_steps() = std::move(made);
}

void EncodeResources(const resources& amount, wire::stored_resources& out) {
  out.set_processors_milli(amount.processors_milli);
  out.set_memory_mb(amount.memory_mb);
  out.set_accelerators(amount.accelerators);
}

/// @return the resources of all runs of a job that may be active.
resources ActiveResources(const job_state& job) {
  resources sum;
  for (const auto& occurrence : job.occurrences) {
    for (const auto& step : occurrence->steps) {
      for (const auto* const run : step->runs) {
        sum = sum + run->customer_charge;
      }
    }
  }
  return sum;
}

void ApplyStep(const wire::stored_step_progress& in, step_state& step) {
  for (std::size_t at = 0; at < step.tasks.size(); ++at) {
    if (Bit(in.done(), at) && !step.tasks[at].done) {
      step.tasks[at].done = true;
      ++step.done;
    }
  }
  for (const auto& failures : in.failures()) {
    if (failures.index() < step.tasks.size()) {
      step.tasks[failures.index()].failed_runs.assign(failures.runs().begin(),
                                                      failures.runs().end());
    }
  }
  for (const auto& checkpoint : in.checkpoints()) {
    if (checkpoint.index() < step.tasks.size()) {
      step.tasks[checkpoint.index()].checkpoint = checkpoint.text();
    }
  }
}

}  // namespace

std::string EncodeJob(const job_spec& job) {
  wire::stored_job out;
  out.set_id(job.id);
  out.set_queue(job.queue);
  out.set_pool(job.pool);
  out.set_payload(job.payload);
  for (const auto& step : job.steps) {
    EncodeStep(step, *out.add_steps());
  }
  out.set_occurrences(job.occurrences);
  out.set_first_due_ms(job.first_due_ms);
  out.set_interval_ms(job.interval_ms);
  out.set_priority(job.priority);
  out.set_max_attempts(job.max_attempts);
  out.set_accepted_ms(job.accepted_ms);
  out.set_objective_ms(Millis(job.objective));
  if (job.advice) {
    out.set_advised(true);
    out.set_advice_base_us(Micros(job.advice->base));
    out.set_advice_per_worker_us(Micros(job.advice->per_worker));
    out.set_ticket_life_us(Micros(job.advice->ticket_life));
  }
  out.set_customer(job.customer);
  out.set_beyond_rate(!job.within_rate);
  return out.SerializeAsString();
}

std::optional<job_spec> DecodeJob(const std::string& record) {
  wire::stored_job in;
  if (!in.ParseFromString(record) || in.id().empty() || in.steps().empty()) {
    return std::nullopt;
  }
  job_spec job;
  job.id = in.id();
  job.queue = in.queue();
  job.pool = in.pool();
  job.payload = in.payload();
  for (const auto& step : in.steps()) {
    job.steps.push_back(DecodeStep(step));
  }
  job.occurrences = in.occurrences();
  job.first_due_ms = in.first_due_ms();
  job.interval_ms = in.interval_ms();
  job.priority = in.priority();
  job.max_attempts = in.max_attempts();
  job.accepted_ms = in.accepted_ms();
  job.objective = FromMillis(in.objective_ms());
  job.customer = in.customer();
  job.within_rate = !in.beyond_rate();
  if (in.advised()) {
    job.advice = advice_cost{FromMicros(in.advice_base_us()), FromMicros(in.advice_per_worker_us()),
                             FromMicros(in.ticket_life_us())};
  }
  return job;
}

std::string EncodeProgress(const job_state& job) {
  wire::stored_progress out;
  out.set_phase(static_cast<std::uint32_t>(job.phase));
  out.set_queue(job.spec->queue);
  if (IsTerminal(job.phase)) {
    out.set_ended_ms(job.ended_ms);
    out.set_customer(job.spec->customer);
    if (job.live > 0 && !job.spec->customer.empty()) {
      EncodeResources(ActiveResources(job), *out.mutable_stopping());
    }
    return out.SerializeAsString();
  }
  if (job.Occurrences() > 1) {
    out.set_done_occurrences(
        Bits(job.occurrences.size(), [&](std::size_t at) { return job.occurrences[at]->done; }));
  }
  for (const auto& occurrence : job.occurrences) {
    if (occurrence->done) {
      continue;
    }
    for (const auto& step : occurrence->steps) {
      EncodeStepProgress(*step, out);
    }
  }
  return out.SerializeAsString();
}

void ApplyProgress(const wire::stored_progress& record, job_state& job) {
  for (const auto& in : record.steps()) {
    while (in.occurrence() >= job.occurrences.size() &&
           job.occurrences.size() < job.Occurrences()) {
      AddOccurrence(job);
    }
    if (auto* const step = job.Step(in.occurrence(), in.step())) {
      ApplyStep(in, *step);
    }
  }
  for (std::size_t at = 0; at < record.done_occurrences().size() * 8; ++at) {
    if (!Bit(record.done_occurrences(), at)) {
      continue;
    }
    while (at >= job.occurrences.size() && job.occurrences.size() < job.Occurrences()) {
      AddOccurrence(job);
    }
    if (at < job.occurrences.size()) {
      job.occurrences[at]->done = true;
      for (auto& step : job.occurrences[at]->steps) {
        for (auto& task : step->tasks) {
          task.done = true;
        }
        step->done = static_cast<std::uint32_t>(step->tasks.size());
      }
    }
  }
}

}  // namespace rosearch::sched
