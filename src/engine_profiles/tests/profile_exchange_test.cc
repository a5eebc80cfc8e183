#include "engine_profiles/profile_exchange.h"

#include <doctest/doctest.h>

#include <chrono>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "simulation/virtual_time.h"
#include "tests/engine_fleet.h"
#include "wire/codec.h"

using namespace ochrespring;
using namespace ochrespring::engine_profiles;
using namespace ochrespring::engine_profiles::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// The exchange of one node; its messages are collected in `sent` and `relayed`.
struct Node {
  Node(simulation::VirtualTime& time, const gateway::FleetState& fleet, const std::string& name,
       std::uint64_t seed)
      : random(seed),
        table(fleet, logger),
        exchange({time, time, random, table}, NodeId(name),
                 {.broadcast = [this](const ProfileReport& report) { sent.push_back(report); },
                  .send_to_zone =
                      [this](const RelayedProfileReports& report) { relayed.push_back(report); }}) {
    exchange.start();
  }

  SeededRandom random;
  logging::NullLogger logger;
  EngineProfileTable table;
  ProfileExchange exchange;
  std::vector<ProfileReport> sent;
  std::vector<RelayedProfileReports> relayed;
};

struct ExchangeFixture {
  simulation::VirtualTime time;
  gateway::FleetState fleet;
  std::vector<std::unique_ptr<Node>> nodes;

  ExchangeFixture(int engines, int node_count) : fleet(make_fleet(engines)) {
    for (int i = 0; i != node_count; ++i) {
      nodes.push_back(std::make_unique<Node>(time, fleet, "n" + std::to_string(i), i + 1));
    }
  }
  void observe_gaps(Node& node, int engine, Duration token) {
    node.table.note_gaps(
        {.engine = engine_id(engine), .gaps = 8, .took = 8 * kTokensPerEvent * token}, time.now());
  }
  /// Advances time; if `delivered`, every other node receives what each node has sent.
  void advance(Duration span, bool delivered = true) {
    time.run_until(time.now() + span);
    for (const auto& from : nodes) {
      for (const ProfileReport& report : std::exchange(from->sent, {})) {
        for (const auto& to : nodes) {
          if (delivered && to != from) {
            to->exchange.receive(report);
          }
        }
      }
    }
  }
  std::optional<gateway::EngineProfile> find(const Node& node, int engine) const {
    return node.table.find(*fleet.find(engine_id(engine)), time.now());
  }
  /// Returns multiples of kOutputTokenTime; 0 if there is no profile.
  double relative_token_time(const Node& node, int engine) const {
    const auto profile = find(node, engine);
    return profile ? to_seconds(profile->output_token) / to_seconds(kOutputTokenTime) : 0;
  }
};

}  // namespace

TEST_CASE("a node learns the speed of engines that only others use and sums their long streams") {
  ExchangeFixture fixture(4, 3);
  for (int round = 0; round != 10; ++round) {
    for (int i = 0; i != 10; ++i) {
      fixture.observe_gaps(*fixture.nodes[0], 0, 2 * kOutputTokenTime);
      fixture.observe_gaps(*fixture.nodes[1], 1, kOutputTokenTime);
      fixture.observe_gaps(*fixture.nodes[1], 2, kOutputTokenTime);
    }
    fixture.advance(milliseconds(500));
  }
  CHECK(fixture.relative_token_time(*fixture.nodes[2], 0) == doctest::Approx(2).epsilon(0.1));
  CHECK(fixture.relative_token_time(*fixture.nodes[2], 1) == doctest::Approx(1).epsilon(0.02));
  CHECK(fixture.relative_token_time(*fixture.nodes[2], 3) == doctest::Approx(1).epsilon(0.02));

  fixture.nodes[0]->table.begin_long_stream(engine_id(3), fixture.time.now());
  fixture.nodes[1]->table.begin_long_stream(engine_id(3), fixture.time.now());
  // Running long streams stay known without any further change.
  for (int second = 0; second != 12; ++second) {
    fixture.advance(seconds(1));
  }
  CHECK(fixture.find(*fixture.nodes[2], 3)->long_streams == 2);
  CHECK(fixture.find(*fixture.nodes[0], 3)->long_streams == 2);
  fixture.nodes[0]->table.end_long_stream(engine_id(3), fixture.time.now());
  fixture.advance(seconds(1));
  CHECK(fixture.find(*fixture.nodes[2], 3)->long_streams == 1);
}

TEST_CASE("an isolated node keeps its estimates at first and later falls back to the median") {
  ExchangeFixture fixture(4, 2);
  for (int round = 0; round != 10; ++round) {
    for (int i = 0; i != 10; ++i) {
      fixture.observe_gaps(*fixture.nodes[0], 0, 2 * kOutputTokenTime);
      fixture.observe_gaps(*fixture.nodes[0], 1, kOutputTokenTime);
      fixture.observe_gaps(*fixture.nodes[0], 2, kOutputTokenTime);
    }
    fixture.nodes[0]->table.begin_long_stream(engine_id(0), fixture.time.now());
    fixture.advance(milliseconds(500));
  }
  fixture.advance(seconds(2), false);
  CHECK(fixture.relative_token_time(*fixture.nodes[1], 0) > 1.7);
  fixture.advance(seconds(60), false);
  CHECK(fixture.relative_token_time(*fixture.nodes[1], 0) == doctest::Approx(1).epsilon(0.1));
  CHECK(fixture.find(*fixture.nodes[1], 0)->long_streams == 0);
}

