// Tests how nodes detect that their crash records may be incomplete, and when these are complete
// again.
#include <doctest/doctest.h>

#include <string>

#include "gateway_node/tests/crash_fleet.h"

using namespace ochrespring;
using namespace ochrespring::gateway_node;
using namespace ochrespring::gateway_node::testing;
using namespace std::chrono_literals;

namespace {

constexpr Duration kCompleteHorizonAge = quarantine::CrashLedgerOptions().suspicion_ttl;

std::size_t count_complete(const CrashFleet& fleet) {
  return static_cast<std::size_t>(std::count_if(
      fleet.nodes.begin(), fleet.nodes.end(),
      [](const auto& node) { return node->quarantine.horizon().age >= kCompleteHorizonAge; }));
}

void restart_all(CrashFleet& fleet) {
  for (std::size_t i = 0; i != fleet.nodes.size(); ++i) {
    fleet.restart(i);
  }
}

}  // namespace

TEST_CASE("a fleet that starts for the first time has complete knowledge of crashes") {
  const CrashFleet fleet({});
  CHECK(count_complete(fleet) == fleet.nodes.size());
}

TEST_CASE(
    "a fleet killed as a whole knows that crashes may be forgotten, until suspicions would "
    "expire") {
  for (const bool store_down : {false, true}) {
    CAPTURE(store_down);
    CrashFleet fleet({});
    fleet.state.down = store_down;
    restart_all(fleet);
    fleet.advance(20s);
    fleet.state.down = false;
    fleet.advance(20s);
    CHECK(count_complete(fleet) == 0);
    fleet.advance(kCompleteHorizonAge);
    CHECK(count_complete(fleet) == fleet.nodes.size());
  }
}

TEST_CASE("nodes replaced one by one pass on known crashes and their horizon") {
  CrashFleet fleet({.loss = 0.02});
  fleet.crashing_bodies = {"guilty"};
  fleet.state.down = true;
  fleet.send_repeatedly("/once/x", "guilty", 700ms, 1s);
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

// A node with incomplete knowledge asks another node every few seconds. Where no node has complete
// knowledge, all would send each other the same reports without end.
TEST_CASE("nodes that were all killed do not keep sending each other horizon reports") {
  CrashFleet fleet({});
  restart_all(fleet);
  fleet.crashing_bodies = {"guilty"};
  fleet.send_repeatedly("/once/x", "guilty", 700ms, 1s);
  fleet.advance(10s);
  const std::size_t reports = PeerMessage(quarantine::HorizonReport()).index();
  const auto horizon_reports_sent = [&] {
    std::uint64_t sum = 0;
    for (const auto& node : fleet.nodes) {
      sum += node->news.channel().traffic(reports).datagrams;
    }
    return sum;
  };
  const std::uint64_t before = horizon_reports_sent();
  fleet.advance(60s);
  CHECK(horizon_reports_sent() == before);
}

// Guards against nodes that ask only their own zone, where all nodes restarted at the same time.
TEST_CASE("a zone killed as a whole learns crashes from other zones") {
  CrashFleet fleet({});
  fleet.crashing_bodies = {"guilty"};
  fleet.state.down = true;
  fleet.send_repeatedly("/once/x", "guilty", 700ms, 1s);
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
