// A low quantile of the latest samples of one quantity.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "base/time.h"

namespace ochrespring::engine_profiles {

/// Keeps a fixed number of samples. Interference only ever increases a measured time, so a low
/// quantile is closer to the time without interference than the mean. Unlike the minimum, it does
/// not decrease with the number of samples, which would make engines differ by how often they are
/// used. Performs no I/O and uses no timers.
class RecentSamples {
 public:
  void add(float value, MonotonicTime now);
  /// Returns the number of samples behind the quantile; older samples count less.
  double weight(MonotonicTime now) const;
  /// The natural logarithm of the lower quartile; requires at least one sample.
  double log_lower_quartile() const { return logarithm_; }
  bool empty() const { return size_ == 0; }

 private:
  double lower_quartile() const;

  static constexpr std::size_t kMaxSamples = 10;
  static constexpr double kQuantile = 0.25;
  /// Samples whose total weight is lower are dropped when the next one is added.
  static constexpr double kMinWeight = 0.25;

  std::array<float, kMaxSamples> values_{};
  float logarithm_ = 0;  ///< Cached, since it is read more often than samples are added.
  float weight_ = 0;     ///< At `updated_at_`.
  std::uint8_t size_ = 0;
  std::uint8_t next_ = 0;
  MonotonicTime updated_at_{};
};

}  // namespace ochrespring::engine_profiles
