// A platform that names no life of its store: an older copy that has counted past what was known
// before anybody read it answers looks as if nothing were missing, and what was written under the
// numbers up to there reaches nobody. Found by reading; a store that names its lives is not
// concerned.
#include <doctest/doctest.h>

#include <string>

#include "gateway_node/tests/large_fleet.h"

using namespace ochrespring;
using namespace ochrespring::gateway_node;
using namespace ochrespring::gateway_node::testing;

TEST_CASE("a drain in a life of the store that nobody was told of reaches all nodes") {
  LargeFleet fleet(6, 0.0);
  fleet.start();
  fleet.servers_write = false;
  const StoreState::Copy copy = fleet.state.copy();
  for (int i = 0; i != 4; ++i) {
    fleet.state.put("other/" + std::to_string(i), "value");
  }
  fleet.advance(3400ms);
  fleet.state.down = true;
  fleet.advance(2s);
  const shared_store::StoreEra unnamed = fleet.state.era;
  fleet.state.set_back_to(copy);
  fleet.state.era = unnamed;
  for (auto& [key, item] : fleet.state.items) {
    item.revision = shared_store::StoreRevision(item.revision.value(), unnamed);
  }
  fleet.state.forgotten_through = {};
  fleet.state.put("backends/e7", "draining");
  for (int i = 0; i != 6; ++i) {
    fleet.state.put("later/" + std::to_string(i), "value");
  }
  fleet.state.down = false;
  fleet.advance(3400ms);
  CHECK(fleet.count([](const FleetNode& node) {
    const gateway::Backend* known = node.fleet.find(gateway::BackendId("e7"));
    return known != nullptr && known->draining;
  }) == fleet.nodes.size());
}
