// What a fleet of 195 nodes asks of the store and of the network, in calm and under faults.
#include "gateway_node/tests/large_fleet.h"

#include <doctest/doctest.h>

using namespace ochrespring;
using namespace ochrespring::gateway_node;
using namespace ochrespring::gateway_node::testing;

namespace {

constexpr std::size_t kNodes = 195;

/// Reads of the store while time goes on.
std::uint64_t reads_during(LargeFleet& fleet, Duration span) {
  const std::uint64_t before = fleet.state.reads;
  fleet.advance(span);
  return fleet.state.reads - before;
}

}  // namespace

TEST_CASE("a fleet that starts lists the store once a node, and in calm about one node looks") {
  LargeFleet fleet(kNodes);
  fleet.start();
  CHECK(fleet.state.reads < kNodes + 25);
  CHECK(fleet.count_with_version(1) == kNodes);
  CHECK(fleet.count([](const FleetNode& node) { return node.nodes.count() == kNodes; }) == kNodes);
  // One look in an eighth of the bound of 4 s.
  CHECK(reads_during(fleet, 20s) < 45);
}

TEST_CASE("a fleet that is killed and starts again does not fill its links with news of itself") {
  LargeFleet fleet(kNodes);
  fleet.start();
  const std::uint64_t reads = fleet.state.reads;
  const std::uint64_t datagrams = fleet.datagrams;
  fleet.restart();
  CHECK(fleet.dropped == 0);
  CHECK(fleet.state.reads - reads < kNodes + 40);
  CHECK(fleet.datagrams - datagrams < 100 * kNodes);
  CHECK(fleet.count([](const FleetNode& node) { return node.nodes.count() == kNodes; }) == kNodes);
}

TEST_CASE("a configuration is in force everywhere in time, for a few reads of the store") {
  LargeFleet fleet(kNodes);
  fleet.start();
  fleet.state.put("config", "2");
  const std::uint64_t reads = reads_during(fleet, 3400ms);
  CHECK(fleet.count_with_version(2) == kNodes);
  CHECK(reads < 15);
}

TEST_CASE("more changes than an update holds, with nodes that go, bring no storm of looks") {
  LargeFleet fleet(kNodes);
  fleet.start();
  for (int i = 0; i != LargeFleet::kEngines; ++i) {
    fleet.state.put("backends/e" + std::to_string(i), "draining");
  }
  for (std::size_t i = 0; i != 60; ++i) {
    fleet.nodes[3 * i]->cut_off = true;
    fleet.state.put("nodes/n" + std::to_string(3 * i), std::nullopt);
  }
  const std::uint64_t reads = reads_during(fleet, 3400ms);
  CHECK(reads < 20);
  CHECK(fleet.count([](const FleetNode& node) {
    return !node.cut_off && node.fleet.find(gateway::BackendId("e7"))->draining;
  }) == kNodes - 60);
}

TEST_CASE("nodes whose registration is gone hear nothing, and look themselves in time") {
  LargeFleet fleet(kNodes);
  fleet.start();
  for (int i = 0; i != 60; ++i) {
    fleet.state.put("nodes/n" + std::to_string(3 * i), std::nullopt);
  }
  fleet.state.put("backends/e7", "draining");
  const std::uint64_t reads = reads_during(fleet, 3400ms);
  CHECK(reads < 60 + 20);
  CHECK(fleet.count([](const FleetNode& node) {
    return node.fleet.find(gateway::BackendId("e7"))->draining;
  }) == kNodes);
}

TEST_CASE("a third of the nodes is cut off for long and then sees what the others see") {
  LargeFleet fleet(kNodes);
  fleet.start();
  for (std::size_t i = 0; i < kNodes; i += 3) {
    fleet.nodes[i]->cut_off = true;
  }
  fleet.state.put("config", "2");
  fleet.state.put("backends/e3", std::nullopt);
  fleet.advance(12s);
  CHECK(fleet.count_with_version(2) == kNodes - kNodes / 3);
  for (const auto& node : fleet.nodes) {
    node->cut_off = false;
  }
  const std::uint64_t reads = reads_during(fleet, 3s);
  CHECK(fleet.count_with_version(2) == kNodes);
  CHECK(fleet.count([](const FleetNode& node) {
    return node.fleet.find(gateway::BackendId("e3")) == nullptr;
  }) == kNodes);
  CHECK(reads < kNodes / 2);
}

