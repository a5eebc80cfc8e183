// What a request is expected to lose of its worth by when it would be served.
#pragma once

#include "base/time.h"

namespace ochrespring::gateway {

/// When a request has to be served.
struct ServiceObjective {
  Duration until_late{
      std::chrono::seconds(1)};  ///< What is left until the first event counts as late.
  Duration until_lost{std::chrono::seconds(5)};  ///< What is left until the caller leaves.
  Duration target_latency{std::chrono::seconds(1)};
  Duration target_gap{std::chrono::seconds(1)};  ///< Between two events of a stream.
};

/// Chance, 0 to 1, that something predicted to take `expected` takes longer than `allowed`:
/// predictions scatter in proportion to themselves. Smooth, so that of two plans in time the
/// quicker is still the better.
double chance_over(Milliseconds expected, Milliseconds allowed);

/// Part of a request's worth, 0 to 1, that is lost on average if its first event is expected after
/// `expected`.
double expected_loss(Milliseconds expected, const ServiceObjective& objective);

/// The same for a stream whose events are expected so far apart.
double expected_gap_loss(Milliseconds gap, const ServiceObjective& objective);

}  // namespace ochrespring::gateway
