// An estimate of a quantity that several nodes have measured.
#pragma once

#include <algorithm>
#include <cmath>

#include "base/time.h"
#include "engine_profiles/half_life.h"

namespace ochrespring::engine_profiles {

/// A weighted mean of logarithms whose weight decays over time. Performs no I/O and uses no timers.
class Estimate {
 public:
  /// Merges a value. `logarithm` is the natural logarithm of a value in nanoseconds, `weight` the
  /// number of samples behind it. A value that is received twice counts twice; this does little
  /// harm, since the weight is bounded and the value is the same.
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
  /// The natural logarithm of the value in nanoseconds.
  double logarithm() const { return logarithm_; }
  double value() const { return std::exp(logarithm_); }

 private:
  static constexpr double kMaxWeight = 32;

  float logarithm_ = 0;
  float weight_ = 0;  ///< At `updated_at_`.
  MonotonicTime updated_at_{};
};

}  // namespace ochrespring::engine_profiles
