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

void set_store_back(LargeFleet& fleet, const StoreState::Copy& copy) {
  fleet.state.down = true;
  fleet.advance(2s);
  fleet.state.set_back_to(copy);
  fleet.state.down = false;
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
  set_store_back(fleet, copy);
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

TEST_CASE("a server that has said that it leaves stays out, whatever an older copy says of it") {
  LargeFleet fleet(6, 0.0);
  fleet.start();
  fleet.servers_write = false;
  const StoreState::Copy copy = fleet.state.copy();
  fleet.state.put("backends/e7", "draining");
  fleet.state.put("backends/e8", "draining");
  fleet.advance(kToAllNodes);
  fleet.state.put("backends/e8", std::nullopt);
  fleet.advance(kToAllNodes);
  set_store_back(fleet, copy);
  fleet.advance(kToAllNodes);
  for (const char* name : {"e7", "e8"}) {
    const gateway::BackendId id(name);
    CHECK(fleet.count([&](const FleetNode& node) {
      const gateway::Backend* known = node.fleet.find(id);
      return known != nullptr && !known->draining && node.fleet.is_leaving(*known);
    }) == fleet.nodes.size());
  }
}

TEST_CASE("the configuration does not go back, and what the store lost besides is forgotten") {
  LargeFleet fleet(6, 0.0);
  fleet.start();
  fleet.servers_write = false;
  const StoreState::Copy copy = fleet.state.copy();
  fleet.state.put("config", "2");
  fleet.state.put("backends/new", "ready");
  fleet.advance(kToAllNodes);
  set_store_back(fleet, copy);
  fleet.advance(kToAllNodes);
  CHECK(fleet.count_with_version(2) == fleet.nodes.size());
  CHECK(fleet.count([](const FleetNode& node) {
    return node.fleet.find(gateway::BackendId("new")) == nullptr;
  }) == fleet.nodes.size());
}

TEST_CASE("a node that was cut off while the store was set back is in the new life with the rest") {
  LargeFleet fleet(6, 0.0);
  fleet.start();
  fleet.servers_write = false;
  FleetNode& away = *fleet.nodes[4];
  const StoreState::Copy copy = fleet.state.copy();
  fleet.state.put("backends/new", "ready");
  fleet.advance(kToAllNodes);
  away.cut_off = true;
  set_store_back(fleet, copy);
  // The store counts past what the node has seen.
  for (int i = 0; i != 5; ++i) {
    fleet.state.put("backends/e" + std::to_string(i), "draining");
  }
  fleet.advance(kToAllNodes);
  away.cut_off = false;
  fleet.advance(kToAllNodes);
  CHECK(count_draining(fleet, "e0") == fleet.nodes.size());
  CHECK(away.fleet.find(gateway::BackendId("new")) == nullptr);
  CHECK(away.watcher.statistics().eras_begun == 1);
}

TEST_CASE("a large fleet is in the new life of its store within the bound") {
  LargeFleet fleet(195);
  fleet.start();
  const StoreState::Copy copy = fleet.state.copy();
  fleet.state.put("backends/new", "ready");
  fleet.advance(kToAllNodes);
  const std::uint64_t reads = fleet.state.reads;
  set_store_back(fleet, copy);
  fleet.state.put("config", "3");
  fleet.advance(kToAllNodes);
  CHECK(fleet.count_with_version(3) == fleet.nodes.size());
  CHECK(fleet.count([](const FleetNode& node) {
    return node.watcher.statistics().eras_begun == 1;
  }) == fleet.nodes.size());
  MESSAGE("reads of the store: " << fleet.state.reads - reads);
  CHECK(fleet.state.reads - reads < 195);
}
