// Callers lost requests at a node that stopped as planned while the store was out: the node could
// not take back its registration, so the others went on naming it, and callers came to it until its
// grace was over and the last requests were cut. Seen at a node 7.4 s after its stop signal, 0.2 s
// after the store had been away for 4.5 s.
#include <doctest/doctest.h>

#include <algorithm>

#include "gateway_node/tests/large_fleet.h"

using namespace ochrespring;
using namespace ochrespring::gateway_node;
using namespace ochrespring::gateway_node::testing;

namespace {

/// Callers are sent to at most so many nodes.
constexpr std::size_t kNamed = 64;

std::size_t count_naming(const LargeFleet& fleet, const NodeId& node) {
  return fleet.count([&](const FleetNode& other) {
    const auto& named = other.nodes.named(kNamed);
    return std::any_of(named.begin(), named.end(),
                       [&](const auto& record) { return record.node == node; });
  });
}

}  // namespace

TEST_CASE("a node that stops while the store is out is named by nobody soon after") {
  LargeFleet fleet(8, 0.0);
  fleet.start();
  const FleetNode& stopping = *fleet.nodes[3];
  CHECK(count_naming(fleet, stopping.record.node) == 8);
  fleet.state.down = true;
  fleet.nodes[3]->leave();
  // Callers keep an answer for up to three seconds, and the node's grace is 8 s.
  fleet.advance(1s);
  CHECK(count_naming(fleet, stopping.record.node) == 0);
}
