// Guards against callers that are directed to a node that has stopped or is about to. Its leaving
// notice carries the revision of its registration; when the store does a write but its answer is
// lost, the node knows an older revision or none. The other nodes would take the newer registration
// for that of a process started since and direct callers to it again (7 of 8 nodes in the first
// case).
#include <doctest/doctest.h>

#include <algorithm>

#include "discovery/node_registration.h"
#include "gateway_node/tests/large_fleet.h"
#include "tests/stub_store.h"

using namespace ochrespring;
using namespace ochrespring::gateway_node::testing;
using ochrespring::discovery::testing::StubStore;
using ochrespring::discovery::testing::take;
using shared_store::LeaseId;
using shared_store::StoreErrc;
using shared_store::StoreRevision;

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

/// Registers the node in the store without its knowledge, as when the answer to a write is lost.
void register_unnoticed(LargeFleet& fleet, const FleetNode& node) {
  fleet.state.put("nodes/" + node.record.node.value(), wire::encode(node.record));
}

struct RegistrationFixture {
  simulation::VirtualTime time;
  StubStore store;
  logging::NullLogger logger;
  SeededRandom random{3};
  discovery::NodeRegistration registration{
      time,         store,
      logger,       random,
      {"nodes/me"}, {NodeId("me"), Endpoint("1.1.1.1:1"), ZoneName("a"), Endpoint("127.0.0.1:9")}};

  RegistrationFixture() { store.accepts_lease_ends = false; }
  void advance(Duration span) { time.run_until(time.now() + span); }
  void grant(std::uint64_t lease) { take(store.grants)(LeaseId(lease)); }
};

}  // namespace

TEST_CASE(
    "a node that does not know its last registration is no target for callers once it leaves") {
  LargeFleet fleet(8, 0.0);
  fleet.start();
  const NodeId id = fleet.nodes[3]->record.node;
  register_unnoticed(fleet, *fleet.nodes[3]);
  fleet.advance(3s);
  fleet.state.down = true;
  fleet.nodes[3]->leave();
  fleet.advance(1s);
  CHECK(count_nodes_targeting(fleet, id) == 0);
}

TEST_CASE(
    "a node that does not know that it is registered is no target for callers once it leaves") {
  LargeFleet fleet(8, 0.0);
  fleet.start();
  FleetNode& leaving = *fleet.nodes[3];
  leaving.registered = {};
  fleet.state.down = true;
  leaving.leave();
  fleet.advance(1s);
  CHECK(count_nodes_targeting(fleet, leaving.record.node) == 0);
}

TEST_CASE("a node that learned of its registration by a full listing is no target once it leaves") {
  LargeFleet fleet(8, 0.0);
  fleet.start();
  const NodeId id = fleet.nodes[3]->record.node;
  register_unnoticed(fleet, *fleet.nodes[3]);
  fleet.state.discard_history();
  fleet.advance(3s);
  fleet.state.down = true;
  fleet.nodes[3]->leave();
  fleet.advance(1s);
  CHECK(count_nodes_targeting(fleet, id) == 0);
}

TEST_CASE("a full view gives a node the latest revision of its registration, if any") {
  simulation::VirtualTime time;
  const discovery::NodeRecord self{NodeId("me"), Endpoint("1.1.1.1:1"), ZoneName("a"), {}};
  discovery::NodeRecord other = self;
  other.node = NodeId("other");
  discovery::NodeDirectory nodes(time, self);
  nodes.replace({other}, StoreRevision(8));
  CHECK(nodes.own_registration_revision() == StoreRevision());
  nodes.replace({self, other}, StoreRevision(12));
  CHECK(nodes.own_registration_revision() == StoreRevision(12));
  nodes.replace({self, other}, StoreRevision(9));
  CHECK(nodes.own_registration_revision() == StoreRevision(12));
}

TEST_CASE("a registration written after the leaving notice does not make the node a target") {
  LargeFleet fleet(8, 0.0);
  fleet.start();
  const NodeId id = fleet.nodes[3]->record.node;
  fleet.nodes[3]->leave();
  fleet.advance(500ms);
  register_unnoticed(fleet, *fleet.nodes[3]);
  fleet.advance(3s);
  CHECK(count_nodes_targeting(fleet, id) == 0);
}

