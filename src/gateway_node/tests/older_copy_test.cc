// What an older copy of the store undoes beyond its numbers. Found by reading after the incident of
// a store that came back older; no user has seen them yet.
#include <doctest/doctest.h>

#include <algorithm>
#include <set>
#include <string>

#include "gateway/candidates.h"
#include "gateway_node/tests/large_fleet.h"

using namespace ochrespring;
using namespace ochrespring::gateway_node;
using namespace ochrespring::gateway_node::testing;

namespace {

/// Of a bound of 4 s: as long as a change may take to all nodes while the store answers.
constexpr Duration kToAllNodes = 3400ms;

void set_store_back(LargeFleet& fleet, const StoreState::Copy& copy) {
  fleet.state.down = true;
  fleet.advance(2s);
  fleet.state.set_back_to(copy);
  fleet.state.down = false;
}

/// Nodes that would send a request to the back end.
std::size_t count_using(LargeFleet& fleet, const std::string& backend) {
  const std::set<gateway::BackendId> none;
  return fleet.count([&](FleetNode& node) {
    const gateway::CandidateFinder finder(node.fleet, node.loads, node.random);
    const auto found =
        finder.find({.service = {}, .prompt = nullptr, .avoid = &none}, false, fleet.time.now());
    return std::any_of(found.backends.begin(), found.backends.end(),
                       [&](const auto* known) { return known->id.value() == backend; });
  });
}

}  // namespace

// A server that leaves need not say so: its entry goes, and it serves what it has for a while. An
// older copy holds the entry again, until the platform finds the server silent for three
// heartbeats.
TEST_CASE("a server that has gone without a word is not used because an older copy shows it") {
  LargeFleet fleet(6, 0.0);
  fleet.start();
  const StoreState::Copy copy = fleet.state.copy();
  fleet.state.put("backends/e7", std::nullopt);
  fleet.advance(kToAllNodes);
  REQUIRE(count_using(fleet, "e7") == 0);
  set_store_back(fleet, copy);
  fleet.servers_write = false;
  fleet.advance(kToAllNodes);
  CHECK(count_using(fleet, "e7") == 0);
  CHECK(count_using(fleet, "e8") == fleet.nodes.size());
}

TEST_CASE("a server that is there after the platform would have taken it away is used again") {
  LargeFleet fleet(6, 0.0);
  fleet.start();
  const StoreState::Copy copy = fleet.state.copy();
  fleet.state.put("backends/e7", std::nullopt);
  fleet.advance(kToAllNodes);
  set_store_back(fleet, copy);
  fleet.advance(kToAllNodes + 6s);
  CHECK(count_using(fleet, "e7") == fleet.nodes.size());
}

TEST_CASE("a server that had been away and was back before the copy was made is not doubted") {
  LargeFleet fleet(6, 0.0);
  fleet.start();
  fleet.state.put("backends/e7", std::nullopt);
  fleet.advance(kToAllNodes);
  REQUIRE(count_using(fleet, "e7") == 0);
  fleet.state.put("backends/e7", "ready");
  fleet.advance(kToAllNodes);
  set_store_back(fleet, fleet.state.copy());
  fleet.advance(kToAllNodes);
  CHECK(fleet.count([](const FleetNode& node) { return node.watcher.statistics().eras_begun; }) ==
        fleet.nodes.size());
  CHECK(count_using(fleet, "e7") == fleet.nodes.size());
}

TEST_CASE("servers that all went with the store that was away are used as soon as it shows them") {
  LargeFleet fleet(6, 0.0, 12);
  fleet.start();
  const StoreState::Copy copy = fleet.state.copy();
  fleet.servers_write = false;
  for (int i = 0; i != 12; ++i) {
    fleet.state.put("backends/e" + std::to_string(i), std::nullopt);
  }
  fleet.advance(kToAllNodes);
  REQUIRE(count_using(fleet, "e7") == 0);
  set_store_back(fleet, copy);
  fleet.advance(kToAllNodes);
  CHECK(count_using(fleet, "e7") == fleet.nodes.size());
}

