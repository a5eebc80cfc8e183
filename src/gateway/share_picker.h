// Splits the traffic of a route between services by weight.
#pragma once

#include <cmath>
#include <map>

#include "base/random.h"
#include "gateway/types.h"

namespace ochrespring::gateway {

/// Chooses the service for each request of a route by weight. Uses a low-discrepancy sequence for
/// each route, starting at a random position: the shares of even a few requests are close to the
/// weights, and nodes do not choose in lockstep.
class SharePicker {
 public:
  explicit SharePicker(RandomSource& random) : random_(random) {}

  /// Returns the service for the next request. The route must have shares.
  const ServiceName& pick(const Route& route);

 private:
  RandomSource& random_;
  std::map<RouteName, double> positions_;
};

}  // namespace ochrespring::gateway
