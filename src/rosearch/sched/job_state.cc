#include "rosearch/sched/job_state.h"

#include <algorithm>
#include <charconv>
#include <chrono>

namespace rosearch::sched {
namespace {

/// Removes the last dot-separated number from a text and returns it.
std::optional<std::uint32_t> RemoveLastNumber(std::string_view& text) {
  const auto dot = text.rfind('.');
  if (dot == std::string_view::npos) {
    return std::nullopt;
  }
  std::uint32_t value = 0;
  const auto* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data() + dot + 1, end, value);
  if (parsed.ec != std::errc{} || parsed.ptr != end) {
    return std::nullopt;
  }
  text = text.substr(0, dot);
  return value;
}

}  // namespace

std::string task_name::Text() const {
  return job + '.' + std::to_string(occurrence) + '.' + std::to_string(step) + '.' +
         std::to_string(index);
}

std::optional<task_name> task_name::Parse(std::string_view text) {
  const auto index = RemoveLastNumber(text);
  const auto step = RemoveLastNumber(text);
  const auto occurrence = RemoveLastNumber(text);
  if (!index || !step || !occurrence || text.empty()) {
    return std::nullopt;
  }
  return task_name{std::string{text}, *occurrence, *step, *index};
}

std::uint32_t step_state::CountIdleTasks() const {
  // Fast path: usually all tasks run or are done, and each pass checks hundreds of steps.
  if (!spec->may_duplicate && runs.size() + done >= tasks.size()) {
    return 0;
  }
  std::uint32_t idle = 0;
  for (const auto& task : tasks) {
    idle += WantsStart(task) ? 1 : 0;
  }
  return idle;
}

std::string step_state::Name() const {
  return job->spec->id + '.' + std::to_string(occurrence) + '.' + std::to_string(index);
}

duration step_state::RunTime() const { return job->predicted.run_times[index]; }

step_state* job_state::Step(std::uint32_t occurrence, std::uint32_t step) const {
  if (occurrence >= occurrences.size() || step >= occurrences[occurrence]->steps.size()) {
    return nullptr;
  }
  return occurrences[occurrence]->steps[step].get();
}

bool HasDoneTasks(const job_state& job) {
  return std::ranges::any_of(job.occurrences, [](const auto& occurrence) {
    return std::ranges::any_of(occurrence->steps, [](const auto& step) { return step->done > 0; });
  });
}

occurrence_state& AddOccurrence(job_state& job) {
  auto made = std::make_unique<occurrence_state>();
  made->number = static_cast<std::uint32_t>(job.occurrences.size());
  for (std::uint32_t at = 0; at < job.spec->steps.size(); ++at) {
    auto step = std::make_unique<step_state>();
    step->job = &job;
    step->spec = &job.spec->steps[at];
    step->occurrence = made->number;
    step->index = at;
    step->tasks.resize(step->spec->count);
    made->steps.push_back(std::move(step));
  }
  job.occurrences.push_back(std::move(made));
  return *job.occurrences.back();
}

duration CriticalPath(const std::vector<step_spec>& steps) {
  std::vector<duration> estimates;
  estimates.reserve(steps.size());
  for (const auto& step : steps) {
    estimates.push_back(step.estimate);
  }
  return CriticalPath(steps, estimates);
}

duration CriticalPath(const std::vector<step_spec>& steps, const std::vector<duration>& run_times) {
  std::vector<duration> ends(steps.size());
  duration longest{};
  for (std::size_t at = 0; at < steps.size(); ++at) {
    duration begin{};
    for (const auto before : steps[at].after) {
      begin = std::max(begin, ends[before]);
    }
    ends[at] = begin + run_times[at];
    longest = std::max(longest, ends[at]);
  }
  return longest;
}

double TotalWork(const job_spec& job) {
  double work = 0;
  for (const auto& step : job.steps) {
    const auto ms = std::chrono::duration<double, std::milli>{step.estimate}.count();
    work += static_cast<double>(step.count) * static_cast<double>(step.need.processors_milli) * ms;
  }
  return work;
}

}  // namespace rosearch::sched
