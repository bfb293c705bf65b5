#include "rosearch/sched/job_memory.h"

#include "rosearch/sched/job_state.h"

namespace rosearch::sched {
namespace {

constexpr std::size_t kSmallJobBytes = 64U << 10U;
/// An allocation's own overhead, and entries of lists and indexes that name a step or a task.
constexpr std::size_t kStepOverhead = 256;
constexpr std::size_t kTaskOverhead = 16;

}  // namespace

job_room job_memory::Check(std::size_t bytes) const noexcept {
  if (bytes > limit_ / 2) {
    return job_room::kNever;
  }
  const auto room = bytes <= kSmallJobBytes ? limit_ : limit_ / 4 * 3;
  return held_ + bytes <= room ? job_room::kRoom : job_room::kFull;
}

std::size_t job_memory::SpecBytes(const job_spec& job) noexcept {
  std::size_t bytes = sizeof(job_state) + sizeof(job_spec) + job.payload.capacity();
  for (const auto& step : job.steps) {
    bytes += sizeof(step_spec) + sizeof(duration) + step.after.capacity() * sizeof(std::uint32_t) +
             step.required_label.capacity() + step.data_rack.capacity() + step.image.capacity();
  }
  return bytes;
}

std::size_t job_memory::OccurrenceBytes(const job_spec& job) noexcept {
  std::size_t bytes = sizeof(occurrence_state);
  for (const auto& step : job.steps) {
    bytes += sizeof(step_state) + kStepOverhead + step.count * (sizeof(task_state) + kTaskOverhead);
  }
  return bytes;
}

}  // namespace rosearch::sched
