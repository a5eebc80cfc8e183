// When nodes know that ends of servers may have been forgotten, and when they know better.
#include <doctest/doctest.h>

#include <string>

#include "gateway_node/tests/crash_fleet.h"

using namespace ochrespring;
using namespace ochrespring::gateway_node;
using namespace ochrespring::gateway_node::testing;
using namespace std::chrono_literals;

namespace {

constexpr Duration kComplete = quarantine::CrashLedgerOptions().suspicion_ttl;

std::size_t count_complete(const CrashFleet& fleet) {
  return static_cast<std::size_t>(
      std::count_if(fleet.nodes.begin(), fleet.nodes.end(),
                    [](const auto& node) { return node->quarantine.horizon().age >= kComplete; }));
}

void restart_all(CrashFleet& fleet) {
  for (std::size_t i = 0; i != fleet.nodes.size(); ++i) {
    fleet.restart(i);
  }
}

}  // namespace

TEST_CASE("a fleet that starts for the first time has forgotten nothing") {
  const CrashFleet fleet({});
  CHECK(count_complete(fleet) == fleet.nodes.size());
}

TEST_CASE("a fleet that was killed as a whole knows that it may have forgotten something") {
  for (const bool out : {false, true}) {
    CAPTURE(out);
    CrashFleet fleet({});
    fleet.state.down = out;
    restart_all(fleet);
    fleet.advance(20s);
    fleet.state.down = false;
    fleet.advance(20s);
    CHECK(count_complete(fleet) == 0);
    fleet.advance(kComplete);
    CHECK(count_complete(fleet) == fleet.nodes.size());
  }
}

TEST_CASE("nodes that are replaced one by one hand on what the fleet knows, and how far back") {
  CrashFleet fleet({.loss = 0.02});
  fleet.guilty = {"guilty"};
  fleet.state.down = true;
  fleet.repeat("/once/x", "guilty", 700ms, 1s);
  fleet.advance(3s);
  const std::size_t suspected =
      fleet.nodes.front()->quarantine.ledger().count(quarantine::SuspicionLevel::kSuspected);
  REQUIRE(suspected == 1);
  for (std::size_t i = 0; i != fleet.nodes.size(); ++i) {
    fleet.restart(i);
    fleet.advance(3s);
  }
  fleet.advance(6s);
  CHECK(count_complete(fleet) == fleet.nodes.size());
  for (const auto& node : fleet.nodes) {
    CHECK(node->quarantine.ledger().count(quarantine::SuspicionLevel::kSuspected) == suspected);
  }
}

// Each node asks another every few seconds while it is incomplete; where none can help, all would
// be told over and over what they know.
TEST_CASE("nodes that have all been killed do not tell each other everything again and again") {
  CrashFleet fleet({});
  restart_all(fleet);
  fleet.guilty = {"guilty"};
  fleet.repeat("/once/x", "guilty", 700ms, 1s);
  fleet.advance(10s);
  const std::size_t reports = PeerMessage(quarantine::HorizonReport()).index();
  const auto told = [&] {
    std::uint64_t sum = 0;
    for (const auto& node : fleet.nodes) {
      sum += node->news.channel().traffic(reports).datagrams;
    }
    return sum;
  };
  const std::uint64_t before = told();
  fleet.advance(60s);
  CHECK(told() == before);
}

// Nodes asked only those of their own zone, who had all started with them.
TEST_CASE("a zone that was killed as a whole learns it from the others") {
  CrashFleet fleet({});
  fleet.guilty = {"guilty"};
  fleet.state.down = true;
  fleet.repeat("/once/x", "guilty", 700ms, 1s);
  fleet.advance(3s);
  for (std::size_t i = 0; i < fleet.nodes.size(); i += 3) {
    fleet.restart(i);
  }
  fleet.advance(12s);
  CHECK(count_complete(fleet) == fleet.nodes.size());
  for (const auto& node : fleet.nodes) {
    CHECK(node->quarantine.ledger().count(quarantine::SuspicionLevel::kSuspected) == 1);
  }
}
