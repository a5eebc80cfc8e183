// Eras of a store that does not name them. Guards against drains that reach no node: the store is
// restored from an older copy and is past the last known revision before any node reads it, and the
// drains were written under revisions that had been assigned before.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>
#include <vector>

#include "gateway_node/tests/unnamed_fleet.h"

using namespace ochrespring;
using namespace ochrespring::gateway_node;
using namespace ochrespring::gateway_node::testing;

TEST_CASE("a drain reaches all nodes however many changes were lost and written unnoticed") {
  for (const int lost : {1, 4, 12}) {
    // Number of new changes beyond those that were lost.
    for (const int beyond : {0, 1, 200}) {
      for (const bool heartbeats : {false, true}) {
        CAPTURE(lost);
        CAPTURE(beyond);
        CAPTURE(heartbeats);
        UnnamedEraFleet fleet(6, heartbeats);
        const FakeStoreState::Copy copy = fleet.state.copy();
        fleet.write_other_keys("other/", lost);
        fleet.advance(kPropagationBound);
        const std::uint64_t seen = fleet.state.revision;
        fleet.restore_from(copy, [&] {
          fleet.state.put("backends/e7", "draining");
          while (fleet.state.revision < seen + static_cast<std::uint64_t>(beyond)) {
            fleet.state.put("later/" + std::to_string(fleet.state.revision), "value");
          }
        });
        fleet.advance(kPropagationBound);
        CHECK(fleet.count_draining("e7") == fleet.nodes.size());
        CHECK(fleet.count_in_second_era() == fleet.nodes.size());
      }
    }
  }
}

TEST_CASE("a deletion at the newest known revision is distinguished from a new change there") {
  UnnamedEraFleet fleet(6);
  fleet.state.put("other/gone", "value");
  fleet.advance(kPropagationBound);
  const FakeStoreState::Copy copy = fleet.state.copy();
  fleet.state.put("other/gone", std::nullopt);
  fleet.advance(kPropagationBound);
  fleet.restore_from(copy, [&] {
    fleet.state.put("backends/e7", "draining");
    fleet.write_other_keys("later/", 3);
  });
  fleet.advance(kPropagationBound);
  CHECK(fleet.count_draining("e7") == fleet.nodes.size());
}

TEST_CASE("a node cut off during the restore learns of the era that the others detected") {
  UnnamedEraFleet fleet(6);
  FleetNode& away = *fleet.nodes[4];
  const FakeStoreState::Copy copy = fleet.state.copy();
  fleet.write_other_keys("other/", 4);
  fleet.advance(kPropagationBound);
  away.cut_off = true;
  fleet.restore_from(copy, [&] {
    fleet.state.put("backends/e7", "draining");
    fleet.write_other_keys("later/", 20);
  });
  fleet.advance(kPropagationBound);
  away.cut_off = false;
  fleet.advance(kPropagationBound);
  CHECK(fleet.count_draining("e7") == fleet.nodes.size());
  CHECK(fleet.count_in_second_era() == fleet.nodes.size());
}

TEST_CASE("large fleets detect the new era through their readers in time and with few reads") {
  for (const int count : {20, 66, 195}) {
    CAPTURE(count);
    UnnamedEraFleet fleet(count, true, 0.01);
    const FakeStoreState::Copy copy = fleet.state.copy();
    fleet.write_other_keys("other/", 4);
    fleet.advance(kPropagationBound);
    const std::uint64_t seen = fleet.state.revision;
    fleet.restore_from(copy, [&] {
      fleet.state.put("backends/e7", "draining");
      while (fleet.state.revision < seen + 300) {
        fleet.state.put("later/" + std::to_string(fleet.state.revision), "value");
      }
    });
    const std::uint64_t reads = fleet.state.reads;
    fleet.advance(kPropagationBound);
    MESSAGE("reads of the store: " << fleet.state.reads - reads);
    CHECK(fleet.count_draining("e7") == fleet.nodes.size());
    CHECK(fleet.count_in_second_era() == fleet.nodes.size());
    CHECK(fleet.state.reads - reads < static_cast<std::uint64_t>(count) + 20);
  }
}

TEST_CASE("an idle store that discarded the last known change is not listed repeatedly") {
  UnnamedEraFleet fleet(6);
  fleet.state.discard_history();
  fleet.advance(kPropagationBound);
  const auto listings = [&] {
    std::uint64_t sum = 0;
    for (const auto& node : fleet.nodes) {
      sum += node->watcher.statistics().listings;
    }
    return sum;
  };
  const std::uint64_t before = listings();
  const std::uint64_t reads = fleet.state.reads;
  fleet.advance(20s);
  CHECK(listings() == before);
  // About one poll per second by one of the six nodes.
  CHECK(fleet.state.reads - reads <= 25);
  // Nothing shows any more whether the store is the same after an outage, so it is listed.
  fleet.restore_from(fleet.state.copy(), [] {});
  fleet.advance(kPropagationBound);
  CHECK(listings() > before);
}

TEST_CASE("no write within one store era is taken for a new era") {
  UnnamedEraFleet fleet(6, true, 0.05);
  for (int i = 0; i != 60; ++i) {
    fleet.state.put("backends/e" + std::to_string(i % 7), i % 3 == 0 ? "draining" : "ready");
    if (i % 5 == 0) {
      fleet.state.put("other/x", std::nullopt);
    }
    fleet.state.down = i % 20 == 10;
    fleet.advance(700ms);
  }
  fleet.state.down = false;
  fleet.advance(kPropagationBound);
  CHECK(fleet.count([](const FleetNode& node) {
    return node.watcher.statistics().unannounced_eras != 0;
  }) == 0);
}

TEST_CASE("views match the restored store whatever was known, lost and written again") {
  // Each write changes one key: a back end (ready, draining, deleted) or another key.
  using Writes = std::vector<std::uint8_t>;
  const auto write = [](UnnamedEraFleet& fleet, const Writes& writes) {
    static const std::vector<std::optional<std::string>> values{"ready", "draining", std::nullopt};
    for (const std::uint8_t code : writes) {
      const std::string name = std::to_string(code / 4 % 8);
      if (code % 4 == 3) {
        fleet.state.put("other/" + name, std::to_string(fleet.state.revision));
      } else {
        fleet.state.put("backends/p" + name, values[code % 4]);
      }
    }
  };
  CHECK(rc::check([&](const Writes& before, const Writes& lost, const Writes& later) {
    UnnamedEraFleet fleet(2);
    write(fleet, before);
    const FakeStoreState::Copy copy = fleet.state.copy();
    write(fleet, lost);
    fleet.advance(kPropagationBound);
    fleet.restore_from(copy, [&] { write(fleet, later); });
    fleet.advance(kPropagationBound);
    RC_ASSERT(fleet.views_match_store());
  }));
}
