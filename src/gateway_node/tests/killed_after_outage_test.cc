// A request that ends its servers reaches five after its third end, beside an outage of the store
// and killed nodes.
#include <doctest/doctest.h>

#include <string>

#include "gateway_node/tests/crash_fleet.h"
#include "gateway_node/tests/outage_and_kills.h"

using namespace ochrespring;
using namespace ochrespring::gateway_node::testing;

TEST_CASE(
    "a guilty request is stopped though all nodes are killed 0.34 s after an outage of the store") {
  for (std::uint64_t seed = 100; seed != 112; ++seed) {
    CrashFleet fleet({.nodes = 4 + seed % 5, .loss = 0.02, .seed = seed, .drawn = 1});
    const MonotonicTime store_back = play_outage_and_kills(fleet, seed);
    CAPTURE(seed);
    for (const std::string& body : fleet.guilty) {
      CAPTURE(body);
      CHECK(fleet.late_sends(body, store_back) <= 3);
    }
  }
}
