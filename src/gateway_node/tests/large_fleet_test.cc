// Load that a fleet of 195 nodes puts on the store and the network, without and with faults.
#include "gateway_node/tests/large_fleet.h"

#include <doctest/doctest.h>

using namespace ochrespring;
using namespace ochrespring::gateway_node;
using namespace ochrespring::gateway_node::testing;

namespace {

constexpr std::size_t kNodes = 195;

/// Advances time and returns the number of reads of the store meanwhile.
std::uint64_t reads_during(LargeFleet& fleet, Duration span) {
  const std::uint64_t before = fleet.state.reads;
  fleet.advance(span);
  return fleet.state.reads - before;
}

}  // namespace

TEST_CASE(
    "a starting fleet lists the store once per node, and later about one node at a time polls") {
  LargeFleet fleet(kNodes);
  fleet.start();
  CHECK(fleet.state.reads < kNodes + 25);
  CHECK(fleet.count_with_version(1) == kNodes);
  CHECK(fleet.count([](const FleetNode& node) { return node.nodes.count() == kNodes; }) == kNodes);
  // One poll per eighth of the staleness bound of 4 s.
  CHECK(reads_during(fleet, 20s) < 45);
}

TEST_CASE("a restarted fleet does not fill its links with messages about itself") {
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

TEST_CASE("a configuration is in force at all nodes in time after a few reads of the store") {
  LargeFleet fleet(kNodes);
  fleet.start();
  fleet.state.put("config", "2");
  const std::uint64_t reads = reads_during(fleet, 3400ms);
  CHECK(fleet.count_with_version(2) == kNodes);
  CHECK(reads < 15);
}

TEST_CASE("more changes than an update holds, while nodes disappear, cause few polls") {
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
    return !node.cut_off && node.view.find(gateway::BackendId("e7"))->draining;
  }) == kNodes - 60);
}

TEST_CASE("nodes without a registration receive no updates and poll the store in time") {
  LargeFleet fleet(kNodes);
  fleet.start();
  for (int i = 0; i != 60; ++i) {
    fleet.state.put("nodes/n" + std::to_string(3 * i), std::nullopt);
  }
  fleet.state.put("backends/e7", "draining");
  const std::uint64_t reads = reads_during(fleet, 3400ms);
  CHECK(reads < 60 + 20);
  CHECK(fleet.count([](const FleetNode& node) {
    return node.view.find(gateway::BackendId("e7"))->draining;
  }) == kNodes);
}

TEST_CASE("a third of the nodes catches up after being cut off for 12 s") {
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
    return node.view.find(gateway::BackendId("e3")) == nullptr;
  }) == kNodes);
  CHECK(reads < kNodes / 2);
}

TEST_CASE("nodes poll less often during an outage of the store, and one updates all after it") {
  LargeFleet fleet(kNodes);
  fleet.start();
  fleet.state.down = true;
  fleet.advance(10s);
  const std::uint64_t refused = fleet.state.refused;
  fleet.advance(10s);
  // About a fifth of one attempt per 0.3 s, and half of one per 0.7 s.
  CHECK(fleet.state.refused - refused < kNodes * 10 / 1.4);
  fleet.state.put("config", "2");
  fleet.state.down = false;
  fleet.advance(1500ms);
  CHECK(fleet.count_with_version(2) == kNodes);
}

TEST_CASE(
    "work at an engine is known at all nodes within two gathering periods, for few datagrams") {
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
  // Ten relays receive the report, and each sends it to its zone once.
  CHECK(sent <= 10 + 10 * 38 + 40);
}

TEST_CASE(
    "no report is lost with one relay of a zone, and new relays take over when both are lost") {
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
  // The registrations of both expire, and ongoing work is reported to the new relays.
  for (const FleetNode* relay : relays) {
    fleet.state.put("nodes/" + relay->record.node.value(), std::nullopt);
  }
  fleet.advance(4500ms);
  CHECK(known_in_zone(gateway::BackendId("e2")) == 37);
}

