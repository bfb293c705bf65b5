#include "rosearch/metrics/metric_set.h"

#include <catch2/catch.hpp>
#include <chrono>

namespace rosearch {

using std::chrono::milliseconds;

TEST_CASE("a family has its help and type once, before its samples") {
  metric_set metrics;
  metrics.Describe("rosearch_answers_total", "Answers.");
  metrics.Count("rosearch_answers_total{status=\"200\"}", 2);
  metrics.Count("rosearch_answers_total{status=\"503\"}");
  CHECK(metrics.Text() ==
        "# HELP rosearch_answers_total Answers.\n# TYPE rosearch_answers_total counter\n"
        "rosearch_answers_total{status=\"200\"} 2\nrosearch_answers_total{status=\"503\"} 1\n");
}

// Guards against a metric in seconds that is exported in milliseconds or the reverse: alerts on it
// would be off by a factor of 1000.
TEST_CASE("durations are exported in the unit that the metric name gives") {
  metric_set metrics;
  metrics.Observe("rosearch_append_seconds", milliseconds{250});
  metrics.Observe("rosearch_http_ms", milliseconds{250});
  const auto text = metrics.Text();
  CHECK(text.find("rosearch_append_seconds_sum 0.25\n") != std::string::npos);
  CHECK(text.find("rosearch_http_ms_sum 250\n") != std::string::npos);
  CHECK(text.find("rosearch_append_seconds_bucket{le=\"100\"} 1\n") != std::string::npos);
  CHECK(text.find("rosearch_http_ms_bucket{le=\"100000\"} 1\n") != std::string::npos);
}

TEST_CASE("every line of a histogram carries its labels") {
  metric_set metrics;
  metrics.Observe("rosearch_wait_seconds{priority=\"0\"}", milliseconds{250});
  const auto text = metrics.Text();
  CHECK(text.find("rosearch_wait_seconds_bucket{priority=\"0\",le=\"+Inf\"} 1\n") !=
        std::string::npos);
  CHECK(text.find("rosearch_wait_seconds_count{priority=\"0\"} 1\n") != std::string::npos);
}

}  // namespace rosearch
