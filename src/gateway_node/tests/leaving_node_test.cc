// Callers were sent on to a node that had stopped or was about to: its word that it leaves named
// the registration that it knew of, and a store that does a write and loses the answer leaves it
// knowing an older one, or none. The others then took the newer one for that of a process started
// since, and named the node again. Found by reading; the first case had 7 of 8 nodes name it.
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

/// Callers are sent to at most so many nodes.
constexpr std::size_t kNamed = 64;

std::size_t count_naming(const LargeFleet& fleet, const NodeId& node) {
  return fleet.count([&](const FleetNode& other) {
    const auto& named = other.nodes.caller_targets(kNamed);
    return std::any_of(named.begin(), named.end(),
                       [&](const auto& record) { return record.node == node; });
  });
}

/// The store does the write, and the node does not hear of it.
void register_unheard(LargeFleet& fleet, const FleetNode& node) {
  fleet.state.put("nodes/" + node.record.node.value(), wire::encode(node.record));
}

struct RegistrationWorld {
  simulation::VirtualTime time;
  StubStore store;
  logging::NullLogger logger;
  SeededRandom random{3};
  discovery::NodeRegistration registration{
      time,         store,
      logger,       random,
      {"nodes/me"}, {NodeId("me"), Endpoint("1.1.1.1:1"), ZoneName("a"), Endpoint("127.0.0.1:9")}};

  RegistrationWorld() { store.accepts_lease_ends = false; }
  void advance(Duration span) { time.run_until(time.now() + span); }
  void grant(std::uint64_t lease) { take(store.grants)(LeaseId(lease)); }
};

}  // namespace

TEST_CASE(
    "a node whose registration was written without its knowing is named by nobody once it leaves") {
  LargeFleet fleet(8, 0.0);
  fleet.start();
  const NodeId id = fleet.nodes[3]->record.node;
  register_unheard(fleet, *fleet.nodes[3]);
  fleet.advance(3s);
  fleet.state.down = true;
  fleet.nodes[3]->leave();
  fleet.advance(1s);
  CHECK(count_naming(fleet, id) == 0);
}

TEST_CASE("a node that never heard that it is registered is named by nobody once it leaves") {
  LargeFleet fleet(8, 0.0);
  fleet.start();
  FleetNode& leaving = *fleet.nodes[3];
  leaving.registered = {};
  fleet.state.down = true;
  leaving.leave();
  fleet.advance(1s);
  CHECK(count_naming(fleet, leaving.record.node) == 0);
}

TEST_CASE("so it is where the node learnt of its registration by a later listing") {
  LargeFleet fleet(8, 0.0);
  fleet.start();
  const NodeId id = fleet.nodes[3]->record.node;
  register_unheard(fleet, *fleet.nodes[3]);
  fleet.state.forget_history();
  fleet.advance(3s);
  fleet.state.down = true;
  fleet.nodes[3]->leave();
  fleet.advance(1s);
  CHECK(count_naming(fleet, id) == 0);
}

TEST_CASE("a whole view tells a node by when it was registered, if it was") {
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

TEST_CASE("a registration that lands after the word is heard of and named no longer") {
  LargeFleet fleet(8, 0.0);
  fleet.start();
  const NodeId id = fleet.nodes[3]->record.node;
  fleet.nodes[3]->leave();
  fleet.advance(500ms);
  register_unheard(fleet, *fleet.nodes[3]);
  fleet.advance(3s);
  CHECK(count_naming(fleet, id) == 0);
}

TEST_CASE("in a large fleet the same holds by the relays' word") {
  LargeFleet fleet(195);
  fleet.start();
  const NodeId id = fleet.nodes[100]->record.node;
  register_unheard(fleet, *fleet.nodes[100]);
  fleet.advance(3s);
  fleet.state.down = true;
  fleet.nodes[100]->leave();
  fleet.advance(1s);
  CHECK(fleet.count([&](const FleetNode& node) { return node.nodes.others().contains(id); }) == 0);
}

TEST_CASE("another process under the name of one that leaves goes on being named") {
  LargeFleet fleet(8, 0.0);
  fleet.start();
  discovery::NodeRecord successor = fleet.nodes[3]->record;
  successor.address = Endpoint("elsewhere");
  fleet.state.put("nodes/" + successor.node.value(), wire::encode(successor));
  fleet.advance(3s);
  fleet.nodes[3]->leave();
  fleet.advance(1s);
  CHECK(count_naming(fleet, successor.node) == 7);
}

TEST_CASE("an older word that comes late does not take the place of a newer one") {
  simulation::VirtualTime time;
  const discovery::NodeRecord other{NodeId("other"), Endpoint("2.2.2.2:2"), ZoneName("b"),
                                    Endpoint("127.0.0.1:9")};
  discovery::NodeDirectory nodes(time, {NodeId("me"), Endpoint("1.1.1.1:1"), ZoneName("a"), {}});
  nodes.note_leaving(other.node, StoreRevision(9));
  nodes.note_leaving(other.node, StoreRevision(5));
  nodes.put(other, StoreRevision(9));
  CHECK(nodes.others().empty());
}

TEST_CASE(
    "a node that has listed the store knows a process that has started since from one that left") {
  LargeFleet fleet(8, 0.0);
  fleet.start();
  const StoreRevision before = fleet.nodes[3]->registered;
  fleet.register_node(*fleet.nodes[3]);
  fleet.advance(3s);
  fleet.restart(5);
  fleet.advance(3s);
  fleet.nodes[5]->nodes.note_leaving(fleet.nodes[3]->record.node, before);
  CHECK(count_naming(fleet, fleet.nodes[3]->record.node) == 8);
}

// The number of a lease is given out again by a store that comes back older: ending it would take
// another node's registration away.
TEST_CASE("a node that leaves ends no lease that the store may have given to another since") {
  RegistrationWorld world;
  world.registration.start();
  world.grant(7);
  take(world.store.puts).done(StoreRevision(3));
  world.registration.reregister();
  world.registration.leave();
  world.advance(5s);
  CHECK(world.store.ended.empty());
}

TEST_CASE("a node that goes on ending its lease gives up once the store has come back older") {
  RegistrationWorld world;
  world.registration.start();
  world.grant(7);
  take(world.store.puts).done(StoreRevision(3));
  world.registration.leave();
  world.advance(1s);
  const std::size_t before = world.store.ended.size();
  CHECK(before != 0);
  world.registration.reregister();
  world.advance(5s);
  CHECK(world.store.ended.size() == before);
  CHECK(world.store.grants.empty());
}

TEST_CASE("a write that is answered after a node has left does not bring it back") {
  RegistrationWorld world;
  world.registration.start();
  world.grant(7);
  world.registration.leave();
  take(world.store.puts).done(fail(StoreErrc::kNotFound, "no such lease"));
  world.advance(5s);
  CHECK(world.store.grants.empty());
  CHECK(world.store.puts.empty());
}

TEST_CASE("a renewal that is answered after a node has left does not bring it back") {
  RegistrationWorld world;
  world.registration.start();
  world.grant(7);
  take(world.store.puts).done(StoreRevision(3));
  world.advance(1100ms);
  REQUIRE(world.store.renewals.size() == 1);
  world.registration.leave();
  take(world.store.renewals)(fail(StoreErrc::kNotFound, "no such lease"));
  world.advance(5s);
  CHECK(world.store.grants.empty());
  CHECK(world.store.puts.empty());
}
