#include "http/eviction_order.h"

#include <algorithm>

namespace ochrespring::http {

namespace {

/// Added to all times, so that the size alone decides among requests that have just begun.
constexpr Duration kMinTime = std::chrono::milliseconds(20);
constexpr int kMovingAgeDivisor = 8;

}  // namespace

double eviction_cost(const Occupancy& occupancy) {
  const Duration time = std::max<Duration>(occupancy.stall, occupancy.age / kMovingAgeDivisor);
  return static_cast<double>(occupancy.bytes) * to_seconds(time + kMinTime);
}

}  // namespace ochrespring::http
