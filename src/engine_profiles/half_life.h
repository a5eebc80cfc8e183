// How samples lose weight with their age.
#pragma once

#include <chrono>
#include <cmath>

#include "base/time.h"

namespace ochrespring::engine_profiles {

inline constexpr Duration kSampleHalfLife = std::chrono::seconds(10);

/// Part of a sample's weight that is left at this age, 0 to 1.
inline double weight_at_age(Duration age) {
  return std::exp2(-to_seconds(age) / to_seconds(kSampleHalfLife));
}

}  // namespace ochrespring::engine_profiles
