// A scenario of crashing requests during an outage of the store while nodes are killed.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

#include "base/random.h"
#include "gateway_node/tests/crash_fleet.h"

namespace ochrespring::gateway_node::testing {

inline constexpr const char* kCrashingPaths[] = {"/resumable/x", "/stream/x", "/idempotent/x",
                                                 "/once/x"};

/// Runs ordinary requests for 60 s and up to four crashing requests, each from a random time in the
/// first 20 s on. The store is unavailable for 10 s, and nodes are killed six times in the first
/// 50 s: a single node, or all nodes at once if the store is available then. A fleet that is killed
/// as a whole during the outage loses the crashes that it could not write yet; that case is left
/// out. Returns the end of the outage.
inline MonotonicTime run_outage_and_kills(CrashFleet& fleet, std::uint64_t seed) {
  SeededRandom random(seed);
  const auto at_random = [&](Duration latest, std::function<void()> action) {
    fleet.time.schedule_after(from_seconds(to_seconds(latest) * random.unit()), std::move(action));
  };
  const std::size_t crashing = 1 + random.below(4);
  for (std::size_t i = 0; i != crashing; ++i) {
    const std::string body = "guilty-" + std::to_string(i);
    const std::string path = kCrashingPaths[random.below(3)];
    const Duration pause = 100ms + random.below(900) * 1ms;
    fleet.crashing_bodies.insert(body);
    at_random(20s, [&fleet, body, path, pause] { fleet.send_repeatedly(path, body, pause, 40s); });
  }
  fleet.send_traffic(10, 60s);
  MonotonicTime outage_end{};
  at_random(20s, [&] {
    fleet.state.down = true;
    fleet.time.schedule_after(10s, [&] {
      fleet.state.down = false;
      outage_end = fleet.time.now();
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
  return outage_end;
}

}  // namespace ochrespring::gateway_node::testing