TEST_CASE("while the store is out nodes ask seldomer, and when it is back one tells all") {
  LargeFleet fleet(kNodes);
  fleet.start();
  fleet.state.down = true;
  fleet.advance(10s);
  const std::uint64_t refused = fleet.state.refused;
  fleet.advance(10s);
  // A fifth of the pace of a try each 0.3 s, and half of one each 0.7 s as before.
  CHECK(fleet.state.refused - refused < kNodes * 10 / 1.4);
  fleet.state.put("config", "2");
  fleet.state.down = false;
  fleet.advance(1500ms);
  CHECK(fleet.count_with_version(2) == kNodes);
}

TEST_CASE("work at an engine is known everywhere within two gathers, for some datagrams a report") {
  LargeFleet fleet(kNodes, 0);
  fleet.start();
  const gateway::BackendId engine("e5");
  const std::uint64_t before = fleet.datagrams;
  fleet.nodes[1]->loads.begin(engine, 400);
  fleet.advance(50ms);
  const std::uint64_t sent = fleet.datagrams - before;
  CHECK(fleet.count([&](const FleetNode& node) {
    return node.loads.others(engine, fleet.time.now()).pending_prefill_tokens == 400;
  }) == kNodes - 1);
  CHECK(fleet.nodes[1]->loads.others(engine, fleet.time.now()).requests == 0);
  // Ten relays hear it, and each tells its zone once.
  CHECK(sent <= 10 + 10 * 38 + 40);
}

TEST_CASE("a relay that dies costs no news, and with both dead others take over") {
  LargeFleet fleet(kNodes, 0);
  fleet.start();
  std::vector<FleetNode*> relays;
  for (const auto& node : fleet.nodes) {
    if (node->news.is_relay() && node->record.zone == ZoneName("b")) {
      relays.push_back(node.get());
    }
  }
  REQUIRE(relays.size() == 2);
  const auto known_in_zone = [&](const gateway::BackendId& engine) {
    return fleet.count([&](const FleetNode& node) {
      return node.record.zone == ZoneName("b") && !node.cut_off &&
             node.loads.others(engine, fleet.time.now()).requests != 0;
    });
  };
  relays[0]->cut_off = true;
  fleet.nodes[0]->loads.begin(gateway::BackendId("e1"), 10);
  fleet.advance(50ms);
  CHECK(known_in_zone(gateway::BackendId("e1")) == 38);
  relays[1]->cut_off = true;
  fleet.nodes[0]->loads.begin(gateway::BackendId("e2"), 10);
  fleet.advance(50ms);
  CHECK(known_in_zone(gateway::BackendId("e2")) == 0);
  // Their registrations lapse; work that goes on is told to the new relays.
  for (const FleetNode* relay : relays) {
    fleet.state.put("nodes/" + relay->record.node.value(), std::nullopt);
  }
  fleet.advance(4500ms);
  CHECK(known_in_zone(gateway::BackendId("e2")) == 37);
}

TEST_CASE("forged, torn and old datagrams do no harm") {
  LargeFleet fleet(kNodes, 0);
  fleet.start();
  FleetNode& node = *fleet.nodes[4];
  SeededRandom random(3);
  for (int i = 0; i != 2000; ++i) {
    std::string bytes(random.below(120), '\0');
    for (char& byte : bytes) {
      byte = static_cast<char>(random.below(256));
    }
    node.news.receive(bytes);
  }
  discovery::ViewUpdate old;
  old.after = shared_store::StoreRevision(0);
  old.through = shared_store::StoreRevision(1);
  old.changes.push_back(discovery::BackendChange{shared_store::StoreRevision(1),
                                                 gateway::BackendId("e1"), std::nullopt});
  const std::string whole = wire::encode(PeerMessage(old));
  for (std::size_t size = 0; size <= whole.size(); ++size) {
    node.news.receive(whole.substr(0, size));
  }
  CHECK(node.fleet.find(gateway::BackendId("e1")) != nullptr);
  fleet.advance(4s);
  CHECK(node.fleet.backends().size() == LargeFleet::kEngines);
}

