#ifndef ROSEARCH_SCHED_RUN_TIME_REGRESSION_H_
#define ROSEARCH_SCHED_RUN_TIME_REGRESSION_H_

namespace rosearch::sched {

/// Decayed linear regression of the logarithm of measured run times on the logarithm of declared
/// estimates. Immutable: `With` returns the regression after one more sample.
struct run_time_regression {
  /// Samples that the regression weighs, at most `kMaxWeight`; one step counts as one sample.
  double weight{0};
  double mean_declared{0};
  double mean_measured{0};
  double variance_declared{0};
  double variance_measured{0};
  double covariance{0};

  /// Older samples decay once the weight has reached this.
  static constexpr double kMaxWeight = 100;
  /// Below this weight the regression is not used.
  static constexpr double kMinWeight = 3;
  /// Weight of the assumption that run times are proportional to the declared estimates.
  static constexpr double kPriorWeight = 2;

  /// Adds a sample. Once the regression is in use, the sample is limited to a multiple of what the
  /// regression predicts: a task in a hundred takes seven times as long as its siblings.
  /// @param declared,measured  natural logarithms.
  [[nodiscard]] run_time_regression With(double declared, double measured, double weight) const;
  /// @return the logarithm of the run time to expect; the declared one if that fits the samples
  ///         about as well.
  [[nodiscard]] double At(double declared) const;
  [[nodiscard]] bool IsUsable() const { return weight >= kMinWeight; }
  /// @return the mean squared deviation of samples from the regression line.
  [[nodiscard]] double Residual() const;
  /// @return whether the declared estimates fit the samples about as well as the regression does.
  [[nodiscard]] bool DeclaredFits() const;

  friend bool operator==(const run_time_regression&, const run_time_regression&) = default;

 private:
  [[nodiscard]] double Slope() const;
  [[nodiscard]] double OnLine(double declared) const;
};

}  // namespace rosearch::sched

#endif  // ROSEARCH_SCHED_RUN_TIME_REGRESSION_H_