// The operator's newest word may bear the number of one that the store has lost.
TEST_CASE(
    "a configuration written in a newer life is taken, also under the version of a lost one") {
  LargeFleet fleet(6, 0.0);
  fleet.start();
  const StoreState::Copy copy = fleet.state.copy();
  fleet.state.put("config", "2 lost");
  fleet.advance(kToAllNodes);
  REQUIRE(fleet.count_with_version(2) == fleet.nodes.size());
  set_store_back(fleet, copy);
  fleet.state.put("config", "2 again");
  fleet.advance(kToAllNodes);
  CHECK(fleet.count([](const FleetNode& node) {
    return node.watcher.configuration_in_force() == "2 again";
  }) == fleet.nodes.size());
}

TEST_CASE("a configuration of the same version from the life before says nothing any more") {
  LargeFleet fleet(6, 0.0);
  fleet.start();
  const StoreState::Copy copy = fleet.state.copy();
  fleet.state.put("config", "2 lost");
  fleet.advance(kToAllNodes);
  FleetNode& away = *fleet.nodes[4];
  away.cut_off = true;
  set_store_back(fleet, copy);
  fleet.state.put("config", "2 again");
  fleet.advance(kToAllNodes);
  away.cut_off = false;
  fleet.advance(kToAllNodes);
  CHECK(fleet.count([](const FleetNode& node) {
    return node.watcher.configuration_in_force() == "2 again";
  }) == fleet.nodes.size());
}

// A fleet whose nodes each listed the store after a restore would storm it.
TEST_CASE(
    "a restore costs the store fewer calls than the fleet has nodes, and all are in the new life "
    "soon") {
  for (const int nodes : {66, 195}) {
    CAPTURE(nodes);
    LargeFleet fleet(nodes);
    fleet.start();
    const StoreState::Copy copy = fleet.state.copy();
    fleet.state.put("backends/new", "ready");
    fleet.advance(kToAllNodes);
    fleet.state.down = true;
    fleet.advance(2s);
    const std::uint64_t reads = fleet.state.reads;
    const std::uint64_t refused = fleet.state.refused;
    fleet.state.set_back_to(copy);
    fleet.state.down = false;
    const auto in_new_life = [&] {
      return fleet.count(
          [](const FleetNode& node) { return node.watcher.statistics().eras_begun == 1; });
    };
    Duration taken{};
    while (taken < kToAllNodes && in_new_life() != fleet.nodes.size()) {
      fleet.advance(10ms);
      taken += 10ms;
    }
    const std::uint64_t calls = fleet.state.reads - reads + fleet.state.refused - refused;
    MESSAGE("reads of the store: "
            << calls << ", all in the new life after "
            << std::chrono::duration_cast<std::chrono::milliseconds>(taken).count() << " ms");
    CHECK(in_new_life() == fleet.nodes.size());
    CHECK(calls < fleet.nodes.size());
  }
}

// A store that came back as the followers' looks were due was asked more often than the fleet has
// nodes: each was told that history is gone and read the configuration alone, moments before a
// reader told of the new life.
TEST_CASE("a restore costs the store fewer calls than the fleet has nodes, whenever it comes") {
  for (const int nodes : {66, 195}) {
    for (Duration away = 1500ms; away <= 2500ms; away += 100ms) {
      CAPTURE(nodes);
      CAPTURE(to_seconds(away));
      LargeFleet fleet(nodes);
      fleet.start();
      const StoreState::Copy copy = fleet.state.copy();
      fleet.state.put("backends/new", "ready");
      fleet.advance(kToAllNodes);
      fleet.state.down = true;
      fleet.advance(away);
      const std::uint64_t reads = fleet.state.reads;
      fleet.state.set_back_to(copy);
      fleet.state.down = false;
      fleet.advance(600ms);
      CHECK(fleet.state.reads - reads < fleet.nodes.size());
      fleet.advance(kToAllNodes);
      CHECK(fleet.count([](const FleetNode& node) {
        return node.watcher.statistics().eras_begun == 1;
      }) == fleet.nodes.size());
    }
  }
}
