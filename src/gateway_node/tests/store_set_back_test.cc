// Requests reached a server 2.1 s after it had said that it leaves, and others were handled as a
// configuration had it that had been replaced 2 s before. Some seconds earlier the store had been
// away for 2 s and had come back from a copy that was a few seconds old.
//
// Order of events, at all six nodes alike: the view stood at revision 26 when the store went away.
// The store came back at a lower revision and gave the numbers up to 26 out again. Looks from 26
// were told that history is gone; the listings that followed were passed over, since they were
// older by their number, and yet the looks counted as current. Once the store had counted past 26,
// looks from 26 were answered as if nothing were missing: a drain and a configuration written
// under numbers up to 26 reached nobody.
//
// Evidence: `seen` stayed at 26 in the log over four listings; no node ever logged the drain
// (revision 24 to 26) or configuration 26, and all took configuration 28, the first change above.
#include <doctest/doctest.h>

#include "gateway_node/tests/large_fleet.h"

using namespace ochrespring;
using namespace ochrespring::gateway_node;
using namespace ochrespring::gateway_node::testing;

namespace {

/// Of a bound of 4 s: as long as a change may take to all nodes while the store answers.
constexpr Duration kToAllNodes = 3400ms;

std::size_t count_draining(const LargeFleet& fleet, const std::string& backend) {
  return fleet.count([&](const FleetNode& node) {
    const gateway::Backend* known = node.fleet.find(gateway::BackendId(backend));
    return known != nullptr && known->draining;
  });
}

/// The store loses its newest changes and comes back after two seconds; the nodes had seen them.
void lose_newest_changes(LargeFleet& fleet, int changes) {
  const StoreState::Copy copy = fleet.state.copy();
  for (int i = 0; i != changes; ++i) {
    fleet.state.put("other/" + std::to_string(i), "value");
  }
  fleet.state.put("config", "2");
  fleet.advance(kToAllNodes);
  REQUIRE(fleet.count_with_version(2) == fleet.nodes.size());
  fleet.state.down = true;
  fleet.advance(2s);
  fleet.state.set_back_to(copy);
  fleet.state.down = false;
  fleet.advance(2500ms);
}

}  // namespace

TEST_CASE("drains and configurations reach all nodes after the store has come back older") {
  for (const int lost : {1, 4, 12}) {
    CAPTURE(lost);
    LargeFleet fleet(6, 0.0);
    fleet.start();
    fleet.servers_write = false;
    lose_newest_changes(fleet, lost);
    fleet.state.put("backends/e7", "draining");
    fleet.state.put("config", "3");
    fleet.advance(kToAllNodes);
    CHECK(count_draining(fleet, "e7") == fleet.nodes.size());
    CHECK(fleet.count_with_version(3) == fleet.nodes.size());
  }
}
