#include "rosearch/log/bounded_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>

#include "rosearch/platform/clock.h"

namespace rosearch {
namespace {

/// Max bytes per `write` call, cut at a line end. A pipe writes up to 4 KB atomically, so that
/// lines of several processes on one pipe don't interleave.
constexpr std::size_t kMaxWriteBytes = 4'000;

void AppendTime(std::string& text) {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  text += "t=";
  text += std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
  text += ' ';
}

}  // namespace

bounded_log::bounded_log(const bounded_log_settings& settings) : settings_{settings} {
  const int flags = fcntl(settings_.descriptor, F_GETFL);
  if (flags >= 0) {
    (void)fcntl(settings_.descriptor, F_SETFL, flags | O_NONBLOCK);
  }
}

void bounded_log::UpdateRateWindow(time_point now) {
  if (now - window_start_ < std::chrono::seconds{1}) {
    return;
  }
  if (suppressed_ > 0) {
    AppendTime(buffer_);
    buffer_ +=
        event_line{"log_suppressed", event_weight::kStateChange}.Add("lines", suppressed_).text();
    buffer_ += '\n';
  }
  window_start_ = now;
  written_ = {};
  suppressed_ = 0;
}

void bounded_log::Write(const event_line& line) {
  const std::scoped_lock lock{mutex_};
  UpdateRateWindow(SteadyNow());
  const std::array limits{settings_.max_detail_lines_per_second,
                          settings_.max_request_lines_per_second,
                          settings_.max_other_lines_per_second};
  const auto kind = std::min(static_cast<std::size_t>(line.weight()), limits.size() - 1);
  auto& count = written_[kind];
  const auto limit = limits[kind];
  if (count >= limit || buffer_.size() + line.text().size() > settings_.max_buffered_bytes) {
    ++suppressed_;
    ++dropped_;
    return;
  }
  ++count;
  AppendTime(buffer_);
  buffer_ += line.text();
  buffer_ += '\n';
  if (buffer_.size() >= kMaxWriteBytes) {
    FlushLocked();
  }
}

void bounded_log::Flush() {
  const std::scoped_lock lock{mutex_};
  FlushLocked();
}

void bounded_log::FlushLocked() {
  while (!buffer_.empty()) {
    auto size = buffer_.size();
    if (size > kMaxWriteBytes) {
      const auto line_end = buffer_.rfind('\n', kMaxWriteBytes - 1);
      size = line_end == std::string::npos ? kMaxWriteBytes : line_end + 1;
    }
    const auto written = ::write(settings_.descriptor, buffer_.data(), size);
    if (written < 0 && errno == EINTR) {
      continue;
    }
    if (written <= 0) {
      return;  // not writable now: the buffer is bounded, and lines beyond it are counted
    }
    buffer_.erase(0, static_cast<std::size_t>(written));
  }
}

std::uint64_t bounded_log::DroppedLines() const {
  const std::scoped_lock lock{mutex_};
  return dropped_;
}

}  // namespace rosearch
