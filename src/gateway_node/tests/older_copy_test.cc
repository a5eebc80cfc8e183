// Changes that a restore of the store from an older copy undoes: deletions of back ends, and
// configurations whose version is assigned again.
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

/// Maximum time for a change to reach all nodes while the store is available, as part of the
/// staleness bound of 4 s.
constexpr Duration kPropagationBound = 3400ms;

void restore_store(LargeFleet& fleet, const FakeStoreState::Copy& copy) {
  fleet.state.down = true;
  fleet.advance(2s);
  fleet.state.roll_back_to(copy);
  fleet.state.down = false;
}

/// Number of nodes that would send a request to the back end.
std::size_t count_routing_to(LargeFleet& fleet, const std::string& backend) {
  const std::set<gateway::BackendId> none;
  return fleet.count([&](FleetNode& node) {
    const gateway::CandidateFinder finder(node.view, node.loads, node.random);
    const auto found =
        finder.find({.service = {}, .prompt = nullptr, .avoid = &none}, false, fleet.time.now());
    return std::any_of(found.backends.begin(), found.backends.end(),
                       [&](const auto* known) { return known->id.value() == backend; });
  });
}

}  // namespace

// A back end may leave without a notice: its entry is deleted, and it finishes its requests. An
// older copy contains the entry again, until the platform deletes it after three missed heartbeats.
TEST_CASE("a back end that left without a notice is not used when an older copy lists it") {
  LargeFleet fleet(6, 0.0);
  fleet.start();
  const FakeStoreState::Copy copy = fleet.state.copy();
  fleet.state.put("backends/e7", std::nullopt);
  fleet.advance(kPropagationBound);
  REQUIRE(count_routing_to(fleet, "e7") == 0);
  restore_store(fleet, copy);
  fleet.heartbeats_enabled = false;
  fleet.advance(kPropagationBound);
  CHECK(count_routing_to(fleet, "e7") == 0);
  CHECK(count_routing_to(fleet, "e8") == fleet.nodes.size());
}

TEST_CASE("a back end still listed after the platform would have deleted it is used again") {
  LargeFleet fleet(6, 0.0);
  fleet.start();
  const FakeStoreState::Copy copy = fleet.state.copy();
  fleet.state.put("backends/e7", std::nullopt);
  fleet.advance(kPropagationBound);
  restore_store(fleet, copy);
  fleet.advance(kPropagationBound + 6s);
  CHECK(count_routing_to(fleet, "e7") == fleet.nodes.size());
}

TEST_CASE("a back end that had left and was back before the copy was made is used") {
  LargeFleet fleet(6, 0.0);
  fleet.start();
  fleet.state.put("backends/e7", std::nullopt);
  fleet.advance(kPropagationBound);
  REQUIRE(count_routing_to(fleet, "e7") == 0);
  fleet.state.put("backends/e7", "ready");
  fleet.advance(kPropagationBound);
  restore_store(fleet, fleet.state.copy());
  fleet.advance(kPropagationBound);
  CHECK(fleet.count([](const FleetNode& node) { return node.watcher.statistics().eras_begun; }) ==
        fleet.nodes.size());
  CHECK(count_routing_to(fleet, "e7") == fleet.nodes.size());
}

TEST_CASE(
    "back ends whose entries were all deleted are used as soon as the restored store lists them") {
  LargeFleet fleet(6, 0.0, 12);
  fleet.start();
  const FakeStoreState::Copy copy = fleet.state.copy();
  fleet.heartbeats_enabled = false;
  for (int i = 0; i != 12; ++i) {
    fleet.state.put("backends/e" + std::to_string(i), std::nullopt);
  }
  fleet.advance(kPropagationBound);
  REQUIRE(count_routing_to(fleet, "e7") == 0);
  restore_store(fleet, copy);
  fleet.advance(kPropagationBound);
  CHECK(count_routing_to(fleet, "e7") == fleet.nodes.size());
}

