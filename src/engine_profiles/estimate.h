// A quantity as several nodes have measured it.
#pragma once

#include <algorithm>
#include <cmath>

#include "base/time.h"
#include "engine_profiles/half_life.h"

namespace ochrespring::engine_profiles {

/// Weighted mean of logarithms; the weights fade. Pure.
class Estimate {
 public:
  /// `logarithm`: natural, of a value in nanoseconds. `weight`: samples that it rests on. A value
  /// that is told twice counts twice, but the weight is bounded and the value is the same: little
  /// harm is done.
  void merge(double logarithm, double weight, MonotonicTime now) {
    const double before = weight_at(now);
    const double sum = before + weight;
    if (sum > 0) {
      logarithm_ = static_cast<float>((before * logarithm_ + weight * logarithm) / sum);
    }
    weight_ = static_cast<float>(std::min(sum, kMaxWeight));
    updated_at_ = now;
  }
  double weight_at(MonotonicTime now) const {
    return weight_ == 0 ? 0 : weight_ * weight_at_age(now - updated_at_);
  }
  /// Natural, of the value in nanoseconds.
  double logarithm() const { return logarithm_; }
  double value() const { return std::exp(logarithm_); }

 private:
  static constexpr double kMaxWeight = 32;

  float logarithm_ = 0;
  float weight_ = 0;  ///< At `weighed_at_`.
  MonotonicTime updated_at_{};
};

}  // namespace ochrespring::engine_profiles
