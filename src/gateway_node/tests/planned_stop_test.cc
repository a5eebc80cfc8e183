// Guards against requests lost at a planned stop during an outage of the store. The node cannot
// delete its registration, so the other nodes keep directing callers to it until its grace period
// ends and the last requests are cut off. Requests were cut off 7.4 s after the stop signal,
// 0.2 s after an outage of 4.5 s ended.
#include <doctest/doctest.h>

#include <algorithm>

#include "gateway_node/tests/large_fleet.h"

using namespace ochrespring;
using namespace ochrespring::gateway_node;
using namespace ochrespring::gateway_node::testing;

namespace {

/// Largest number of nodes that callers are directed to.
constexpr std::size_t kMaxTargets = 64;

std::size_t count_nodes_targeting(const LargeFleet& fleet, const NodeId& node) {
  return fleet.count([&](const FleetNode& other) {
    const auto& targets = other.nodes.caller_targets(kMaxTargets);
    return std::any_of(targets.begin(), targets.end(),
                       [&](const auto& record) { return record.node == node; });
  });
}

}  // namespace

TEST_CASE("a node that stops during an outage of the store is no target for callers within 1 s") {
  LargeFleet fleet(8, 0.0);
  fleet.start();
  const FleetNode& stopping = *fleet.nodes[3];
  CHECK(count_nodes_targeting(fleet, stopping.record.node) == 8);
  fleet.state.down = true;
  fleet.nodes[3]->leave();
  // Callers cache the targets for up to 3 s, and the grace period of the node is 8 s.
  fleet.advance(1s);
  CHECK(count_nodes_targeting(fleet, stopping.record.node) == 0);
}

TEST_CASE("a node that stopped is a target again only when it registers again") {
  LargeFleet fleet(8, 0.0);
  fleet.start();
  fleet.nodes[3]->leave();
  fleet.advance(3s);
  const NodeId id = fleet.nodes[3]->record.node;
  // Its registration is still in the store, which discards its history.
  fleet.state.discard_history();
  fleet.advance(3s);
  CHECK(count_nodes_targeting(fleet, id) == 0);
  fleet.register_node(*fleet.nodes[3]);
  fleet.advance(3s);
  CHECK(count_nodes_targeting(fleet, id) == 7);
}

TEST_CASE("a late leaving notice does not affect a node that has registered since") {
  LargeFleet fleet(8, 0.0);
  fleet.start();
  const shared_store::StoreRevision before = fleet.nodes[3]->registered;
  fleet.register_node(*fleet.nodes[3]);
  fleet.advance(3s);
  fleet.nodes[3]->news.announce_leaving(before);
  fleet.advance(1s);
  CHECK(count_nodes_targeting(fleet, fleet.nodes[3]->record.node) == 8);
}

TEST_CASE("relays spread a leaving notice in a large fleet during an outage of the store") {
  LargeFleet fleet(195);
  fleet.start();
  fleet.state.down = true;
  const NodeId id = fleet.nodes[100]->record.node;
  fleet.nodes[100]->leave();
  fleet.advance(1s);
  CHECK(fleet.count([&](const FleetNode& node) { return node.nodes.others().contains(id); }) == 0);
}

// The stopping node had notified all others, but a node started 5 s later found the registration,
// which could not be deleted during the outage, and directed callers to the stopped node.
TEST_CASE("a node started after another announced its stop does not direct callers to it") {
  LargeFleet fleet(8, 0.0);
  fleet.start();
  const NodeId id = fleet.nodes[3]->record.node;
  fleet.state.down = true;
  fleet.nodes[3]->leave();
  fleet.advance(4s);
  fleet.state.down = false;
  fleet.restart(5);
  fleet.advance(1s);
  CHECK(count_nodes_targeting(fleet, id) == 0);
}
