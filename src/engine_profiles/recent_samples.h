// A low quantile of the latest samples of one quantity.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "base/time.h"

namespace ochrespring::engine_profiles {

/// Keeps a fixed number of samples. Interference only ever lengthens what is measured, so a low
/// quantile is closer to undisturbed work than the mean; unlike the minimum it does not sink with
/// the number of samples, which would make engines differ by how often they are used. Pure.
class RecentSamples {
 public:
  void add(float value, MonotonicTime now);
  /// Samples that the quantile rests on, those of the past counted less by their age.
  double weight(MonotonicTime now) const;
  /// Natural logarithm of the quantile; at least one sample has been added.
  double low_quantile_logarithm() const { return logarithm_; }
  bool empty() const { return size_ == 0; }

 private:
  double low_quantile() const;

  static constexpr std::size_t kMaxSamples = 10;
  static constexpr double kQuantile = 0.25;
  /// Samples that weigh less than this together are dropped when the next one comes.
  static constexpr double kMinWeight = 0.25;

  std::array<float, kMaxSamples> values_{};
  float logarithm_ = 0;  ///< Kept, since it is asked for more often than samples come.
  float weight_ = 0;     ///< At `weighed_at_`.
  std::uint8_t size_ = 0;
  std::uint8_t next_ = 0;
  MonotonicTime updated_at_{};
};

}  // namespace ochrespring::engine_profiles
