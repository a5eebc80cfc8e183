// A line learned from noisy samples, one at a time.
#pragma once

namespace ochrespring::gateway {

/// What is believed before the first sample, and how soon samples take over.
struct LineEstimateOptions {
  double intercept = 0;
  double slope = 1;
  double typical_x = 1;      ///< The prior counts as samples at 0 and at twice this.
  double prior_samples = 2;  ///< Weight of the prior, in samples; it never fades.
  double memory = 200;       ///< Samples after which an old one counts for a third.
};

/// Weighted least squares with fading memory. Samples far off the line are pulled towards it, so
/// that a few wild ones do little. Neither coefficient falls below zero, nor the slope below a
/// thousandth of the prior's. Pure.
///
///   LineEstimate reading({.slope = 0.01, .typical_x = 5'000});
///   reading.note(8'000, 30.0);
///   const double expected = reading.at(4'000);
class LineEstimate {
 public:
  explicit LineEstimate(const LineEstimateOptions& options);

  void note(double x, double y);
  double at(double x) const { return intercept_ + slope_ * x; }
  double intercept() const { return intercept_; }
  double slope() const { return slope_; }
  /// Mean distance of recent samples from the line.
  double deviation() const { return deviation_; }
  /// Samples that count, fading ones in part.
  double samples() const { return samples_; }

 private:
  void add(double x, double y, double weight);
  double pulled_in(double x, double y) const;
  void fit();

  LineEstimateOptions options_;
  double intercept_;
  double slope_;
  double deviation_;
  double samples_ = 0;
  // Fading sums over the samples, without the prior.
  double sum_x_ = 0;
  double sum_y_ = 0;
  double sum_xx_ = 0;
  double sum_xy_ = 0;
};

}  // namespace ochrespring::gateway
