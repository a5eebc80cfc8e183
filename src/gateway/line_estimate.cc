#include "gateway/line_estimate.h"

#include <algorithm>
#include <cmath>

namespace ochrespring::gateway {

namespace {

/// Samples before any is called wild.
constexpr double kSamplesToJudge = 8;
/// A sample further off than so many mean distances is pulled in to there.
constexpr double kFarDeviations = 3;
/// The mean distance is taken to be at least this part of the expected value.
constexpr double kLeastRelativeDeviation = 0.1;
constexpr double kDeviationMemory = 30;
constexpr double kLeastSlopeShare = 1e-3;

}  // namespace

LineEstimate::LineEstimate(const LineEstimateOptions& options)
    : options_(options),
      intercept_(options.intercept),
      slope_(options.slope),
      deviation_((options.intercept + options.slope * options.typical_x) / 2) {}

void LineEstimate::note(double x, double y) {
  y = pulled_in(x, y);
  deviation_ += (std::abs(y - at(x)) - deviation_) / kDeviationMemory;
  add(x, y, 1);
  fit();
}

double LineEstimate::pulled_in(double x, double y) const {
  if (samples_ < kSamplesToJudge) {
    return y;
  }
  const double expected = at(x);
  const double far = kFarDeviations * std::max(deviation_, kLeastRelativeDeviation * expected);
  return std::clamp(y, expected - far, expected + far);
}

void LineEstimate::add(double x, double y, double weight) {
  const double kept = 1 - 1 / options_.memory;
  samples_ = samples_ * kept + weight;
  sum_x_ = sum_x_ * kept + weight * x;
  sum_y_ = sum_y_ * kept + weight * y;
  sum_xx_ = sum_xx_ * kept + weight * x * x;
  sum_xy_ = sum_xy_ * kept + weight * x * y;
}

void LineEstimate::fit() {
  // The prior's samples stand at 0 and at twice the typical x.
  const double half = options_.prior_samples / 2;
  const double far_x = 2 * options_.typical_x;
  const double far_y = options_.intercept + options_.slope * far_x;
  const double n = samples_ + 2 * half;
  const double mean_x = (sum_x_ + half * far_x) / n;
  const double mean_y = (sum_y_ + half * (options_.intercept + far_y)) / n;
  const double variance = (sum_xx_ + half * far_x * far_x) / n - mean_x * mean_x;
  const double covariance = (sum_xy_ + half * far_x * far_y) / n - mean_x * mean_y;
  const double least = kLeastSlopeShare * options_.slope;
  slope_ = variance > 0 ? std::max(covariance / variance, least) : options_.slope;
  intercept_ = mean_y - slope_ * mean_x;
  if (intercept_ < 0) {
    intercept_ = 0;
    slope_ = std::max(mean_x > 0 ? mean_y / mean_x : options_.slope, least);
  }
}

}  // namespace ochrespring::gateway
