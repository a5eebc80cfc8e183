// Engine profiles shared among 66 nodes through relays, over a network with delay and loss.
#include <doctest/doctest.h>

#include <memory>
#include <vector>

#include "engine_profiles/profile_exchange.h"
#include "gateway_node/tests/large_fleet.h"

using namespace ochrespring;
using namespace ochrespring::gateway_node;
using namespace ochrespring::gateway_node::testing;
using engine_profiles::EngineProfileTable;
using engine_profiles::ProfileExchange;

namespace {

constexpr int kNodes = 66;
constexpr Duration kToken = 540us;
constexpr std::uint32_t kTokensPerEvent = 75;

gateway::BackendId engine_id(int i) {
  return gateway::BackendId("e" + std::to_string(i));
}

/// Engine profiles of one node, wired as in GatewayNode.
struct Profiles {
  Profiles(LargeFleet& fleet, FleetNode& node)
      : node_(node),
        table(node.view, fleet.logger),
        exchange(
            {fleet.time, fleet.time, node.random, table}, node.record.node,
            {.broadcast = [&node](const auto& report) { node.news.broadcast_profiles(report); },
             .send_to_zone =
                 [&node](const auto& reports) { node.news.broadcast_profiles_to_zone(reports); }}) {
    gateway::Service service{.name = node.view.find(engine_id(0))->service};
    service.engine = gateway::EngineShape{.slots = 6, .tokens_per_event = kTokensPerEvent};
    gateway::Configuration configuration;
    configuration.version = gateway::ConfigurationVersion(1000);
    configuration.services.push_back(service);
    node.view.apply(configuration);
    node.news.on_profiles(
        {.receive = [this](const auto& report) { exchange.receive(report); },
         .receive_for_relay = [this](const auto& report) { exchange.receive_for_relay(report); },
         .receive_relayed = [this](const auto& reports) { exchange.receive(reports); },
         .send_all = [this](const auto& send) { exchange.send_all(send); }});
    exchange.start();
  }
  double output(int engine, MonotonicTime now) const {
    const auto profile = table.find(*node_.view.find(engine_id(engine)), now);
    return profile ? to_seconds(profile->output_token) / to_seconds(kToken) : 0;
  }

 private:
  FleetNode& node_;

 public:
  EngineProfileTable table;
  ProfileExchange exchange;
};

struct ProfiledFleet : LargeFleet {
  ProfiledFleet() : LargeFleet(kNodes) {
    start();
    for (const auto& node : nodes) {
      profiles.push_back(std::make_unique<Profiles>(*this, *node));
    }
  }
  /// Each node runs a stream at one of eight engines for the given time; `e0` is slow.
  void run_streams(int seconds) {
    for (int round = 0; round != 3 * seconds; ++round) {
      for (std::size_t i = 0; i != profiles.size(); ++i) {
        const int engine = static_cast<int>(i) % 8;
        profiles[i]->table.note_gaps(
            {.engine = engine_id(engine),
             .gaps = 8,
             .took = 8 * kTokensPerEvent * (engine == 0 ? 2 * kToken : kToken)},
            time.now());
      }
      advance(333ms);
    }
  }

  std::vector<std::unique_ptr<Profiles>> profiles;
};

}  // namespace

TEST_CASE("all nodes of a large fleet know a slow engine, for a limited rate of datagrams") {
  ProfiledFleet fleet;
  const auto datagrams_sent = [&] {
    std::uint64_t datagrams = 0;
    for (const auto& node : fleet.nodes) {
      for (std::size_t kind = PeerMessage(engine_profiles::ProfileReport()).index();
           kind <= PeerMessage(engine_profiles::RelayedProfileReports()).index(); ++kind) {
        datagrams += node->news.channel().traffic(kind).datagrams;
      }
    }
    return datagrams;
  };
  fleet.run_streams(4);
  const std::uint64_t before = datagrams_sent();
  fleet.run_streams(4);
  const std::uint64_t in_four_seconds = datagrams_sent() - before;
  for (const auto& profiles : fleet.profiles) {
    CHECK(profiles->output(0, fleet.time.now()) == doctest::Approx(2).epsilon(0.15));
    CHECK(profiles->output(1, fleet.time.now()) == doctest::Approx(1).epsilon(0.02));
    CHECK(profiles->output(70, fleet.time.now()) == doctest::Approx(1).epsilon(0.02));
  }
  // Each node sends to 10 relays once per second. Each relay sends to its zone of about 13 nodes
  // five times per second, and once more for its own reports; the bound allows seven times.
  // Forwarding each report by itself would take 66 datagrams per node.
  CHECK(in_four_seconds < 4 * (kNodes * 10 + 10 * 13 * 7));
}

TEST_CASE("a starting node receives the engine profiles when it requests the cached parts") {
  ProfiledFleet fleet;
  fleet.run_streams(4);
  fleet.profiles[40].reset();
  fleet.restart(40);
  fleet.advance(3s);
  fleet.profiles[40] = std::make_unique<Profiles>(fleet, *fleet.nodes[40]);
  REQUIRE(fleet.profiles[40]->output(0, fleet.time.now()) == 0);
  fleet.nodes[40]->news.request_cached_parts();
  fleet.advance(50ms);
  CHECK(fleet.profiles[40]->output(0, fleet.time.now()) == doctest::Approx(2).epsilon(0.2));
}
