#ifndef ROSEARCH_METRICS_METRIC_SET_H_
#define ROSEARCH_METRICS_METRIC_SET_H_

#include <cstdint>
#include <iosfwd>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "rosearch/core/time.h"

namespace rosearch {

/// Counters, gauges and histograms of one process. Thread-safe.
class metric_set {
 public:
  metric_set();
  ~metric_set();
  metric_set(const metric_set&) = delete;
  metric_set& operator=(const metric_set&) = delete;

  /// Sets the help text of a metric.
  /// @param name  without labels.
  void Describe(const std::string& name, const std::string& help);

  /// Increments a counter.
  /// @param name  with labels, such as `rosearch_calls_total{kind="request"}`.
  void Count(const std::string& name, std::uint64_t by = 1);

  /// Sets a counter whose value is maintained elsewhere.
  void SetTotal(const std::string& name, std::uint64_t value);

  /// Sets a gauge.
  void Set(const std::string& name, double value);

  /// Records a duration in a histogram. It is exported in seconds if the name without labels ends
  /// with `_seconds`, otherwise in milliseconds.
  /// @param name  with labels, such as `rosearch_wait_seconds{priority="0"}`.
  void Observe(const std::string& name, duration span);

  /// @return all metrics in the Prometheus text format.
  [[nodiscard]] std::string Text() const;

 private:
  struct histogram_data;

  void WriteFamilyHeader(std::ostream& out, const std::string& name, const char* type,
                         std::string& last) const;

  mutable std::mutex mutex_;
  std::map<std::string, std::string> help_;
  std::map<std::string, std::uint64_t> counters_;
  std::map<std::string, double> gauges_;
  std::map<std::string, std::unique_ptr<histogram_data>> histograms_;
};

}  // namespace rosearch

#endif  // ROSEARCH_METRICS_METRIC_SET_H_
