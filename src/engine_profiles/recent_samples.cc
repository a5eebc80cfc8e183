#include "engine_profiles/recent_samples.h"

#include <algorithm>
#include <cmath>

#include "engine_profiles/half_life.h"

namespace ochrespring::engine_profiles {

void RecentSamples::add(float value, MonotonicTime now) {
  double weight = this->weight(now);
  if (weight < kMinWeight) {
    size_ = 0;
    next_ = 0;
    weight = 0;
  }
  values_[next_] = value;
  next_ = static_cast<std::uint8_t>((next_ + 1) % kMaxSamples);
  size_ = static_cast<std::uint8_t>(std::min<std::size_t>(size_ + 1U, kMaxSamples));
  weight_ = static_cast<float>(std::min<double>(weight + 1, kMaxSamples));
  updated_at_ = now;
  logarithm_ = static_cast<float>(std::log(lower_quartile()));
}

double RecentSamples::weight(MonotonicTime now) const {
  return weight_ * weight_at_age(now - updated_at_);
}

double RecentSamples::lower_quartile() const {
  std::array<float, kMaxSamples> sorted = values_;
  std::sort(sorted.begin(), sorted.begin() + size_);
  const double position = kQuantile * (size_ - 1);
  const auto below = static_cast<std::size_t>(position);
  const std::size_t above = std::min<std::size_t>(below + 1, size_ - 1U);
  const double part = position - static_cast<double>(below);
  return sorted[below] + part * (sorted[above] - sorted[below]);
}

}  // namespace ochrespring::engine_profiles
