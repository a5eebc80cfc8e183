// Guards against changes that no node sees when the store names no era: a store restored from an
// older copy that is past the last known revision before any node reads it answers polls as if
// nothing were missing. Changes written under the revisions up to there reach no node.
#include <doctest/doctest.h>

#include <string>

#include "gateway_node/tests/large_fleet.h"

using namespace ochrespring;
using namespace ochrespring::gateway_node;
using namespace ochrespring::gateway_node::testing;

TEST_CASE("a drain in a store era that was not announced reaches all nodes") {
  LargeFleet fleet(6, 0.0);
  fleet.start();
  fleet.heartbeats_enabled = false;
  const FakeStoreState::Copy copy = fleet.state.copy();
  for (int i = 0; i != 4; ++i) {
    fleet.state.put("other/" + std::to_string(i), "value");
  }
  fleet.advance(3400ms);
  fleet.state.down = true;
  fleet.advance(2s);
  const shared_store::StoreEra unnamed = fleet.state.era;
  fleet.state.roll_back_to(copy);
  fleet.state.era = unnamed;
  for (auto& [key, item] : fleet.state.items) {
    item.revision = shared_store::StoreRevision(item.revision.value(), unnamed);
  }
  fleet.state.discarded_through = {};
  fleet.state.put("backends/e7", "draining");
  for (int i = 0; i != 6; ++i) {
    fleet.state.put("later/" + std::to_string(i), "value");
  }
  fleet.state.down = false;
  fleet.advance(3400ms);
  CHECK(fleet.count([](const FleetNode& node) {
    const gateway::Backend* known = node.view.find(gateway::BackendId("e7"));
    return known != nullptr && known->draining;
  }) == fleet.nodes.size());
}
