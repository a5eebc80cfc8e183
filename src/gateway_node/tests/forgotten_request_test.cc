// Guards against a crashing request that is sent to back ends more often than the quarantine
// allows. Its first crashes fall into an outage of the store, and all nodes are killed before the
// store is available again: no node knows of the crashes any more, and none was written to the
// store.
#include <doctest/doctest.h>

#include <iterator>
#include <string>

#include "gateway_node/tests/crash_fleet.h"

using namespace ochrespring;
using namespace ochrespring::gateway_node::testing;
using namespace std::chrono_literals;

namespace {

/// Requests allowed after a request's third crash, as counted by count_late_sends().
constexpr std::size_t kMaxLateSends = 3;

}  // namespace

TEST_CASE("a crashing request is stopped when all nodes are killed during an outage of the store") {
  for (std::uint64_t seed = 100; seed != 160; ++seed) {
    CAPTURE(seed);
    CrashFleet fleet({.nodes = 4 + seed % 5, .loss = 0.02, .seed = seed});
    fleet.crashing_bodies.insert("guilty");
    MonotonicTime outage_end{};
    fleet.time.schedule_after(2s, [&] { fleet.state.down = true; });
    fleet.time.schedule_after(22s, [&] {
      fleet.state.down = false;
      outage_end = fleet.time.now();
    });
    // Usually causes two crashes before the kill, so that no node knows that the next is the third.
    fleet.send_repeatedly("/once/x", "guilty", 700ms, 1s);
    fleet.time.schedule_after(4s,
                              [&] { fleet.send_repeatedly("/once/x", "guilty", 900ms, 1700ms); });
    fleet.time.schedule_after(8s, [&] {
      for (std::size_t i = 0; i != fleet.nodes.size(); ++i) {
        fleet.restart(i);
      }
    });
    fleet.time.schedule_after(30s, [&] { fleet.send_repeatedly("/once/x", "guilty", 400ms, 20s); });
    fleet.advance(60s);
    CHECK(fleet.count_late_sends("guilty", outage_end) <= kMaxLateSends);
  }
}
