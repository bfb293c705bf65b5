#include "rosearch/metrics/metric_set.h"

#include <boost/histogram.hpp>
#include <boost/histogram/ostream.hpp>
#include <chrono>
#include <cmath>
#include <sstream>

namespace rosearch {
namespace {

namespace bh = boost::histogram;

/// From 0.1 ms to 100 s, eight bins for each power of ten.
constexpr unsigned kBins = 48;
constexpr double kLeastMs = 0.1;
constexpr double kMostMs = 100'000;

auto MakeHistogram() {
  return bh::make_histogram(
      bh::axis::regular<double, bh::axis::transform::log>{kBins, kLeastMs, kMostMs});
}

}  // namespace

struct metric_set::histogram_box {
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
  auto& box = histograms_[name];
  if (!box) {
    box = std::make_unique<histogram_box>();
  }
  box->values(ms);
  box->sum_ms += ms;
}

std::string metric_set::Text() const {
  std::ostringstream out;
  const std::scoped_lock lock{mutex_};
  for (const auto& [name, value] : counters_) {
    out << name << ' ' << value << '\n';
  }
  for (const auto& [name, value] : gauges_) {
    out << name << ' ';
    // Six digits, as a stream writes them, would let a rate of bytes stand still at 10 MB.
    std::trunc(value) == value ? out << static_cast<std::int64_t>(value) : out << value;
    out << '\n';
  }
  for (const auto& [name, box] : histograms_) {
    double below = 0;
    for (const auto& bin : bh::indexed(box->values, bh::coverage::all)) {
      below += *bin;
      const auto upper = bin.bin().upper();
      out << name << "_bucket{le=\"";
      std::isinf(upper) ? out << "+Inf" : out << upper;
      out << "\"} " << below << '\n';
    }
    out << name << "_count " << below << '\n' << name << "_sum " << box->sum_ms << '\n';
  }
  return out.str();
}

}  // namespace rosearch
