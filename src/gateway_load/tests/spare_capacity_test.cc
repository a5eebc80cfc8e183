// The engines have room for all calls; nodes or engines are disturbed.
#include <doctest/doctest.h>

#include <chrono>

#include "workload.h"

using namespace ochrespring;
using namespace ochrespring::gateway_load;
using namespace std::chrono_literals;

// Guards against calls that are late, or turned away, while engines have room for them.
TEST_CASE("at half of the capacity calls of both classes are on time") {
  for (const std::uint64_t seed : kSeeds) {
    CAPTURE(seed);
    LoadFleet fleet(service_a(equal_engines(4), 0.5, seed));
    fleet.run(kWarmUp, kMeasured);
    check_on_time(fleet, "reviews");
    check_on_time(fleet, "chats");
  }
}

// Guards against a slowdown that makes calls late although no gap of an engine of nominal speed,
// 49 ms, exceeds the target by it: 122 ms.
TEST_CASE("an engine 2.5 times slower for 0.6 s makes no call late") {
  for (const std::uint64_t seed : kSeeds) {
    CAPTURE(seed);
    LoadFleet fleet(service_a(equal_engines(4), 0.3, seed));
    fleet.at(kWarmUp + 2s, [&] { fleet.set_pace(0, 2.5); });
    fleet.at(kWarmUp + 2s + 600ms, [&] { fleet.set_pace(0, 1); });
    fleet.run(kWarmUp, kMeasured);
    CHECK(fleet.of("chats").on_time_share() >= kNearlyAll);
    CHECK(fleet.of("reviews").on_time_share() >= kNearlyAll);
  }
}

// Guards against decisions that need the other nodes' reports: engines name their load themselves.
TEST_CASE("nodes that hear nothing of each other serve what the engines can serve") {
  for (const std::uint64_t seed : kSeeds) {
    CAPTURE(seed);
    FleetOptions options = service_a(equal_engines(4), 0.3, seed);
    options.news_delay = 1h;
    LoadFleet fleet(options);
    fleet.run(kWarmUp, kMeasured);
    check_on_time(fleet, "reviews");
    check_on_time(fleet, "chats");
  }
}

// Guards against calls sent to an engine that has gone, and against work that stays counted for it.
// What it works on is lost: there are no repeats here.
TEST_CASE("when one of six engines ends, calls that come later are on time at the others") {
  for (const std::uint64_t seed : kSeeds) {
    CAPTURE(seed);
    LoadFleet fleet(service_a(equal_engines(6), 0.3, seed));
    fleet.at(kWarmUp - 1ms, [&] { fleet.end_engine(2); });
    fleet.run(kWarmUp, kMeasured);
    check_on_time(fleet, "reviews");
    check_on_time(fleet, "chats");
  }
}

// Guards against nodes that count the work of one that has ended, or do not take over its callers.
TEST_CASE("when one of six nodes ends, the others serve its callers on time") {
  for (const std::uint64_t seed : kSeeds) {
    CAPTURE(seed);
    LoadFleet fleet(service_a(equal_engines(6), 0.3, seed));
    fleet.at(kWarmUp - 1ms, [&] { fleet.end_node(3); });
    fleet.run(kWarmUp, kMeasured);
    check_on_time(fleet, "reviews");
    check_on_time(fleet, "chats");
  }
}
