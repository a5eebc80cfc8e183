// A quantile learned from samples, one at a time.
#pragma once

#include <algorithm>

namespace ochrespring::gateway {

struct QuantileEstimateOptions {
  double share = 0.5;  ///< Of the samples that lie below.
  double start = 1;    ///< Believed before the first sample; above zero.
};

/// Moves a little up for each sample above and down for each below, in parts of itself, so that it
/// needs no scale. Pure.
class QuantileEstimate {
 public:
  explicit QuantileEstimate(const QuantileEstimateOptions& options)
      : share_(options.share), value_(options.start) {}

  void note(double sample) {
    step_ = std::max(kLeastStep, step_ * kStepDecay);
    value_ *= sample > value_ ? 1 + step_ * share_ : 1 - step_ * (1 - share_);
  }
  double value() const { return value_; }

 private:
  static constexpr double kFirstStep = 0.4;
  static constexpr double kLeastStep = 0.03;
  static constexpr double kStepDecay = 0.95;

  double share_;
  double value_;
  double step_ = kFirstStep;
};

}  // namespace ochrespring::gateway
