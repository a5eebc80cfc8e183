// Relays of a zone are selected identically by all nodes and by link speed first, and few of them
// change when a node is added or removed.
#include "discovery/relay_table.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "simulation/virtual_time.h"

using namespace ochrespring;
using namespace ochrespring::discovery;

namespace {

NodeRecord make_node(int number, const std::string& zone, std::uint32_t link_mbps = 20) {
  const std::string name = zone + "-" + std::to_string(number);
  return {NodeId(name), Endpoint("1.1.1.1:1"), ZoneName(zone), Endpoint("1.1.1.1:2"), link_mbps};
}

std::vector<NodeRecord> make_fleet(int nodes_per_zone) {
  std::vector<NodeRecord> fleet;
  for (const char* zone : {"a", "b", "c"}) {
    for (int i = 0; i != nodes_per_zone; ++i) {
      fleet.push_back(make_node(i, zone));
    }
  }
  return fleet;
}

/// A node that knows all of `fleet`.
struct FixedViewNode {
  FixedViewNode(const Clock& clock, const NodeRecord& self, const std::vector<NodeRecord>& fleet,
                RelayOptions options = {})
      : nodes(clock, self), table(nodes, options) {
    nodes.replace(fleet);
  }

  NodeDirectory nodes;
  RelayTable table;
};

std::set<std::string> names_of(const std::vector<std::vector<NodeRecord>>& relays) {
  std::set<std::string> names;
  for (const auto& zone : relays) {
    for (const NodeRecord& record : zone) {
      names.insert(record.node.value());
    }
  }
  return names;
}

}  // namespace

TEST_CASE("all nodes that know the same fleet select the same two relays in each zone") {
  simulation::VirtualTime time;
  const auto fleet = make_fleet(10);
  std::vector<std::vector<std::vector<NodeRecord>>> tables;
  for (const NodeRecord& self : fleet) {
    const FixedViewNode node(time, self, fleet);
    CHECK(node.table.zone_members().size() == 9);
    tables.push_back(node.table.relays());
  }
  REQUIRE(tables.front().size() == 3);
  for (const auto& zone : tables.front()) {
    CHECK(zone.size() == RelayTable::kRelaysPerZone);
  }
  CHECK(std::all_of(tables.begin(), tables.end(),
                    [&](const auto& table) { return table == tables.front(); }));
}

TEST_CASE("the nodes with the fastest links are relays") {
  simulation::VirtualTime time;
  auto fleet = make_fleet(10);
  fleet.push_back(make_node(90, "b", 200));
  fleet.push_back(make_node(91, "b", 200));
  const FixedViewNode node(time, fleet.front(), fleet);
  const auto names = names_of(node.table.relays());
  CHECK(names.contains("b-90"));
  CHECK(names.contains("b-91"));
}

TEST_CASE("removing a node changes the relays only if it was one") {
  simulation::VirtualTime time;
  const auto fleet = make_fleet(10);
  FixedViewNode node(time, fleet.front(), fleet);
  const auto before = names_of(node.table.relays());
  for (const NodeRecord& removed : fleet) {
    if (removed.node == fleet.front().node) {
      continue;
    }
    node.nodes.remove(removed.node);
    const auto now = names_of(node.table.relays());
    std::vector<std::string> kept;
    std::set_intersection(before.begin(), before.end(), now.begin(), now.end(),
                          std::back_inserter(kept));
    CHECK(kept.size() == (before.contains(removed.node.value()) ? 5 : 6));
    node.nodes.put(removed);
    CHECK(names_of(node.table.relays()) == before);
  }
}

TEST_CASE("a zone of one node has one relay, and a small fleet uses none") {
  simulation::VirtualTime time;
  auto fleet = make_fleet(2);
  fleet.push_back(make_node(0, "d"));
  const FixedViewNode node(time, fleet.back(), fleet, {.min_nodes = 8});
  CHECK(node.table.relays().back().size() == 1);
  CHECK(node.table.zone_members().empty());
  CHECK_FALSE(node.table.in_use());
  fleet.push_back(make_node(1, "d"));
  CHECK(FixedViewNode(time, fleet.front(), fleet, {.min_nodes = 8}).table.in_use());
}
