// A request that ends its servers was sent on more often than the guard allows: its first ends fell
// into an outage of the store, and all nodes were killed before the store was back. Nobody was left
// who knew of them, and nothing had been written down.
#include <doctest/doctest.h>

#include <iterator>
#include <string>

#include "gateway_node/tests/crash_fleet.h"

using namespace ochrespring;
using namespace ochrespring::gateway_node::testing;
using namespace std::chrono_literals;

namespace {

/// Retries that a request gets after its third end, sent by machines in touch.
constexpr std::size_t kMostLateSends = 3;

}  // namespace

TEST_CASE("a request that ends its servers is stopped though all nodes are killed in an outage") {
  for (std::uint64_t seed = 100; seed != 160; ++seed) {
    CAPTURE(seed);
    CrashFleet fleet({.nodes = 4 + seed % 5, .loss = 0.02, .seed = seed});
    fleet.guilty.insert("guilty");
    MonotonicTime store_back{};
    fleet.time.schedule_after(2s, [&] { fleet.state.down = true; });
    fleet.time.schedule_after(22s, [&] {
      fleet.state.down = false;
      store_back = fleet.time.now();
    });
    // Two ends before the kill, as a rule: one more is known to nobody as the third.
    fleet.repeat("/once/x", "guilty", 700ms, 1s);
    fleet.time.schedule_after(4s, [&] { fleet.repeat("/once/x", "guilty", 900ms, 1700ms); });
    fleet.time.schedule_after(8s, [&] {
      for (std::size_t i = 0; i != fleet.nodes.size(); ++i) {
        fleet.restart(i);
      }
    });
    fleet.time.schedule_after(30s, [&] { fleet.repeat("/once/x", "guilty", 400ms, 20s); });
    fleet.advance(60s);
    CHECK(fleet.late_sends("guilty", store_back) <= kMostLateSends);
  }
}
