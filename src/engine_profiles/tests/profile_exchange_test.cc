#include "engine_profiles/profile_exchange.h"

#include <doctest/doctest.h>

#include <chrono>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "simulation/virtual_time.h"
#include "wire/codec.h"

using namespace ochrespring;
using namespace ochrespring::engine_profiles;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const ServiceName kChat("chat");
constexpr std::uint32_t kTokensPerEvent = 75;
constexpr Duration kToken = microseconds(540);

gateway::BackendId engine_id(int i) {
  return gateway::BackendId("i-7f3a91c2-" + std::to_string(1000 + i) + "@1787834510949");
}

/// One node's exchange; what it tells waits in `told`.
struct Node {
  Node(simulation::VirtualTime& time, const gateway::FleetState& fleet, const std::string& name,
       std::uint64_t seed)
      : random(seed),
        table(fleet, logger),
        exchange(
            {time, time, random, table}, NodeId(name),
            {.tell_all = [this](const ProfileNews& news) { told.push_back(news); },
             .tell_zone = [this](const RelayedProfileNews& news) { relayed.push_back(news); }}) {
    exchange.start();
  }

  SeededRandom random;
  logging::NullLogger logger;
  EngineProfileTable table;
  ProfileExchange exchange;
  std::vector<ProfileNews> told;
  std::vector<RelayedProfileNews> relayed;
};

struct ExchangeFixture {
  simulation::VirtualTime time;
  gateway::FleetState fleet;
  std::vector<std::unique_ptr<Node>> nodes;

  explicit ExchangeFixture(int engines, int node_count) {
    gateway::Service service{.name = kChat};
    service.engine = gateway::EngineShape{.slots = 6, .tokens_per_event = kTokensPerEvent};
    gateway::Configuration configuration;
    configuration.version = gateway::ConfigurationVersion(1);
    configuration.services.push_back(service);
    fleet.apply(configuration);
    for (int i = 0; i != engines; ++i) {
      gateway::Backend engine;
      engine.id = engine_id(i);
      engine.service = kChat;
      engine.role = gateway::EngineRole::kDecode;
      fleet.put(engine);
    }
    for (int i = 0; i != node_count; ++i) {
      nodes.push_back(std::make_unique<Node>(time, fleet, "n" + std::to_string(i), i + 1));
    }
  }
  void gaps(Node& node, int engine, Duration token) {
    node.table.note_gaps(
        {.engine = engine_id(engine), .gaps = 8, .took = 8 * kTokensPerEvent * token}, time.now());
  }
  /// Time passes; every other node hears what each told, if `delivered`.
  void advance(Duration span, bool delivered = true) {
    time.run_until(time.now() + span);
    for (const auto& from : nodes) {
      for (const ProfileNews& news : std::exchange(from->told, {})) {
        for (const auto& to : nodes) {
          if (delivered && to != from) {
            to->exchange.take(news);
          }
        }
      }
    }
  }
  std::optional<gateway::EngineProfile> find(const Node& node, int engine) const {
    return node.table.find(*fleet.find(engine_id(engine)), time.now());
  }
  /// In multiples of kToken; 0: nothing is known.
  double output(const Node& node, int engine) const {
    const auto profile = find(node, engine);
    return profile ? to_seconds(profile->output_token) / to_seconds(kToken) : 0;
  }
};

}  // namespace

TEST_CASE("a node learns of engines that only others use, and adds their long streams up") {
  ExchangeFixture fixture(4, 3);
  for (int round = 0; round != 10; ++round) {
    for (int i = 0; i != 10; ++i) {
      fixture.gaps(*fixture.nodes[0], 0, 2 * kToken);
      fixture.gaps(*fixture.nodes[1], 1, kToken);
      fixture.gaps(*fixture.nodes[1], 2, kToken);
    }
    fixture.advance(milliseconds(500));
  }
  CHECK(fixture.output(*fixture.nodes[2], 0) == doctest::Approx(2).epsilon(0.1));
  CHECK(fixture.output(*fixture.nodes[2], 1) == doctest::Approx(1).epsilon(0.02));
  CHECK(fixture.output(*fixture.nodes[2], 3) == doctest::Approx(1).epsilon(0.02));

  fixture.nodes[0]->table.begin_long_stream(engine_id(3), fixture.time.now());
  fixture.nodes[1]->table.begin_long_stream(engine_id(3), fixture.time.now());
  // Long streams that go on stay known, without any further change.
  for (int second = 0; second != 12; ++second) {
    fixture.advance(seconds(1));
  }
  CHECK(fixture.find(*fixture.nodes[2], 3)->long_streams == 2);
  CHECK(fixture.find(*fixture.nodes[0], 3)->long_streams == 2);
  fixture.nodes[0]->table.end_long_stream(engine_id(3), fixture.time.now());
  fixture.advance(seconds(1));
  CHECK(fixture.find(*fixture.nodes[2], 3)->long_streams == 1);
}

TEST_CASE("a node that is cut off goes on with what it knows, then with the median") {
  ExchangeFixture fixture(4, 2);
  for (int round = 0; round != 10; ++round) {
    for (int i = 0; i != 10; ++i) {
      fixture.gaps(*fixture.nodes[0], 0, 2 * kToken);
      fixture.gaps(*fixture.nodes[0], 1, kToken);
      fixture.gaps(*fixture.nodes[0], 2, kToken);
    }
    fixture.nodes[0]->table.begin_long_stream(engine_id(0), fixture.time.now());
    fixture.advance(milliseconds(500));
  }
  fixture.advance(seconds(2), false);
  CHECK(fixture.output(*fixture.nodes[1], 0) > 1.7);
  fixture.advance(seconds(60), false);
  CHECK(fixture.output(*fixture.nodes[1], 0) == doctest::Approx(1).epsilon(0.1));
  CHECK(fixture.find(*fixture.nodes[1], 0)->long_streams == 0);
}

