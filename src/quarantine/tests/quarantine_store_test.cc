// Tests storing quarantined requests and claiming trials, also by several nodes at a time.
#include "quarantine/quarantine_store.h"

#include <doctest/doctest.h>

#include <chrono>
#include <vector>

#include "shared_store/tests/memory_store.h"

using namespace ochrespring;
using namespace ochrespring::quarantine;
using namespace std::chrono_literals;

namespace {

struct StoreFixture {
  /// Claims a trial as a node that knows of `trials` earlier ones.
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

TEST_CASE("one of many concurrent claims is granted the trial") {
  StoreFixture fixture;
  for (int i = 0; i != 20; ++i) {
    fixture.claim(0);
  }
  fixture.advance();
  CHECK(fixture.granted() == 1);
  for (const QuarantineStore::TrialClaim& claim : fixture.claims) {
    CHECK(claim.trials == 1);
  }
  fixture.claims.clear();
  fixture.claim(0);  // A node that has not received the report of the first trial.
  fixture.advance();
  CHECK(fixture.granted() == 0);
  CHECK(fixture.claims.at(0).trials == 1);
  fixture.claim(1);
  fixture.advance();
  CHECK(fixture.granted() == 1);
}

TEST_CASE("without the store no trial is granted or counted") {
  StoreFixture fixture;
  fixture.state.down = true;
  fixture.claim(0);
  fixture.advance();
  CHECK(fixture.granted() == 0);
  CHECK(fixture.claims.at(0).trials == 0);
}

TEST_CASE("a claim whose answer is lost is not granted, as it may have been counted") {
  StoreFixture fixture;
  CrashReport report;
  fixture.quarantined.add(report, [](bool stored) { CHECK(stored); });
  fixture.advance();
  fixture.store.drops_answers = true;
  fixture.claim(0);
  fixture.advance();
  fixture.advance();
  CHECK(fixture.granted() == 0);
}

TEST_CASE("a request that several nodes write is stored once and can be removed") {
  StoreFixture fixture;
  int stored = 0;
  for (int i = 0; i != 3; ++i) {
    fixture.quarantined.add({}, [&](bool success) { stored += success ? 1 : 0; });
  }
  fixture.advance();
  CHECK(stored == 3);
  CHECK(fixture.state.items.size() == 1);
  CHECK(fixture.quarantined.is_request_key(fixture.state.items.begin()->first));
  fixture.quarantined.remove({});
  fixture.advance();
  CHECK(fixture.state.items.empty());
}

TEST_CASE("the fleet marker is written once and is not taken for a request") {
  StoreFixture fixture;
  int marked = 0;
  for (int i = 0; i != 3; ++i) {
    fixture.quarantined.write_fleet_marker([&](bool success) { marked += success ? 1 : 0; });
  }
  fixture.advance();
  CHECK(marked == 3);
  REQUIRE(fixture.state.items.size() == 1);
  CHECK(fixture.state.revision == 1);
  CHECK(fixture.quarantined.is_fleet_marker(fixture.state.items.begin()->first));
  CHECK_FALSE(fixture.quarantined.is_request_key(fixture.state.items.begin()->first));
  fixture.state.down = true;
  fixture.quarantined.write_fleet_marker([](bool success) { CHECK_FALSE(success); });
  fixture.advance();
}
