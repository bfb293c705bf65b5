#ifndef ROSEARCH_SCHED_JOB_MEMORY_H_
#define ROSEARCH_SCHED_JOB_MEMORY_H_

#include <cstddef>
#include <cstdint>

#include "rosearch/sched/job_spec.h"

namespace rosearch::sched {

/// Whether a job may be accepted, as far as the memory for jobs goes.
enum class job_room : std::uint8_t {
  kRoom,
  kFull,   ///< not now
  kNever,  ///< it is larger than a job may be
};

/// Estimates and bounds the bytes of all jobs that a leader keeps until they end. A job of a few
/// bytes can ask for many tasks and occurrences, and work that lasts never ends by itself.
class job_memory {
 public:
  explicit job_memory(std::size_t limit_bytes) : limit_{limit_bytes} {}

  /// @param bytes  of the job, with its first occurrence. Small jobs still find room where large
  ///               ones don't.
  [[nodiscard]] job_room Check(std::size_t bytes) const noexcept;
  /// @return whether there is room for one more occurrence, beside others of its job.
  [[nodiscard]] bool HasRoom(std::size_t bytes) const noexcept { return held_ + bytes <= limit_; }

  void Add(std::size_t bytes) noexcept { held_ += bytes; }
  void Remove(std::size_t bytes) noexcept { held_ -= bytes; }

  [[nodiscard]] std::size_t held() const noexcept { return held_; }
  [[nodiscard]] std::size_t limit() const noexcept { return limit_; }

  /// @return bytes of a specification.
  [[nodiscard]] static std::size_t SpecBytes(const job_spec& job) noexcept;
  /// @return bytes of one occurrence of all its steps and tasks.
  [[nodiscard]] static std::size_t OccurrenceBytes(const job_spec& job) noexcept;

 private:
  std::size_t limit_;
  std::size_t held_{0};
};

}  // namespace rosearch::sched

#endif  // ROSEARCH_SCHED_JOB_MEMORY_H_