namespace {

/// The store forgets its history and, just before, an engine begins to drain and a configuration
/// comes: nobody has seen either.
void forget_with_changes(LargeFleet& fleet) {
  fleet.state.put("config", "2");
  fleet.state.put("backends/e7", "draining");
  fleet.state.put("backends/e9", std::nullopt);
  fleet.state.forget_history();
}

std::size_t count_without_changes(const LargeFleet& fleet) {
  return fleet.count([](const FleetNode& node) {
    const gateway::Backend* draining = node.fleet.find(gateway::BackendId("e7"));
    return draining == nullptr || !draining->draining ||
           node.fleet.find(gateway::BackendId("e9")) != nullptr;
  });
}

}  // namespace

// Users saw requests handled by a configuration that had been replaced five seconds before, at 985
// nodes before 10,000 servers. The store had forgotten its history; every node then listed all of
// its 11,000 keys for itself, over links of 20 Mbit/s, and in time nobody came to an end.
TEST_CASE("a history that is gone costs a few listings, and all know in time what changed") {
  LargeFleet fleet(kNodes, 0.01, 3000);
  fleet.start();
  fleet.advance(4s);
  const std::uint64_t reads = fleet.state.reads;
  const std::uint64_t fetched = fleet.fetched_bytes;
  forget_with_changes(fleet);
  fleet.advance(3s);
  CHECK(fleet.count_with_version(2) == kNodes);
  CHECK(count_without_changes(fleet) == 0);
  // 16 pages a listing; all nodes would make 3,120 reads.
  CHECK(fleet.state.reads - reads < 200);
  CHECK(fleet.fetched_bytes - fetched < 1000 * kNodes);
}

TEST_CASE("with the first readers dead, others recover what a forgotten history held") {
  LargeFleet fleet(kNodes, 0.01, 3000);
  fleet.start();
  fleet.advance(4s);
  for (const auto& node : fleet.nodes) {
    const discovery::ReadingAssignment duty = node->news.channel().reading_assignment();
    node->cut_off = duty.role == discovery::ReadingRole::kReader && duty.rank < 4;
  }
  const std::uint64_t reads = fleet.state.reads;
  forget_with_changes(fleet);
  fleet.advance(3800ms);
  CHECK(fleet.count_with_version(2) == kNodes - 4);
  CHECK(count_without_changes(fleet) == 4);
  CHECK(fleet.state.reads - reads < 300);
}

TEST_CASE("nodes that the store turns away stay current by what the others tell") {
  LargeFleet fleet(kNodes, 0.01, 3000);
  fleet.start();
  for (std::size_t i = 0; i < kNodes; i += 3) {
    fleet.nodes[i]->turned_away = true;
    fleet.state.put("nodes/n" + std::to_string(i), std::nullopt);
  }
  fleet.advance(2s);
  fleet.state.put("config", "2");
  const std::uint64_t refused = fleet.state.refused;
  fleet.advance(2s);
  CHECK(fleet.count_with_version(2) == kNodes);
  fleet.advance(6s);
  // Each of 65 asking again and again would be refused some 400 times.
  CHECK(fleet.state.refused - refused < 80);
}

TEST_CASE("a large fleet that is killed takes its view from a few nodes that list the store") {
  LargeFleet fleet(kNodes, 0.01, 3000);
  fleet.start();
  fleet.advance(4s);
  const std::uint64_t reads = fleet.state.reads;
  fleet.restart();
  CHECK(fleet.count([](const FleetNode& node) {
    return node.fleet.routes() != nullptr && node.fleet.backends().size() == 3000 &&
           node.nodes.count() == kNodes;
  }) == kNodes);
  // A first page each, and one of nodes; all of them listing everything would be 3,315.
  CHECK(fleet.state.reads - reads < 3 * kNodes);
}