TEST_CASE("news fit into a datagram, come once a second, and tell every engine in turn") {
  ExchangeFixture fixture(100, 2);
  for (int i = 0; i != 100; ++i) {
    fixture.gaps(*fixture.nodes[0], i, kToken);
  }
  for (int second = 0; second != 6; ++second) {
    fixture.time.run_until(fixture.time.now() + seconds(1));
    REQUIRE(fixture.nodes[0]->told.size() <= 1);
    for (const ProfileNews& news : fixture.nodes[0]->told) {
      CHECK(wire::encode(news).size() + 1 <= ProfileExchange::kMostBytes);
    }
    fixture.advance(Duration::zero());
  }
  CHECK(fixture.nodes[1]->table.size() == 100);
  CHECK(fixture.nodes[0]->exchange.statistics().told <= 6);
}

TEST_CASE("news that come twice or by two relays count once") {
  ExchangeFixture fixture(2, 4);
  fixture.gaps(*fixture.nodes[0], 0, kToken);
  fixture.time.run_until(fixture.time.now() + seconds(1));
  REQUIRE(fixture.nodes[0]->told.size() == 1);
  const ProfileNews news = fixture.nodes[0]->told[0];
  for (int relay = 1; relay != 3; ++relay) {
    fixture.nodes[relay]->exchange.take_to_relay(news);
  }
  fixture.time.run_until(fixture.time.now() + seconds(1));
  for (int relay = 1; relay != 3; ++relay) {
    REQUIRE(fixture.nodes[relay]->relayed.size() == 1);
    fixture.nodes[3]->exchange.take(fixture.nodes[relay]->relayed[0]);
  }
  CHECK(fixture.output(*fixture.nodes[3], 0) == doctest::Approx(1).epsilon(0.01));
  CHECK(fixture.nodes[3]->exchange.statistics().taken == 1);
  CHECK(fixture.nodes[3]->exchange.statistics().repeated == 1);
  // A relay may hear its own zone's news again; its own are never taken.
  fixture.nodes[0]->exchange.take(fixture.nodes[1]->relayed[0]);
  CHECK(fixture.nodes[0]->exchange.statistics().taken == 0);
}

TEST_CASE("a relay passes full datagrams on at once, and none that is too long") {
  ExchangeFixture fixture(60, 2);
  Node& relay = *fixture.nodes[0];
  for (int i = 0; i != 12; ++i) {
    ProfileNews news{
        .node = NodeId("m" + std::to_string(i)), .life = 1, .sequence = 1, .engines = {}};
    for (int engine = 0; engine != 5; ++engine) {
      news.engines.push_back({.engine = engine_id(engine + i), .output = {kToken, 1}});
    }
    relay.exchange.take_to_relay(news);
  }
  fixture.time.run_until(fixture.time.now() + seconds(1));
  std::size_t passed_on = 0;
  for (const RelayedProfileNews& relayed : relay.relayed) {
    CHECK(wire::encode(relayed).size() + 1 <= ProfileExchange::kMostBytes);
    passed_on += relayed.news.size();
  }
  CHECK(passed_on == 12);
  CHECK(relay.relayed.size() <= 3);
}

TEST_CASE("a node that starts is told all that another knows") {
  ExchangeFixture fixture(60, 2);
  for (int i = 0; i != 60; ++i) {
    for (int sample = 0; sample != 10; ++sample) {
      fixture.gaps(*fixture.nodes[0], i, i % 4 == 0 ? 2 * kToken : kToken);
    }
  }
  std::vector<ProfileNews> answers;
  fixture.nodes[0]->exchange.tell_all([&](const ProfileNews& news) { answers.push_back(news); });
  CHECK(answers.size() > 1);
  for (const ProfileNews& news : answers) {
    CHECK(wire::encode(news).size() + 1 <= ProfileExchange::kMostBytes);
    fixture.nodes[1]->exchange.take(news);
  }
  CHECK(fixture.output(*fixture.nodes[1], 0) == doctest::Approx(2).epsilon(0.15));
  CHECK(fixture.output(*fixture.nodes[1], 59) == doctest::Approx(1).epsilon(0.02));
}

TEST_CASE("nonsense that a node reports is ignored, also before anything else is known") {
  ExchangeFixture fixture(8, 1);
  Node& node = *fixture.nodes[0];
  std::uint64_t sequence = 0;
  const auto tell = [&](int engine, Duration token, std::uint32_t streams = 0) {
    node.exchange.take(ProfileNews{.node = NodeId("liar"),
                                   .life = 1,
                                   .sequence = ++sequence,
                                   .engines = {{.engine = engine_id(engine),
                                                .output = {token, 1'000'000'000},
                                                .long_streams = streams}}});
  };
  for (const Duration token : {Duration::zero(), -kToken, Duration::min(), Duration::max()}) {
    tell(0, token);
  }
  CHECK_FALSE(fixture.find(node, 0));
  for (int engine = 0; engine != 4; ++engine) {
    tell(engine, kToken);
  }
  fixture.time.run_until(fixture.time.now() + seconds(1));
  tell(1, kToken);
  tell(5, 101 * kToken);
  tell(5, kToken / 101);
  tell(6, Duration::zero(), 4'000'000'000U);
  CHECK(fixture.output(node, 5) == doctest::Approx(1).epsilon(0.01));
  CHECK(fixture.find(node, 6)->long_streams == 0);
  // An engine that is not registered is not remembered: nothing would ever forget it.
  const std::size_t before = node.table.size();
  tell(99, kToken);
  CHECK(node.table.size() == before);
}
