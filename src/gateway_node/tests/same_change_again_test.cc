// A store that names no era made the newest known change again, under its number, after another one
// than before: a drain under the number before it reaches no node.
#include <doctest/doctest.h>

#include "gateway_node/tests/unnamed_fleet.h"

using namespace ochrespring;
using namespace ochrespring::gateway_node;
using namespace ochrespring::gateway_node::testing;

TEST_CASE("a drain reaches all nodes though the newest known change was made again behind it") {
  UnnamedFleet fleet(2);
  const StoreState::Copy copy = fleet.state.copy();
  fleet.state.put("backends/p0", "ready");
  fleet.state.put("backends/p2", "ready");
  fleet.advance(kToAllNodes);
  fleet.come_back_as(copy, [&] {
    fleet.state.put("backends/p0", "draining");
    fleet.state.put("backends/p2", "ready");
  });
  fleet.advance(kToAllNodes);
  CHECK(fleet.count_draining("p0") == fleet.nodes.size());
}
