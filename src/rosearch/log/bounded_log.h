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

/// Rate and buffer limits of a `bounded_log`.
struct bounded_log_settings {
  int descriptor{1};  ///< standard output
  /// Max lines of `kDetail` per second; further lines are counted but not written. Enough to log
  /// every start at 180 starts a second, while it bounds the cost of a burst.
  std::uint32_t max_detail_lines_per_second{500};
  /// Max lines of `kRequest` per second. Separate from the detail limit: with a shared limit of 600
  /// lines, a burst of 900 starts a second suppressed the acceptance lines of some jobs.
  std::uint32_t max_request_lines_per_second{600};
  /// Max lines per second of all other kinds together.
  std::uint32_t max_other_lines_per_second{1'000};
  /// Max size of the lines that are buffered while the output isn't read; further lines are dropped
  /// and counted.
  std::size_t max_buffered_bytes{256U << 10U};

  friend bool operator==(const bounded_log_settings&, const bounded_log_settings&) = default;
};

/// Writes lines to a file descriptor without blocking. With blocking writes, a stalled reader would
/// block the whole process in the middle of a decision.
class bounded_log final : public event_sink {
 public:
  /// Makes the descriptor non-blocking.
  explicit bounded_log(const bounded_log_settings& settings);

  void Write(const event_line& line) override;

  /// Writes as much of the buffer as the descriptor accepts without blocking. Call every few
  /// hundred milliseconds, and once more before the process ends.
  void Flush();

  /// @return number of lines dropped since the start.
  [[nodiscard]] std::uint64_t DroppedLines() const;

 private:
  void UpdateRateWindow(time_point now);
  void FlushLocked();

  bounded_log_settings settings_;
  mutable std::mutex mutex_;
  std::string buffer_;
  time_point window_start_{};
  std::array<std::uint32_t, 3> written_{};  ///< current second: details, requests, others
  std::uint64_t suppressed_{0};             ///< lines dropped in the current second
  std::uint64_t dropped_{0};
};

}  // namespace rosearch

#endif  // ROSEARCH_LOG_BOUNDED_LOG_H_
