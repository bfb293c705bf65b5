#ifndef SOAK_TIMELINE_H_
#define SOAK_TIMELINE_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <stdexcept>
#include <string>
#include <utility>

#include "rosearch/core/random_source.h"
#include "rosearch/core/time.h"
#include "soak/run.h"

namespace rosearch::soak {

/// True time since the run began, in microseconds. No process of the run can read it.
using moment = std::int64_t;

inline constexpr moment kMillisecond = 1000;
inline constexpr moment kSecond = 1000 * kMillisecond;

/// A promise was broken; ends the run.
class breach : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// A process's clock: it began at another reading and gains or loses a little.
struct drifting_clock {
  moment offset{0};
  std::int64_t ppm{0};

  /// @return its reading at a moment.
  [[nodiscard]] time_point At(moment when) const {
    return time_point{duration{offset + when + when * ppm / 1'000'000}};
  }
  /// @return the moment of a reading, to a microsecond or so.
  [[nodiscard]] moment When(time_point reading) const {
    return (reading.time_since_epoch().count() - offset) * 1'000'000 / (1'000'000 + ppm) + 1;
  }
};

/// What happens in a run, in order of time and then of scheduling, with the run's only source of
/// chance and the trace of all that happened.
class timeline {
 public:
  explicit timeline(const run_options& options) : random{options.seed}, options_{options} {}

  void At(moment when, std::function<void()> what) {
    events_.emplace(std::pair{std::max(when, now_), ++scheduled_}, std::move(what));
  }
  void After(moment wait, std::function<void()> what) { At(now_ + wait, std::move(what)); }

  /// Does all that is due by then.
  void RunUntil(moment end) {
    while (!events_.empty() && events_.begin()->first.first <= end) {
      auto next = events_.extract(events_.begin());
      now_ = next.key().first;
      next.mapped()();
    }
    now_ = end;
  }

  /// Mixes a line into the hash of the trace.
  void Trace(const std::string& line) {
    for (const char each : std::to_string(now_) + ' ' + line + '\n') {
      hash_ = (hash_ ^ static_cast<unsigned char>(each)) * 0x100000001b3U;
    }
    if (options_.trace && line.size() < 400) {
      Print(line);
    }
  }
  /// Mixes in what can't be printed.
  void TraceBytes(const std::string& what, const std::string& bytes) {
    Trace(what + ' ' + std::to_string(std::hash<std::string>{}(bytes)));
  }

  /// Ends the run with all that is needed to see the breach again.
  [[noreturn]] void Breach(const std::string& promise, const std::string& what) const {
    throw breach{"promise=" + promise + " at_us=" + std::to_string(now_) + ' ' + what +
                 " replay=\"" + ReplayLine(options_) + '"'};
  }

  [[nodiscard]] moment now() const noexcept { return now_; }
  [[nodiscard]] std::uint64_t hash() const noexcept { return hash_; }
  [[nodiscard]] const run_options& options() const noexcept { return options_; }

  random_source random;

 private:
  void Print(const std::string& line) const;

  run_options options_;
  std::map<std::pair<moment, std::uint64_t>, std::function<void()>> events_;
  std::uint64_t scheduled_{0};
  moment now_{0};
  std::uint64_t hash_{0xcbf29ce484222325U};
};

}  // namespace rosearch::soak

#endif  // SOAK_TIMELINE_H_
