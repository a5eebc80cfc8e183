// Guards against a crashing request that reaches five back ends after its third crash, as when all
// nodes are killed 0.34 s after an outage of the store. Each node discards one random number first,
// so that the runs differ from those of crashing_request_test with the same seeds.
#include <doctest/doctest.h>

#include <string>

#include "gateway_node/tests/crash_fleet.h"
#include "gateway_node/tests/outage_and_kills.h"

using namespace ochrespring;
using namespace ochrespring::gateway_node::testing;

TEST_CASE("a crashing request is stopped when nodes are killed around an outage of the store") {
  for (std::uint64_t seed = 100; seed != 112; ++seed) {
    CrashFleet fleet({.nodes = 4 + seed % 5, .loss = 0.02, .seed = seed, .skipped_draws = 1});
    const MonotonicTime outage_end = run_outage_and_kills(fleet, seed);
    CAPTURE(seed);
    for (const std::string& body : fleet.crashing_bodies) {
      CAPTURE(body);
      CHECK(fleet.count_late_sends(body, outage_end) <= 3);
    }
  }
}
