#ifndef ROSEARCH_LOG_EVENT_LINE_H_
#define ROSEARCH_LOG_EVENT_LINE_H_

#include <charconv>
#include <chrono>
#include <concepts>
#include <string>
#include <string_view>
#include <utility>

namespace rosearch {

/// How much a log line matters where not all can be written.
enum class event_weight {
  kDetail,   ///< one step of many on a job's way: a run, a question for advice
  kRequest,  ///< a request that goes well: taken in, accepted, ended
  kFailure,  ///< a request that didn't get what its caller wanted
  kBelief,   ///< a change of what the process holds to be true, start, stop
};

/// One event as a line of key=value pairs.
class event_line {
 public:
  /// @param name  one of the event names in docs/OPERATIONS.md.
  explicit event_line(std::string_view name, event_weight weight = event_weight::kRequest)
      : weight_{weight} {
    text_.reserve(160);
    text_.append("event=").append(name);
  }

  /// Adds a pair; spaces and line breaks in a value become underscores.
  event_line& Add(std::string_view key, std::string_view value) {
    Key(key);
    for (const char c : value) {
      text_.push_back(static_cast<unsigned char>(c) <= ' ' ? '_' : c);
    }
    return *this;
  }
  template <std::integral Number>
  event_line& Add(std::string_view key, Number value) {
    Key(key);
    char digits[24];
    const auto end = std::to_chars(std::begin(digits), std::end(digits), +value).ptr;
    text_.append(std::begin(digits), end);
    return *this;
  }
  /// Adds a span of time in whole milliseconds.
  template <typename Rep, typename Period>
  event_line& Add(std::string_view key, std::chrono::duration<Rep, Period> value) {
    return Add(key, std::chrono::duration_cast<std::chrono::milliseconds>(value).count());
  }

  [[nodiscard]] event_weight weight() const noexcept { return weight_; }
  [[nodiscard]] const std::string& text() const noexcept { return text_; }

 private:
  void Key(std::string_view key) {
    text_.push_back(' ');
    text_.append(key);
    text_.push_back('=');
  }

  event_weight weight_;
  std::string text_;
};

/// Takes log lines. Implementations never block.
class event_sink {
 public:
  virtual ~event_sink() = default;
  virtual void Write(const event_line& line) = 0;
};

}  // namespace rosearch

#endif  // ROSEARCH_LOG_EVENT_LINE_H_
