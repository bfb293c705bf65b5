#include "rosearch/sched/run_time_regression.h"

#include <algorithm>

namespace rosearch::sched {
namespace {

/// Max distance of a learned sample from the prediction: the logarithm of 3. Tasks of a step differ
/// by less than that.
constexpr double kMaxDeviation = 1.1;
/// Max distance from the declared estimate before there is a prediction: the logarithm of 30.
constexpr double kMaxFirstDeviation = 3.4;

/// Declared estimates count as accurate if their mean squared error exceeds that of the regression
/// by at most this: a deviation of about a tenth, plus a tenth of the unexplained variance.
constexpr double kAccurateExcess = 0.01;
constexpr double kAccurateExcessShare = 0.1;

/// Variance of the samples that stand for the prior assumption of a slope of 1.
constexpr double kPriorVariance = 0.5;

}  // namespace

double run_time_regression::Slope() const {
  // Without the prior term, equal estimates would leave the slope undefined.
  const double prior = kPriorVariance * kPriorWeight / std::max(weight, kPriorWeight);
  const double slope = (covariance + prior) / (variance_declared + prior);
  return std::clamp(slope, 0.0, 1.0);
}

double run_time_regression::OnLine(double declared) const {
  return mean_measured + Slope() * (declared - mean_declared);
}

double run_time_regression::Residual() const {
  const double slope = Slope();
  return std::max(0.0,
                  variance_measured - 2 * slope * covariance + slope * slope * variance_declared);
}

bool run_time_regression::DeclaredFits() const {
  const double offset = mean_measured - mean_declared;
  const double error = variance_measured + variance_declared - 2 * covariance + offset * offset;
  return error <= Residual() * (1 + kAccurateExcessShare) + kAccurateExcess;
}

double run_time_regression::At(double declared) const {
  return DeclaredFits() ? declared : OnLine(declared);
}

run_time_regression run_time_regression::With(double declared, double measured,
                                              double sample_weight) const {
  const double expected = IsUsable() ? OnLine(declared) : declared;
  const double limit = IsUsable() ? kMaxDeviation : kMaxFirstDeviation;
  measured = std::clamp(measured, expected - limit, expected + limit);
  run_time_regression next;
  next.weight = std::min(weight + sample_weight, kMaxWeight);
  const double share = std::min(1.0, sample_weight / next.weight);
  const double by_declared = declared - mean_declared;
  const double by_measured = measured - mean_measured;
  next.mean_declared = mean_declared + share * by_declared;
  next.mean_measured = mean_measured + share * by_measured;
  next.variance_declared = (1 - share) * (variance_declared + share * by_declared * by_declared);
  next.variance_measured = (1 - share) * (variance_measured + share * by_measured * by_measured);
  next.covariance = (1 - share) * (covariance + share * by_declared * by_measured);
  return next;
}

}  // namespace rosearch::sched
