// Reviews and chats compete for the same engines, below and above their capacity.
#include <doctest/doctest.h>

#include "workload.h"

using namespace ochrespring;
using namespace ochrespring::gateway_load;

// Guards against calls that are late or rejected although the engines have capacity.
TEST_CASE("at 0.8 of the capacity calls of both classes are on time") {
  for (const std::uint64_t seed : kSeeds) {
    CAPTURE(seed);
    LoadFleet fleet(service_a(equal_engines(4), 0.8, seed));
    fleet.run(kWarmUp, kMeasured);
    check_on_time(fleet, "reviews");
    check_on_time(fleet, "chats");
  }
}

// Guards against queues in which every call waits until it is late, against one class starving
// another, and against calls without a response until their deadline.
TEST_CASE("above the capacity each class gets a share of calls on time and no call is cut off") {
  for (const double load : {1.2, 2.0, 4.0}) {
    for (const std::uint64_t seed : kSeeds) {
      CAPTURE(load);
      CAPTURE(seed);
      LoadFleet fleet(service_a(equal_engines(4), load, seed));
      fleet.run(kWarmUp, kMeasured);
      check_fair_share(fleet, "reviews", load);
      check_fair_share(fleet, "chats", load);
    }
  }
}
