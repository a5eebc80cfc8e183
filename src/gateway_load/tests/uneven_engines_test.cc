// Engines that are slower than others, always or for a while.
#include <doctest/doctest.h>

#include <chrono>

#include "workload.h"

using namespace ochrespring;
using namespace ochrespring::gateway_load;
using namespace std::chrono_literals;

namespace {

constexpr double kSlowdown = 2.5;
constexpr Duration kSlowSpan = 600ms;
/// One engine is slowed down after the other: each 15% of the time.
constexpr Duration kSlowCycle = 4s;
constexpr double kFast = 1.2;
constexpr double kSlow = 0.55;

void slow_down_in_turn(LoadFleet& fleet, std::size_t engines) {
  for (std::size_t engine = 0; engine != engines; ++engine) {
    for (Duration start = kSlowCycle * engine / engines; start < kWarmUp + kMeasured + 15s;
         start += kSlowCycle) {
      fleet.at(start, [&fleet, engine] { fleet.set_pace(engine, kSlowdown); });
      fleet.at(start + kSlowSpan, [&fleet, engine] { fleet.set_pace(engine, 1); });
    }
  }
}

}  // namespace

// An event of a chat takes 221 ms on a slow engine that is slowed down, over the target gap of
// 150 ms, and 102 ms on any other. Guards against chats placed on the slow engine while the others
// have room.
TEST_CASE("with one slow engine of four chats are on time") {
  for (const std::uint64_t seed : kSeeds) {
    CAPTURE(seed);
    std::vector<EngineOptions> engines = equal_engines(4, kFast);
    engines[1].speed = kSlow;
    LoadFleet fleet(service_a(engines, 0.3, seed));
    slow_down_in_turn(fleet, engines.size());
    fleet.run(kWarmUp, kMeasured);
    CHECK(fleet.of("chats").on_time_share() >= kNearlyAll);
    CHECK(fleet.of("reviews").on_time_share() >= kNearlyAll);
  }
}
