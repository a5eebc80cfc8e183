// Demand that differs between zones, grows for a while, or is given up by its callers.
#include <doctest/doctest.h>

#include <chrono>

#include "workload.h"

using namespace ochrespring;
using namespace ochrespring::gateway_load;
using namespace std::chrono_literals;

// Guards against calls that stay with the engines of a zone that has too few for its demand.
TEST_CASE("a zone with twice the demand of the others is served by all engines") {
  for (const std::uint64_t seed : kSeeds) {
    CAPTURE(seed);
    // In all 0.3 x 4 / 3 of the capacity.
    LoadFleet fleet(service_a(equal_engines(6), 0.3, seed));
    fleet.set_demand("reviews", 2, "z1");
    fleet.set_demand("chats", 2, "z1");
    fleet.run(kWarmUp, kMeasured);
    check_on_time(fleet, "reviews");
    check_on_time(fleet, "chats");
  }
}

// Guards against a class that is late because another one has grown. The grown class may be late,
// but is not left without an answer.
TEST_CASE("reviews that grow fivefold for 3 s do not make chats late") {
  for (const std::uint64_t seed : kSeeds) {
    CAPTURE(seed);
    LoadFleet fleet(service_a(equal_engines(4), 0.3, seed));
    fleet.at(kWarmUp + 2s, [&] { fleet.set_demand("reviews", 5); });
    fleet.at(kWarmUp + 5s, [&] { fleet.set_demand("reviews", 1); });
    fleet.run(kWarmUp, kMeasured);
    check_on_time(fleet, "chats");
    CHECK(fleet.of("reviews").cut_off == 0);
  }
}

// Guards against engines that work on for callers that have left. Each review takes no more than
// its 5 ms and the chunk begun then, 3 ms, in place of 19 ms: in all half of the capacity, chats
// included.
TEST_CASE("reviews whose callers leave at once take nothing from chats") {
  for (const std::uint64_t seed : kSeeds) {
    CAPTURE(seed);
    LoadFleet fleet(service_a(equal_engines(4), 0.3, seed));
    fleet.set_patience("reviews", 5ms);
    fleet.set_demand("reviews", 4);
    fleet.run(kWarmUp, kMeasured);
    check_on_time(fleet, "chats");
  }
}
