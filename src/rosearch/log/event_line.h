#ifndef ROSEARCH_LOG_EVENT_LINE_H_
#define ROSEARCH_LOG_EVENT_LINE_H_

#include <charconv>
#include <chrono>
#include <concepts>
#include <string>
#include <string_view>
#include <utility>

#include "rosearch/core/time.h"

namespace rosearch {

/// Category of a log line. `bounded_log` limits details and requests separately from the other
/// lines, so that a burst of them doesn't suppress failures and state changes.
enum class event_weight {
  kDetail,       ///< a single step of a job, such as a run or an advice query
  kRequest,      ///< a successful request: received, accepted, ended
  kFailure,      ///< a failed or refused request
  kStateChange,  ///< a state change that the process detected, its start or stop
};

/// @return the time since a date; -1 ms, which no age has, if there is no date.
[[nodiscard]] constexpr duration AgeForLog(time_point at, time_point now) {
  return at == time_point{} ? duration{std::chrono::milliseconds{-1}} : now - at;
}

/// An event, formatted as a line of key=value pairs.
class event_line {
 public:
  /// @param name  one of the event names in docs/OPERATIONS.md.
  explicit event_line(std::string_view name, event_weight weight = event_weight::kRequest)
      : weight_{weight} {
    text_.reserve(160);
    text_.append("event=").append(name);
  }

  /// Appends a pair; spaces and control characters in the value are replaced by underscores.
  event_line& Add(std::string_view key, std::string_view value) {
    AppendKey(key);
    for (const char c : value) {
      text_.push_back(static_cast<unsigned char>(c) <= ' ' ? '_' : c);
    }
    return *this;
  }
  template <std::integral Number>
  event_line& Add(std::string_view key, Number value) {
    AppendKey(key);
    char digits[24];
    const auto end = std::to_chars(std::begin(digits), std::end(digits), +value).ptr;
    text_.append(std::begin(digits), end);
    return *this;
  }
  /// Appends a duration in whole milliseconds.
  template <typename Rep, typename Period>
  event_line& Add(std::string_view key, std::chrono::duration<Rep, Period> value) {
    return Add(key, std::chrono::duration_cast<std::chrono::milliseconds>(value).count());
  }

  [[nodiscard]] event_weight weight() const noexcept { return weight_; }
  [[nodiscard]] const std::string& text() const noexcept { return text_; }

 private:
  void AppendKey(std::string_view key) {
    text_.push_back(' ');
    text_.append(key);
    text_.push_back('=');
  }

  event_weight weight_;
  std::string text_;
};

/// Receives log lines. Implementations must not block.
class event_sink {
 public:
  virtual ~event_sink() = default;
  virtual void Write(const event_line& line) = 0;
};

}  // namespace rosearch

#endif  // ROSEARCH_LOG_EVENT_LINE_H_
