// The nodes to which a node directs its callers.
#include "discovery/node_directory.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <iterator>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "simulation/virtual_time.h"

using namespace ochrespring;
using namespace ochrespring::discovery;

namespace {

constexpr std::size_t kMaxTargets = 64;

NodeRecord make_record(int number) {
  return {.node = NodeId("front-" + std::to_string(number)),
          .address = Endpoint("10.0.0." + std::to_string(number) + ":80"),
          .zone = ZoneName("a"),
          .peer_address = {},
          .link_mbps = 20,
          .view_address = {}};
}

NodeDirectory make_directory(const Clock& clock, int self, int nodes) {
  NodeDirectory directory(clock, make_record(self));
  for (int i = 0; i != nodes; ++i) {
    directory.put(make_record(i));
  }
  return directory;
}

std::set<NodeId> names_of(const NodeDirectory& directory) {
  std::set<NodeId> names;
  for (const NodeRecord& record : directory.caller_targets(kMaxTargets)) {
    names.insert(record.node);
  }
  return names;
}

}  // namespace

// Guards against every node of a large fleet returning the same targets: at 985 nodes, callers
// waited for seconds while nearly all machines were idle, because every answer named the same 64.
TEST_CASE("the nodes of a large fleet together direct callers evenly to all nodes") {
  simulation::VirtualTime time;
  constexpr int kNodes = 600;
  std::map<NodeId, int> named;
  for (int self = 0; self != kNodes; ++self) {
    const std::set<NodeId> names = names_of(make_directory(time, self, kNodes));
    CHECK(names.size() == kMaxTargets);
    for (const NodeId& name : names) {
      ++named[name];
    }
  }
  CHECK(named.size() == kNodes);
  for (const auto& [node, times] : named) {
    CHECK(times > 25);
    CHECK(times < 110);
  }
}

TEST_CASE("adding or removing a node changes at most one caller target") {
  simulation::VirtualTime time;
  NodeDirectory directory = make_directory(time, 0, 400);
  std::set<NodeId> before = names_of(directory);
  for (int i = 1; i != 60; ++i) {
    const NodeId removed = make_record(i).node;
    directory.remove(removed);
    const std::set<NodeId> after = names_of(directory);
    std::vector<NodeId> kept;
    std::set_intersection(before.begin(), before.end(), after.begin(), after.end(),
                          std::back_inserter(kept));
    CHECK(kept.size() == kMaxTargets - (before.contains(removed) ? 1 : 0));
    before = after;
  }
}

TEST_CASE("all nodes of a small fleet are caller targets except a node that leaves") {
  simulation::VirtualTime time;
  NodeDirectory directory = make_directory(time, 3, 40);
  CHECK(names_of(directory).size() == 40);
  directory.leave();
  CHECK(names_of(directory).size() == 39);
  CHECK_FALSE(names_of(directory).contains(make_record(3).node));
}

TEST_CASE(
    "a restarted node is not hidden permanently by a late leaving notice of its previous process") {
  simulation::VirtualTime time;
  NodeDirectory directory(time, make_record(0));
  directory.put(make_record(1), shared_store::StoreRevision(74));
  directory.note_leaving(NodeId("front-1"), shared_store::StoreRevision(84));
  directory.replace({make_record(0), make_record(1)}, shared_store::StoreRevision(94));
  CHECK(directory.count() == 1);
  time.run_until(time.now() + std::chrono::seconds(16));
  directory.add_deferred_nodes();
  CHECK(directory.count() == 2);
}

TEST_CASE("a node removed from the store is not added again after its leaving notice has expired") {
  simulation::VirtualTime time;
  NodeDirectory directory(time, make_record(0));
  directory.put(make_record(1), shared_store::StoreRevision(74));
  directory.note_leaving(NodeId("front-1"), shared_store::StoreRevision(74));
  directory.replace({make_record(0), make_record(1)}, shared_store::StoreRevision(94));
  directory.add_deferred_nodes();
  CHECK(directory.count() == 1);
  directory.remove(NodeId("front-1"));
  time.run_until(time.now() + std::chrono::seconds(16));
  directory.add_deferred_nodes();
  CHECK(directory.count() == 1);
}