TEST_CASE(
    "relays spread the leaving notice of a node with an unknown registration in a large fleet") {
  LargeFleet fleet(195);
  fleet.start();
  const NodeId id = fleet.nodes[100]->record.node;
  register_unnoticed(fleet, *fleet.nodes[100]);
  fleet.advance(3s);
  fleet.state.down = true;
  fleet.nodes[100]->leave();
  fleet.advance(1s);
  CHECK(fleet.count([&](const FleetNode& node) { return node.nodes.others().contains(id); }) == 0);
}

TEST_CASE("another process under the name of a leaving node stays a target for callers") {
  LargeFleet fleet(8, 0.0);
  fleet.start();
  discovery::NodeRecord successor = fleet.nodes[3]->record;
  successor.address = Endpoint("elsewhere");
  fleet.state.put("nodes/" + successor.node.value(), wire::encode(successor));
  fleet.advance(3s);
  fleet.nodes[3]->leave();
  fleet.advance(1s);
  CHECK(count_nodes_targeting(fleet, successor.node) == 7);
}

TEST_CASE("an older leaving notice that arrives late does not replace a newer one") {
  simulation::VirtualTime time;
  const discovery::NodeRecord other{NodeId("other"), Endpoint("2.2.2.2:2"), ZoneName("b"),
                                    Endpoint("127.0.0.1:9")};
  discovery::NodeDirectory nodes(time, {NodeId("me"), Endpoint("1.1.1.1:1"), ZoneName("a"), {}});
  nodes.note_leaving(other.node, StoreRevision(9));
  nodes.note_leaving(other.node, StoreRevision(5));
  nodes.put(other, StoreRevision(9));
  CHECK(nodes.others().empty());
}

TEST_CASE("a node that has listed the store distinguishes a restarted process from one that left") {
  LargeFleet fleet(8, 0.0);
  fleet.start();
  const StoreRevision before = fleet.nodes[3]->registered;
  fleet.register_node(*fleet.nodes[3]);
  fleet.advance(3s);
  fleet.restart(5);
  fleet.advance(3s);
  fleet.nodes[5]->nodes.note_leaving(fleet.nodes[3]->record.node, before);
  CHECK(count_nodes_targeting(fleet, fleet.nodes[3]->record.node) == 8);
}

// A store restored from an older copy assigns lease ids again: ending a lease could delete the
// registration of another node.
TEST_CASE("a leaving node ends no lease that may belong to another node after a restore") {
  RegistrationFixture fixture;
  fixture.registration.start();
  fixture.grant(7);
  take(fixture.store.puts).done(StoreRevision(3));
  fixture.registration.reregister();
  fixture.registration.leave();
  fixture.advance(5s);
  CHECK(fixture.store.ended.empty());
}

TEST_CASE("a leaving node stops retrying to end its lease once the store was restored") {
  RegistrationFixture fixture;
  fixture.registration.start();
  fixture.grant(7);
  take(fixture.store.puts).done(StoreRevision(3));
  fixture.registration.leave();
  fixture.advance(1s);
  const std::size_t before = fixture.store.ended.size();
  CHECK(before != 0);
  fixture.registration.reregister();
  fixture.advance(5s);
  CHECK(fixture.store.ended.size() == before);
  CHECK(fixture.store.grants.empty());
}

TEST_CASE("a write answered after a node has left does not register it again") {
  RegistrationFixture fixture;
  fixture.registration.start();
  fixture.grant(7);
  fixture.registration.leave();
  take(fixture.store.puts).done(fail(StoreErrc::kNotFound, "no such lease"));
  fixture.advance(5s);
  CHECK(fixture.store.grants.empty());
  CHECK(fixture.store.puts.empty());
}

TEST_CASE("a renewal answered after a node has left does not register it again") {
  RegistrationFixture fixture;
  fixture.registration.start();
  fixture.grant(7);
  take(fixture.store.puts).done(StoreRevision(3));
  fixture.advance(1100ms);
  REQUIRE(fixture.store.renewals.size() == 1);
  fixture.registration.leave();
  take(fixture.store.renewals)(fail(StoreErrc::kNotFound, "no such lease"));
  fixture.advance(5s);
  CHECK(fixture.store.grants.empty());
  CHECK(fixture.store.puts.empty());
}
