#include "stream_records/holder_selector.h"

#include <doctest/doctest.h>

#include <set>

#include "stream_records/tests/record_fleet.h"

using namespace ochrespring;
using namespace ochrespring::stream_records;
using stream_records::testing::RecordFleet;

namespace {

std::set<NodeId> select(RecordFleet& fleet, std::size_t node, std::uint64_t attempt,
                        std::size_t count) {
  HolderSelector selector(fleet.time, fleet.nodes[node]->directory);
  std::set<NodeId> selected;
  for (const auto* record : selector.select({1, attempt}, count)) {
    selected.insert(record->node);
  }
  return selected;
}

}  // namespace

TEST_CASE("every node asks all holders, also after the first node's registration was removed") {
  RecordFleet fleet(60);
  for (std::uint64_t attempt = 1; attempt != 60; ++attempt) {
    const auto holders = select(fleet, 0, attempt, StreamRecords::kHolders);
    REQUIRE(holders.size() == StreamRecords::kHolders);
    fleet.nodes[attempt]->directory.remove(NodeId("n0"));
    auto asked = select(fleet, attempt, attempt, StreamRecords::kNodesAsked);
    asked.insert(fleet.record_of(attempt).node);
    for (const NodeId& holder : holders) {
      CHECK(asked.contains(holder));
    }
  }
}

TEST_CASE("holders are in different zones and differ between streams") {
  RecordFleet fleet(60, 4);
  std::set<NodeId> all;
  for (std::uint64_t attempt = 1; attempt != 200; ++attempt) {
    HolderSelector selector(fleet.time, fleet.nodes[0]->directory);
    std::set<ZoneName> zones;
    for (const auto* record : selector.select({1, attempt}, 4)) {
      zones.insert(record->zone);
      all.insert(record->node);
    }
    CHECK(zones.size() == 4);
  }
  CHECK(all.size() == 59);
}
