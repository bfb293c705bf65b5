#ifndef ROSEARCH_LOG_BOUNDED_LOG_H_
#define ROSEARCH_LOG_BOUNDED_LOG_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>

#include "rosearch/core/time.h"
#include "rosearch/log/event_line.h"

namespace rosearch {

/// Bounds of a `bounded_log`.
struct bounded_log_settings {
  int descriptor{1};  ///< standard output
  /// Lines about single steps of jobs, each second; more are counted, not written. At 180 starts a
  /// second this lets every one through, and a burst costs no more than this.
  std::uint32_t detail_lines_per_second{500};
  /// Lines about requests that go well, each second. Apart from the former: where they shared 600
  /// lines, a burst of 900 starts a second left jobs without a line that they were accepted.
  std::uint32_t request_lines_per_second{600};
  /// Lines of every other kind, each second.
  std::uint32_t other_lines_per_second{1'000};
  /// What may wait for a reader of the output; beyond it lines are dropped and counted.
  std::size_t waiting_bytes{256U << 10U};

  friend bool operator==(const bounded_log_settings&, const bounded_log_settings&) = default;
};

/// Writes lines to a descriptor without ever waiting for its reader. A reader that hangs would
/// otherwise stop the whole process in the middle of a decision.
class bounded_log final : public event_sink {
 public:
  /// Makes the descriptor non-blocking.
  explicit bounded_log(const bounded_log_settings& settings);

  void Write(const event_line& line) override;

  /// Hands what waits to the descriptor, as far as it takes it now. Call every few hundred
  /// milliseconds, and last before the process ends.
  void Flush();

  /// @return lines that were never written, since the start.
  [[nodiscard]] std::uint64_t Dropped() const;

 private:
  void BeginSecond(time_point now);
  void FlushLocked();

  bounded_log_settings settings_;
  mutable std::mutex mutex_;
  std::string waiting_;
  time_point second_began_{};
  std::array<std::uint32_t, 3> written_{};  ///< this second: details, requests, the rest
  std::uint64_t suppressed_{0};             ///< in the present second
  std::uint64_t dropped_{0};
};

}  // namespace rosearch

#endif  // ROSEARCH_LOG_BOUNDED_LOG_H_
