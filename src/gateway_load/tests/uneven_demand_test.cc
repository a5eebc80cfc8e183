// Demand that differs between zones, grows temporarily, or comes from callers that disconnect.
#include <doctest/doctest.h>

#include <chrono>

#include "workload.h"

using namespace ochrespring;
using namespace ochrespring::gateway_load;
using namespace std::chrono_literals;

// Guards against calls that stay in their zone although its engines cannot serve the demand.
TEST_CASE("a zone with twice the demand of the others is served by all engines") {
  for (const std::uint64_t seed : kSeeds) {
    CAPTURE(seed);
    // Total demand is 0.3 x 4 / 3 of the capacity.
    LoadFleet fleet(service_a(equal_engines(6), 0.3, seed));
    fleet.set_demand_factor("reviews", 2, "z1");
    fleet.set_demand_factor("chats", 2, "z1");
    fleet.run(kWarmUp, kMeasured);
    check_on_time(fleet, "reviews");
    check_on_time(fleet, "chats");
  }
}

// Guards against one class making another late when its demand grows. The growing class may be
// late, but none of its calls is cut off.
TEST_CASE("a fivefold demand of reviews for 3 s does not make chats late") {
  for (const std::uint64_t seed : kSeeds) {
    CAPTURE(seed);
    LoadFleet fleet(service_a(equal_engines(4), 0.3, seed));
    fleet.schedule_after(kWarmUp + 2s, [&] { fleet.set_demand_factor("reviews", 5); });
    fleet.schedule_after(kWarmUp + 5s, [&] { fleet.set_demand_factor("reviews", 1); });
    fleet.run(kWarmUp, kMeasured);
    check_on_time(fleet, "chats");
    CHECK(fleet.tally("reviews").cut_off == 0);
  }
}

// Guards against engines that keep working after the caller has disconnected. Each review then
// takes at most 5 ms plus the chunk in progress, 3 ms, instead of 19 ms: the total, chats included,
// is half of the capacity.
TEST_CASE("reviews whose callers disconnect after 5 ms do not make chats late") {
  for (const std::uint64_t seed : kSeeds) {
    CAPTURE(seed);
    LoadFleet fleet(service_a(equal_engines(4), 0.3, seed));
    fleet.set_disconnect_after("reviews", 5ms);
    fleet.set_demand_factor("reviews", 4);
    fleet.run(kWarmUp, kMeasured);
    check_on_time(fleet, "chats");
  }
}