TEST_CASE("forged, truncated and outdated datagrams have no effect") {
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
  CHECK(node.view.find(gateway::BackendId("e1")) != nullptr);
  fleet.advance(4s);
  CHECK(node.view.backends().size() == LargeFleet::kEngines);
}

namespace {

/// Writes a configuration, a draining and a deleted engine, and discards the history before any
/// node has read these changes.
void discard_history_with_changes(LargeFleet& fleet) {
  fleet.state.put("config", "2");
  fleet.state.put("backends/e7", "draining");
  fleet.state.put("backends/e9", std::nullopt);
  fleet.state.discard_history();
}

std::size_t count_missing_changes(const LargeFleet& fleet) {
  return fleet.count([](const FleetNode& node) {
    const gateway::Backend* draining = node.view.find(gateway::BackendId("e7"));
    return draining == nullptr || !draining->draining ||
           node.view.find(gateway::BackendId("e9")) != nullptr;
  });
}

}  // namespace

// Guards against requests handled by a configuration that was replaced five seconds before. It
// happened with 985 nodes and 10,000 back ends when the store discarded its history: each node
// listed all 11,000 keys over links of 20 Mbit/s, and none finished in time.
TEST_CASE("a discarded history costs a few full listings, and all nodes know the changes in time") {
  LargeFleet fleet(kNodes, 0.01, 3000);
  fleet.start();
  fleet.advance(4s);
  const std::uint64_t reads = fleet.state.reads;
  const std::uint64_t fetched = fleet.fetched_bytes;
  discard_history_with_changes(fleet);
  fleet.advance(3s);
  CHECK(fleet.count_with_version(2) == kNodes);
  CHECK(count_missing_changes(fleet) == 0);
  // 16 pages per full listing; a listing by each node would take 3,120 reads.
  CHECK(fleet.state.reads - reads < 200);
  CHECK(fleet.fetched_bytes - fetched < 1000 * kNodes);
}

TEST_CASE("other nodes recover a discarded history when the first readers are cut off") {
  LargeFleet fleet(kNodes, 0.01, 3000);
  fleet.start();
  fleet.advance(4s);
  for (const auto& node : fleet.nodes) {
    const discovery::ReadingAssignment duty = node->news.channel().reading_assignment();
    node->cut_off = duty.role == discovery::ReadingRole::kReader && duty.rank < 4;
  }
  const std::uint64_t reads = fleet.state.reads;
  discard_history_with_changes(fleet);
  fleet.advance(3800ms);
  CHECK(fleet.count_with_version(2) == kNodes - 4);
  CHECK(count_missing_changes(fleet) == 4);
  CHECK(fleet.state.reads - reads < 300);
}

TEST_CASE("nodes rejected by the store stay current through updates of other nodes") {
  LargeFleet fleet(kNodes, 0.01, 3000);
  fleet.start();
  for (std::size_t i = 0; i < kNodes; i += 3) {
    fleet.nodes[i]->rejected_by_store = true;
    fleet.state.put("nodes/n" + std::to_string(i), std::nullopt);
  }
  fleet.advance(2s);
  fleet.state.put("config", "2");
  const std::uint64_t refused = fleet.state.refused;
  fleet.advance(2s);
  CHECK(fleet.count_with_version(2) == kNodes);
  fleet.advance(6s);
  // Retries by each of the 65 nodes would be refused about 400 times.
  CHECK(fleet.state.refused - refused < 80);
}

TEST_CASE("a restarted large fleet gets its view from a few nodes that list the store") {
  LargeFleet fleet(kNodes, 0.01, 3000);
  fleet.start();
  fleet.advance(4s);
  const std::uint64_t reads = fleet.state.reads;
  fleet.restart();
  CHECK(fleet.count([](const FleetNode& node) {
    return node.view.routes() != nullptr && node.view.backends().size() == 3000 &&
           node.nodes.count() == kNodes;
  }) == kNodes);
  // A first page and one of nodes for each; a full listing by each node would take 3,315 reads.
  CHECK(fleet.state.reads - reads < 3 * kNodes);
}
