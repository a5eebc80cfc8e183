// What nodes agree on by the store.
#include "quarantine/quarantine_store.h"

#include <doctest/doctest.h>

#include <chrono>
#include <vector>

#include "shared_store/tests/memory_store.h"

using namespace ochrespring;
using namespace ochrespring::quarantine;
using namespace std::chrono_literals;

namespace {

struct StoreWorld {
  /// Claims a trial by the view of a node that knows of `trials`.
  void claim(std::uint32_t trials) {
    CrashReport report;
    report.trials = trials;
    quarantined.claim_trial(
        report, [this](const QuarantineStore::TrialClaim& claim) { claims.push_back(claim); });
  }
  void advance() { time.run_until(time.now() + 2s); }
  std::size_t granted() const {
    std::size_t count = 0;
    for (const QuarantineStore::TrialClaim& claim : claims) {
      count += claim.granted ? 1 : 0;
    }
    return count;
  }

  simulation::VirtualTime time;
  shared_store::testing::StoreState state{time};
  shared_store::testing::MemoryStore store{time, state, time};
  QuarantineStore quarantined{store, "quarantine/"};
  std::vector<QuarantineStore::TrialClaim> claims;
};

}  // namespace

TEST_CASE("of many nodes that ask at once one is granted the trial") {
  StoreWorld world;
  for (int i = 0; i != 20; ++i) {
    world.claim(0);
  }
  world.advance();
  CHECK(world.granted() == 1);
  for (const QuarantineStore::TrialClaim& claim : world.claims) {
    CHECK(claim.trials == 1);
  }
  world.claims.clear();
  world.claim(0);  // A node that has not heard of the first.
  world.advance();
  CHECK(world.granted() == 0);
  CHECK(world.claims.at(0).trials == 1);
  world.claim(1);
  world.advance();
  CHECK(world.granted() == 1);
}

TEST_CASE("without the store nobody is granted a trial, and none is used up") {
  StoreWorld world;
  world.state.down = true;
  world.claim(0);
  world.advance();
  CHECK(world.granted() == 0);
  CHECK(world.claims.at(0).trials == 0);
}

TEST_CASE("a claim whose answer is lost may have been counted: nobody sends") {
  StoreWorld world;
  CrashReport report;
  world.quarantined.add(report, [](bool stored) { CHECK(stored); });
  world.advance();
  world.store.drops_answers = true;
  world.claim(0);
  world.advance();
  world.advance();
  CHECK(world.granted() == 0);
}

TEST_CASE("a request is stored once, whoever writes it, and removed") {
  StoreWorld world;
  int stored = 0;
  for (int i = 0; i != 3; ++i) {
    world.quarantined.add({}, [&](bool success) { stored += success ? 1 : 0; });
  }
  world.advance();
  CHECK(stored == 3);
  CHECK(world.state.items.size() == 1);
  CHECK(world.quarantined.owns(world.state.items.begin()->first));
  world.quarantined.remove({});
  world.advance();
  CHECK(world.state.items.empty());
}

TEST_CASE("the mark that the fleet has run is written once, and is no request") {
  StoreWorld world;
  int marked = 0;
  for (int i = 0; i != 3; ++i) {
    world.quarantined.mark_fleet([&](bool success) { marked += success ? 1 : 0; });
  }
  world.advance();
  CHECK(marked == 3);
  REQUIRE(world.state.items.size() == 1);
  CHECK(world.state.revision == 1);
  CHECK(world.quarantined.is_fleet_mark(world.state.items.begin()->first));
  CHECK_FALSE(world.quarantined.owns(world.state.items.begin()->first));
  world.state.down = true;
  world.quarantined.mark_fleet([](bool success) { CHECK_FALSE(success); });
  world.advance();
}
