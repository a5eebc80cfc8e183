// Guards against a drain that reaches no node: a restored store that names no era writes the newest
// known change again under the same revision, after a different change at the revision before it.
#include <doctest/doctest.h>

#include "gateway_node/tests/unnamed_fleet.h"

using namespace ochrespring;
using namespace ochrespring::gateway_node;
using namespace ochrespring::gateway_node::testing;

TEST_CASE(
    "a drain reaches all nodes when a restored store repeats the newest known change after it") {
  UnnamedEraFleet fleet(2);
  const FakeStoreState::Copy copy = fleet.state.copy();
  fleet.state.put("backends/p0", "ready");
  fleet.state.put("backends/p2", "ready");
  fleet.advance(kPropagationBound);
  fleet.restore_from(copy, [&] {
    fleet.state.put("backends/p0", "draining");
    fleet.state.put("backends/p2", "ready");
  });
  fleet.advance(kPropagationBound);
  CHECK(fleet.count_draining("p0") == fleet.nodes.size());
}
