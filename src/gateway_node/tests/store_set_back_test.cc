// Guards against changes that no node sees after the store was restored from a copy a few seconds
// old: a request reached a back end 2.1 s after it announced that it leaves, and others were
// handled by a configuration replaced 2 s before.
//
// The nodes' views were at revision 26 when the store was restored to a lower revision, and the
// store assigned the revisions up to 26 again. Polls from 26 reported that the history was
// unavailable; the nodes dropped the full listings that followed because their revision was lower,
// but counted themselves as current. Once the store was past 26, polls from 26 succeeded, and no
// node ever saw the drain and the configuration written under revisions up to 26.
#include <doctest/doctest.h>

#include "gateway_node/tests/large_fleet.h"

using namespace ochrespring;
using namespace ochrespring::gateway_node;
using namespace ochrespring::gateway_node::testing;

namespace {

/// Maximum time for a change to reach all nodes while the store is available, as part of the
/// staleness bound of 4 s.
constexpr Duration kPropagationBound = 3400ms;

std::size_t count_draining(const LargeFleet& fleet, const std::string& backend) {
  return fleet.count([&](const FleetNode& node) {
    const gateway::Backend* known = node.view.find(gateway::BackendId(backend));
    return known != nullptr && known->draining;
  });
}

void restore_store(LargeFleet& fleet, const FakeStoreState::Copy& copy) {
  fleet.state.down = true;
  fleet.advance(2s);
  fleet.state.roll_back_to(copy);
  fleet.state.down = false;
}

/// The store loses its newest changes, which the nodes have seen, in an outage of two seconds.
void lose_newest_changes(LargeFleet& fleet, int changes) {
  const FakeStoreState::Copy copy = fleet.state.copy();
  for (int i = 0; i != changes; ++i) {
    fleet.state.put("other/" + std::to_string(i), "value");
  }
  fleet.state.put("config", "2");
  fleet.advance(kPropagationBound);
  REQUIRE(fleet.count_with_version(2) == fleet.nodes.size());
  restore_store(fleet, copy);
  fleet.advance(2500ms);
}

}  // namespace

TEST_CASE(
    "drains and configurations reach all nodes after the store was restored from an older copy") {
  for (const int lost : {1, 4, 12}) {
    CAPTURE(lost);
    LargeFleet fleet(6, 0.0);
    fleet.start();
    fleet.heartbeats_enabled = false;
    lose_newest_changes(fleet, lost);
    fleet.state.put("backends/e7", "draining");
    fleet.state.put("config", "3");
    fleet.advance(kPropagationBound);
    CHECK(count_draining(fleet, "e7") == fleet.nodes.size());
    CHECK(fleet.count_with_version(3) == fleet.nodes.size());
  }
}

TEST_CASE("a draining back end stays unused when an older copy lists it as ready") {
  LargeFleet fleet(6, 0.0);
  fleet.start();
  fleet.heartbeats_enabled = false;
  const FakeStoreState::Copy copy = fleet.state.copy();
  fleet.state.put("backends/e7", "draining");
  fleet.state.put("backends/e8", "draining");
  fleet.advance(kPropagationBound);
  fleet.state.put("backends/e8", std::nullopt);
  fleet.advance(kPropagationBound);
  restore_store(fleet, copy);
  fleet.advance(kPropagationBound);
  for (const char* name : {"e7", "e8"}) {
    const gateway::BackendId id(name);
    CHECK(fleet.count([&](const FleetNode& node) {
      const gateway::Backend* known = node.view.find(id);
      return known != nullptr && !known->draining && node.view.is_leaving(*known);
    }) == fleet.nodes.size());
  }
}

TEST_CASE(
    "a restore does not roll back the configuration but removes back ends that the store lost") {
  LargeFleet fleet(6, 0.0);
  fleet.start();
  fleet.heartbeats_enabled = false;
  const FakeStoreState::Copy copy = fleet.state.copy();
  fleet.state.put("config", "2");
  fleet.state.put("backends/new", "ready");
  fleet.advance(kPropagationBound);
  restore_store(fleet, copy);
  fleet.advance(kPropagationBound);
  CHECK(fleet.count_with_version(2) == fleet.nodes.size());
  CHECK(fleet.count([](const FleetNode& node) {
    return node.view.find(gateway::BackendId("new")) == nullptr;
  }) == fleet.nodes.size());
}

TEST_CASE("a node cut off during a restore of the store enters the new era") {
  LargeFleet fleet(6, 0.0);
  fleet.start();
  fleet.heartbeats_enabled = false;
  FleetNode& away = *fleet.nodes[4];
  const FakeStoreState::Copy copy = fleet.state.copy();
  fleet.state.put("backends/new", "ready");
  fleet.advance(kPropagationBound);
  away.cut_off = true;
  restore_store(fleet, copy);
  // Takes the store past the revision that the node has seen.
  for (int i = 0; i != 5; ++i) {
    fleet.state.put("backends/e" + std::to_string(i), "draining");
  }
  fleet.advance(kPropagationBound);
  away.cut_off = false;
  fleet.advance(kPropagationBound);
  CHECK(count_draining(fleet, "e0") == fleet.nodes.size());
  CHECK(away.view.find(gateway::BackendId("new")) == nullptr);
  CHECK(away.watcher.statistics().eras_begun == 1);
}

TEST_CASE("a large fleet enters the new era of its store within the bound") {
  LargeFleet fleet(195);
  fleet.start();
  const FakeStoreState::Copy copy = fleet.state.copy();
  fleet.state.put("backends/new", "ready");
  fleet.advance(kPropagationBound);
  const std::uint64_t reads = fleet.state.reads;
  restore_store(fleet, copy);
  fleet.state.put("config", "3");
  fleet.advance(kPropagationBound);
  CHECK(fleet.count_with_version(3) == fleet.nodes.size());
  CHECK(fleet.count([](const FleetNode& node) {
    return node.watcher.statistics().eras_begun == 1;
  }) == fleet.nodes.size());
  MESSAGE("reads of the store: " << fleet.state.reads - reads);
  CHECK(fleet.state.reads - reads < 195);
}
