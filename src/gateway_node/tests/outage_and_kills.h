// A play of guilty requests beside an outage of the store and nodes that are killed.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

#include "base/random.h"
#include "gateway_node/tests/crash_fleet.h"

namespace ochrespring::gateway_node::testing {

inline constexpr const char* kGuiltyPaths[] = {"/resumable/x", "/stream/x", "/idempotent/x",
                                               "/once/x"};

/// Callers begin at any moment, the store is out for a while, and nodes are killed one by one
/// before, during and after that, all at once while the store answers. What a fleet that is killed
/// as a whole while the store is out had not written down yet nobody can know: that is left out.
/// Returns when the store is back.
inline MonotonicTime play_outage_and_kills(CrashFleet& fleet, std::uint64_t seed) {
  SeededRandom random(seed);
  const auto at_random = [&](Duration most, std::function<void()> what) {
    fleet.time.schedule_after(from_seconds(to_seconds(most) * random.unit()), std::move(what));
  };
  const std::size_t guilty = 1 + random.below(4);
  for (std::size_t i = 0; i != guilty; ++i) {
    const std::string body = "guilty-" + std::to_string(i);
    const std::string path = kGuiltyPaths[random.below(3)];
    const Duration pause = 100ms + random.below(900) * 1ms;
    fleet.guilty.insert(body);
    at_random(20s, [&fleet, body, path, pause] { fleet.repeat(path, body, pause, 40s); });
  }
  fleet.traffic(10, 60s);
  MonotonicTime store_back{};
  at_random(20s, [&] {
    fleet.state.down = true;
    fleet.time.schedule_after(10s, [&] {
      fleet.state.down = false;
      store_back = fleet.time.now();
    });
  });
  for (int kill = 0; kill != 6; ++kill) {
    const bool all = random.chance(0.3);
    const std::size_t which = random.below(fleet.nodes.size());
    at_random(50s, [&fleet, all, which] {
      for (std::size_t i = 0; i != fleet.nodes.size(); ++i) {
        if (i == which || (all && !fleet.state.down)) {
          fleet.restart(i);
        }
      }
    });
  }
  fleet.advance(75s);
  return store_back;
}

}  // namespace ochrespring::gateway_node::testing
