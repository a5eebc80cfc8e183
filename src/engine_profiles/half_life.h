// Exponential decay of the weight of samples.
#pragma once

#include <chrono>
#include <cmath>

#include "base/time.h"

namespace ochrespring::engine_profiles {

inline constexpr Duration kSampleHalfLife = std::chrono::seconds(10);

/// Returns the remaining weight of a sample of the given age, from 0 to 1.
inline double weight_at_age(Duration age) {
  return std::exp2(-to_seconds(age) / to_seconds(kSampleHalfLife));
}

}  // namespace ochrespring::engine_profiles
