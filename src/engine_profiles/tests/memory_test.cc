// A node has as little as 120 MB: what it keeps of engines has a bound, which one more field for
// each engine would break without any other test noticing.
#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <memory>
#include <string>

#include "engine_profiles/profile_exchange.h"
#include "simulation/virtual_time.h"
#include "tests/counting_new.h"

using namespace ochrespring;
using namespace ochrespring::engine_profiles;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int kEngines = 10'000;
constexpr int kNodes = 66;
constexpr int kEnginesOfNews = 25;
constexpr std::size_t kMostBytes = 4'000'000;

gateway::BackendId engine_id(int i) {
  return gateway::BackendId("i-7f3a" + std::to_string(10'000 + i) + "@1787834510949");
}

gateway::FleetState make_fleet() {
  gateway::FleetState fleet;
  gateway::Service service{.name = ServiceName("chat")};
  service.engine = gateway::EngineShape{.slots = 6, .tokens_per_event = 75};
  gateway::Configuration configuration;
  configuration.version = gateway::ConfigurationVersion(1);
  configuration.services.push_back(service);
  fleet.apply(configuration);
  for (int i = 0; i != kEngines; ++i) {
    gateway::Backend engine;
    engine.id = engine_id(i);
    engine.service = ServiceName("chat");
    engine.role = gateway::EngineRole::kDecode;
    fleet.put(engine);
  }
  return fleet;
}

}  // namespace

TEST_CASE("what a node of 66 keeps of 10,000 engines stays below 4 MB") {
  const gateway::FleetState fleet = make_fleet();
  simulation::VirtualTime time;
  SeededRandom random(1);
  logging::NullLogger logger;
  const std::size_t before = testing::bytes_in_use();
  auto table = std::make_unique<EngineProfileTable>(fleet, logger);
  ProfileExchange exchange({time, time, random, *table}, NodeId("n0"),
                           {.tell_all = [](const auto&) {}, .tell_zone = [](const auto&) {}});
  exchange.start();
  // This node uses every engine itself, and all others tell of long streams as fast as they may.
  for (int i = 0; i != kEngines; ++i) {
    table->note_gaps({.engine = engine_id(i), .gaps = 8, .took = milliseconds(324)}, time.now());
    table->note_pace(engine_id(i), 100, time.now());
    table->begin_long_stream(engine_id(i), time.now());
  }
  int next = 0;
  std::size_t most = 0;
  for (int second = 1; second != 20; ++second) {
    for (int node = 1; node != kNodes; ++node) {
      ProfileNews news{.node = NodeId("n" + std::to_string(node)),
                       .life = 1,
                       .sequence = static_cast<std::uint64_t>(second),
                       .engines = {}};
      for (int i = 0; i != kEnginesOfNews; ++i) {
        news.engines.push_back({.engine = engine_id(next++ % kEngines),
                                .output = {Duration(540'000), 3},
                                .prompt = {Duration(2'000), 3},
                                .long_streams = 2});
      }
      exchange.take_to_relay(news);
    }
    time.run_until(time.now() + seconds(1));
    most = std::max(most, testing::bytes_in_use() - before);
  }
  CHECK(table->size() == kEngines);
  MESSAGE("bytes: " << most);
  CHECK(most < kMostBytes);
}
