// Splits a route's traffic between services by weight.
#pragma once

#include <cmath>
#include <map>

#include "base/random.h"
#include "gateway/types.h"

namespace ochrespring::gateway {

/// Walks a low-discrepancy sequence for each route from a random start, so that the shares of few
/// requests are already close to the weights, and those of several nodes do not move in step.
class SharePicker {
 public:
  explicit SharePicker(RandomSource& random) : random_(random) {}

  /// The service of the next request. The route must have shares.
  const ServiceName& pick(const Route& route);

 private:
  RandomSource& random_;
  std::map<RouteName, double> positions_;
};

}  // namespace ochrespring::gateway
