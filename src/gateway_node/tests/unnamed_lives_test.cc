// A store that names no era comes back from an older copy and counts past what was known before
// anybody reads it: drains written under numbers that had been given out before reached no node.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>
#include <vector>

#include "gateway_node/tests/unnamed_fleet.h"

using namespace ochrespring;
using namespace ochrespring::gateway_node;
using namespace ochrespring::gateway_node::testing;

TEST_CASE("a drain reaches all nodes, however many changes were lost and made anew unnoticed") {
  for (const int lost : {1, 4, 12}) {
    // So many are made anew beyond those that were lost.
    for (const int beyond : {0, 1, 200}) {
      for (const bool heartbeats : {false, true}) {
        CAPTURE(lost);
        CAPTURE(beyond);
        CAPTURE(heartbeats);
        UnnamedFleet fleet(6, heartbeats);
        const StoreState::Copy copy = fleet.state.copy();
        fleet.write_others("other/", lost);
        fleet.advance(kToAllNodes);
        const std::uint64_t seen = fleet.state.revision;
        fleet.come_back_as(copy, [&] {
          fleet.state.put("backends/e7", "draining");
          while (fleet.state.revision < seen + static_cast<std::uint64_t>(beyond)) {
            fleet.state.put("later/" + std::to_string(fleet.state.revision), "value");
          }
        });
        fleet.advance(kToAllNodes);
        CHECK(fleet.count_draining("e7") == fleet.nodes.size());
        CHECK(fleet.count_in_second_life() == fleet.nodes.size());
      }
    }
  }
}

TEST_CASE("a deletion that stood at the newest number is told from what stands there now") {
  UnnamedFleet fleet(6);
  fleet.state.put("other/gone", "value");
  fleet.advance(kToAllNodes);
  const StoreState::Copy copy = fleet.state.copy();
  fleet.state.put("other/gone", std::nullopt);
  fleet.advance(kToAllNodes);
  fleet.come_back_as(copy, [&] {
    fleet.state.put("backends/e7", "draining");
    fleet.write_others("later/", 3);
  });
  fleet.advance(kToAllNodes);
  CHECK(fleet.count_draining("e7") == fleet.nodes.size());
}

TEST_CASE("a node that was cut off all the while learns of the life that the others found") {
  UnnamedFleet fleet(6);
  FleetNode& away = *fleet.nodes[4];
  const StoreState::Copy copy = fleet.state.copy();
  fleet.write_others("other/", 4);
  fleet.advance(kToAllNodes);
  away.cut_off = true;
  fleet.come_back_as(copy, [&] {
    fleet.state.put("backends/e7", "draining");
    fleet.write_others("later/", 20);
  });
  fleet.advance(kToAllNodes);
  away.cut_off = false;
  fleet.advance(kToAllNodes);
  CHECK(fleet.count_draining("e7") == fleet.nodes.size());
  CHECK(fleet.count_in_second_life() == fleet.nodes.size());
}

TEST_CASE("large fleets find it by their readers, within the bound and without a storm") {
  for (const int count : {20, 66, 195}) {
    CAPTURE(count);
    UnnamedFleet fleet(count, true, 0.01);
    const StoreState::Copy copy = fleet.state.copy();
    fleet.write_others("other/", 4);
    fleet.advance(kToAllNodes);
    const std::uint64_t seen = fleet.state.revision;
    fleet.come_back_as(copy, [&] {
      fleet.state.put("backends/e7", "draining");
      while (fleet.state.revision < seen + 300) {
        fleet.state.put("later/" + std::to_string(fleet.state.revision), "value");
      }
    });
    const std::uint64_t reads = fleet.state.reads;
    fleet.advance(kToAllNodes);
    MESSAGE("reads of the store: " << fleet.state.reads - reads);
    CHECK(fleet.count_draining("e7") == fleet.nodes.size());
    CHECK(fleet.count_in_second_life() == fleet.nodes.size());
    CHECK(fleet.state.reads - reads < static_cast<std::uint64_t>(count) + 20);
  }
}

TEST_CASE("a quiet store that has forgotten what was known last is not listed again and again") {
  UnnamedFleet fleet(6);
  fleet.state.forget_history();
  fleet.advance(kToAllNodes);
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
  // A look of one of the six in each second or somewhat more.
  CHECK(fleet.state.reads - reads <= 25);
  // Nothing tells any more whether the store that comes back is the same: it is listed.
  fleet.come_back_as(fleet.state.copy(), [] {});
  fleet.advance(kToAllNodes);
  CHECK(listings() > before);
}

TEST_CASE("in one life of the store nobody takes it for another, whatever is written") {
  UnnamedFleet fleet(6, true, 0.05);
  for (int i = 0; i != 60; ++i) {
    fleet.state.put("backends/e" + std::to_string(i % 7), i % 3 == 0 ? "draining" : "ready");
    if (i % 5 == 0) {
      fleet.state.put("other/x", std::nullopt);
    }
    fleet.state.down = i % 20 == 10;
    fleet.advance(700ms);
  }
  fleet.state.down = false;
  fleet.advance(kToAllNodes);
  CHECK(fleet.count([](const FleetNode& node) {
    return node.watcher.statistics().unannounced_eras != 0;
  }) == 0);
}

TEST_CASE("whatever was known, lost and written anew, views are those of the store again") {
  // Writes of a key each: of a back end (ready, draining, gone) or of something else.
  using Writes = std::vector<std::uint8_t>;
  const auto write = [](UnnamedFleet& fleet, const Writes& writes) {
    static const std::vector<std::optional<std::string>> values{"ready", "draining", std::nullopt};
    for (const std::uint8_t what : writes) {
      const std::string name = std::to_string(what / 4 % 8);
      if (what % 4 == 3) {
        fleet.state.put("other/" + name, std::to_string(fleet.state.revision));
      } else {
        fleet.state.put("backends/p" + name, values[what % 4]);
      }
    }
  };
  CHECK(rc::check([&](const Writes& before, const Writes& lost, const Writes& later) {
    UnnamedFleet fleet(2);
    write(fleet, before);
    const StoreState::Copy copy = fleet.state.copy();
    write(fleet, lost);
    fleet.advance(kToAllNodes);
    fleet.come_back_as(copy, [&] { write(fleet, later); });
    fleet.advance(kToAllNodes);
    RC_ASSERT(fleet.views_are_of_the_store());
  }));
}