// An operator's newest configuration may have the version of one that the store has lost.
TEST_CASE("a configuration of a newer era is applied even under the version of a lost one") {
  LargeFleet fleet(6, 0.0);
  fleet.start();
  const FakeStoreState::Copy copy = fleet.state.copy();
  fleet.state.put("config", "2 lost");
  fleet.advance(kPropagationBound);
  REQUIRE(fleet.count_with_version(2) == fleet.nodes.size());
  restore_store(fleet, copy);
  fleet.state.put("config", "2 again");
  fleet.advance(kPropagationBound);
  CHECK(fleet.count([](const FleetNode& node) {
    return node.watcher.configuration_in_force() == "2 again";
  }) == fleet.nodes.size());
}

TEST_CASE("a configuration of the previous era does not prevail over one of the same version") {
  LargeFleet fleet(6, 0.0);
  fleet.start();
  const FakeStoreState::Copy copy = fleet.state.copy();
  fleet.state.put("config", "2 lost");
  fleet.advance(kPropagationBound);
  FleetNode& away = *fleet.nodes[4];
  away.cut_off = true;
  restore_store(fleet, copy);
  fleet.state.put("config", "2 again");
  fleet.advance(kPropagationBound);
  away.cut_off = false;
  fleet.advance(kPropagationBound);
  CHECK(fleet.count([](const FleetNode& node) {
    return node.watcher.configuration_in_force() == "2 again";
  }) == fleet.nodes.size());
}

// A full listing by each node after a restore would overload the store.
TEST_CASE(
    "a restore costs the store fewer calls than the fleet has nodes, and all enter the new era in "
    "time") {
  for (const int nodes : {66, 195}) {
    CAPTURE(nodes);
    LargeFleet fleet(nodes);
    fleet.start();
    const FakeStoreState::Copy copy = fleet.state.copy();
    fleet.state.put("backends/new", "ready");
    fleet.advance(kPropagationBound);
    fleet.state.down = true;
    fleet.advance(2s);
    const std::uint64_t reads = fleet.state.reads;
    const std::uint64_t refused = fleet.state.refused;
    fleet.state.roll_back_to(copy);
    fleet.state.down = false;
    const auto in_new_era = [&] {
      return fleet.count(
          [](const FleetNode& node) { return node.watcher.statistics().eras_begun == 1; });
    };
    Duration taken{};
    while (taken < kPropagationBound && in_new_era() != fleet.nodes.size()) {
      fleet.advance(10ms);
      taken += 10ms;
    }
    const std::uint64_t calls = fleet.state.reads - reads + fleet.state.refused - refused;
    MESSAGE("reads of the store: "
            << calls << ", all in the new era after "
            << std::chrono::duration_cast<std::chrono::milliseconds>(taken).count() << " ms");
    CHECK(in_new_era() == fleet.nodes.size());
    CHECK(calls < fleet.nodes.size());
  }
}

// A store restored when the polls of the followers were due received more calls than the fleet has
// nodes: each follower learned that the history was unavailable and read the configuration itself,
// just before a reader reported the new era.
TEST_CASE("a restore costs the store fewer calls than the fleet has nodes, whatever its time") {
  for (const int nodes : {66, 195}) {
    for (Duration outage = 1500ms; outage <= 2500ms; outage += 100ms) {
      CAPTURE(nodes);
      CAPTURE(to_seconds(outage));
      LargeFleet fleet(nodes);
      fleet.start();
      const FakeStoreState::Copy copy = fleet.state.copy();
      fleet.state.put("backends/new", "ready");
      fleet.advance(kPropagationBound);
      fleet.state.down = true;
      fleet.advance(outage);
      const std::uint64_t reads = fleet.state.reads;
      fleet.state.roll_back_to(copy);
      fleet.state.down = false;
      fleet.advance(600ms);
      CHECK(fleet.state.reads - reads < fleet.nodes.size());
      fleet.advance(kPropagationBound);
      CHECK(fleet.count([](const FleetNode& node) {
        return node.watcher.statistics().eras_begun == 1;
      }) == fleet.nodes.size());
    }
  }
}
