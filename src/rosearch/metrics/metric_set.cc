#include "rosearch/metrics/metric_set.h"

#include <boost/histogram.hpp>
#include <boost/histogram/ostream.hpp>
#include <chrono>
#include <cmath>
#include <sstream>

namespace rosearch {
namespace {

namespace bh = boost::histogram;

/// Logarithmic histogram bins from 0.1 ms to 100 s, eight per power of ten.
constexpr unsigned kBins = 48;
constexpr double kMinMs = 0.1;
constexpr double kMaxMs = 100'000;
constexpr double kSecondsPerMs = 0.001;

auto MakeHistogram() {
  return bh::make_histogram(
      bh::axis::regular<double, bh::axis::transform::log>{kBins, kMinMs, kMaxMs});
}

/// @return the name without labels.
std::string FamilyOf(const std::string& name) { return name.substr(0, name.find('{')); }

/// @return the labels of a name with a trailing comma, such as `a="1",`, so that a label can be
/// appended.
std::string LabelsOf(const std::string& name) {
  const auto open = name.find('{');
  return open == std::string::npos ? std::string{}
                                   : name.substr(open + 1, name.size() - open - 2) + ',';
}

}  // namespace

struct metric_set::histogram_data {
  decltype(MakeHistogram()) values{MakeHistogram()};
  double sum_ms{0};
};

metric_set::metric_set() = default;
metric_set::~metric_set() = default;

void metric_set::Count(const std::string& name, std::uint64_t by) {
  const std::scoped_lock lock{mutex_};
  counters_[name] += by;
}

void metric_set::SetTotal(const std::string& name, std::uint64_t value) {
  const std::scoped_lock lock{mutex_};
  counters_[name] = value;
}

void metric_set::Set(const std::string& name, double value) {
  const std::scoped_lock lock{mutex_};
  gauges_[name] = value;
}

void metric_set::Observe(const std::string& name, duration span) {
  const auto ms = std::chrono::duration<double, std::milli>{span}.count();
  const std::scoped_lock lock{mutex_};
  auto& histogram = histograms_[name];
  if (!histogram) {
    histogram = std::make_unique<histogram_data>();
  }
  histogram->values(ms);
  histogram->sum_ms += ms;
}

void metric_set::Describe(const std::string& name, const std::string& help) {
  const std::scoped_lock lock{mutex_};
  help_[name] = help;
}

void metric_set::WriteFamilyHeader(std::ostream& out, const std::string& name, const char* type,
                                   std::string& last) const {
  auto family = FamilyOf(name);
  if (family == last) {
    return;
  }
  if (const auto found = help_.find(family); found != help_.end()) {
    out << "# HELP " << family << ' ' << found->second << '\n';
  }
  out << "# TYPE " << family << ' ' << type << '\n';
  last = std::move(family);
}

std::string metric_set::Text() const {
  std::ostringstream out;
  const std::scoped_lock lock{mutex_};
  std::string last;
  for (const auto& [name, value] : counters_) {
    WriteFamilyHeader(out, name, "counter", last);
    out << name << ' ' << value << '\n';
  }
  for (const auto& [name, value] : gauges_) {
    WriteFamilyHeader(out, name, "gauge", last);
    out << name << ' ';
    // A stream prints six significant digits by default; a byte rate of 10 MB would then hide small
    // changes.
    std::trunc(value) == value ? out << static_cast<std::int64_t>(value) : out << value;
    out << '\n';
  }
  for (const auto& [name, histogram] : histograms_) {
    WriteFamilyHeader(out, name, "histogram", last);
    const auto family = FamilyOf(name);
    const auto labels = LabelsOf(name);
    const auto label_set =
        labels.empty() ? std::string{} : '{' + labels.substr(0, labels.size() - 1) + '}';
    const double unit = family.ends_with("_seconds") ? kSecondsPerMs : 1.0;
    double cumulative = 0;
    for (const auto& bin : bh::indexed(histogram->values, bh::coverage::all)) {
      cumulative += *bin;
      const auto upper = bin.bin().upper();
      out << family << "_bucket{" << labels << "le=\"";
      std::isinf(upper) ? out << "+Inf" : out << upper * unit;
      out << "\"} " << cumulative << '\n';
    }
    out << family << "_count" << label_set << ' ' << cumulative << '\n';
    out << family << "_sum" << label_set << ' ' << histogram->sum_ms * unit << '\n';
  }
  return out.str();
}

}  // namespace rosearch