TEST_CASE("reports fit into a datagram, are sent once a second and cover every engine in turn") {
  ExchangeFixture fixture(100, 2);
  for (int i = 0; i != 100; ++i) {
    fixture.observe_gaps(*fixture.nodes[0], i, kOutputTokenTime);
  }
  for (int second = 0; second != 6; ++second) {
    fixture.time.run_until(fixture.time.now() + seconds(1));
    REQUIRE(fixture.nodes[0]->sent.size() <= 1);
    for (const ProfileReport& report : fixture.nodes[0]->sent) {
      CHECK(wire::encode(report).size() + 1 <= ProfileExchange::kMaxMessageBytes);
    }
    fixture.advance(Duration::zero());
  }
  CHECK(fixture.nodes[1]->table.size() == 100);
  CHECK(fixture.nodes[0]->exchange.statistics().reports_sent <= 6);
}

TEST_CASE("a report received twice or by two relays counts once") {
  ExchangeFixture fixture(2, 4);
  fixture.observe_gaps(*fixture.nodes[0], 0, kOutputTokenTime);
  fixture.time.run_until(fixture.time.now() + seconds(1));
  REQUIRE(fixture.nodes[0]->sent.size() == 1);
  const ProfileReport report = fixture.nodes[0]->sent[0];
  for (int relay = 1; relay != 3; ++relay) {
    fixture.nodes[relay]->exchange.receive_for_relay(report);
  }
  fixture.time.run_until(fixture.time.now() + seconds(1));
  for (int relay = 1; relay != 3; ++relay) {
    REQUIRE(fixture.nodes[relay]->relayed.size() == 1);
    fixture.nodes[3]->exchange.receive(fixture.nodes[relay]->relayed[0]);
  }
  CHECK(fixture.relative_token_time(*fixture.nodes[3], 0) == doctest::Approx(1).epsilon(0.01));
  CHECK(fixture.nodes[3]->exchange.statistics().reports_received == 1);
  CHECK(fixture.nodes[3]->exchange.statistics().duplicates == 1);
  // A node ignores its own report when a relay sends it back.
  fixture.nodes[0]->exchange.receive(fixture.nodes[1]->relayed[0]);
  CHECK(fixture.nodes[0]->exchange.statistics().reports_received == 0);
}

TEST_CASE("a relay combines reports into datagrams that do not exceed the maximum size") {
  ExchangeFixture fixture(60, 2);
  Node& relay = *fixture.nodes[0];
  for (int i = 0; i != 12; ++i) {
    ProfileReport report{
        .node = NodeId("m" + std::to_string(i)), .incarnation = 1, .sequence = 1, .engines = {}};
    for (int engine = 0; engine != 5; ++engine) {
      report.engines.push_back({.engine = engine_id(engine + i), .output = {kOutputTokenTime, 1}});
    }
    relay.exchange.receive_for_relay(report);
  }
  fixture.time.run_until(fixture.time.now() + seconds(1));
  std::size_t forwarded = 0;
  for (const RelayedProfileReports& relayed : relay.relayed) {
    CHECK(wire::encode(relayed).size() + 1 <= ProfileExchange::kMaxMessageBytes);
    forwarded += relayed.reports.size();
  }
  CHECK(forwarded == 12);
  CHECK(relay.relayed.size() <= 3);
}

TEST_CASE("a node that starts receives everything another node knows") {
  ExchangeFixture fixture(60, 2);
  for (int i = 0; i != 60; ++i) {
    for (int sample = 0; sample != 10; ++sample) {
      fixture.observe_gaps(*fixture.nodes[0], i,
                           i % 4 == 0 ? 2 * kOutputTokenTime : kOutputTokenTime);
    }
  }
  std::vector<ProfileReport> messages;
  fixture.nodes[0]->exchange.send_all(
      [&](const ProfileReport& report) { messages.push_back(report); });
  CHECK(messages.size() > 1);
  for (const ProfileReport& report : messages) {
    CHECK(wire::encode(report).size() + 1 <= ProfileExchange::kMaxMessageBytes);
    fixture.nodes[1]->exchange.receive(report);
  }
  CHECK(fixture.relative_token_time(*fixture.nodes[1], 0) == doctest::Approx(2).epsilon(0.15));
  CHECK(fixture.relative_token_time(*fixture.nodes[1], 59) == doctest::Approx(1).epsilon(0.02));
}

TEST_CASE("implausible reports are ignored, also before the first valid one") {
  ExchangeFixture fixture(8, 1);
  Node& node = *fixture.nodes[0];
  std::uint64_t sequence = 0;
  const auto report_speed = [&](int engine, Duration token, std::uint32_t streams = 0) {
    node.exchange.receive(ProfileReport{.node = NodeId("faulty"),
                                        .incarnation = 1,
                                        .sequence = ++sequence,
                                        .engines = {{.engine = engine_id(engine),
                                                     .output = {token, 1'000'000'000},
                                                     .long_streams = streams}}});
  };
  for (const Duration token :
       {Duration::zero(), -kOutputTokenTime, Duration::min(), Duration::max()}) {
    report_speed(0, token);
  }
  CHECK_FALSE(fixture.find(node, 0));
  for (int engine = 0; engine != 4; ++engine) {
    report_speed(engine, kOutputTokenTime);
  }
  fixture.time.run_until(fixture.time.now() + seconds(1));
  report_speed(1, kOutputTokenTime);
  report_speed(5, 101 * kOutputTokenTime);
  report_speed(5, kOutputTokenTime / 101);
  report_speed(6, Duration::zero(), 4'000'000'000U);
  CHECK(fixture.relative_token_time(node, 5) == doctest::Approx(1).epsilon(0.01));
  CHECK(fixture.find(node, 6)->long_streams == 0);
  // An engine that is not registered is not stored: nothing would ever remove it.
  const std::size_t before = node.table.size();
  report_speed(99, kOutputTokenTime);
  CHECK(node.table.size() == before);
}
