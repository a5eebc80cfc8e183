// A node may have as little as 120 MB of memory. This test guards the bound on the memory used for
// engine profiles: one additional field per engine can exceed it without failing any other test.
// Sanitizers replace the queried allocator; with them the test only exercises the code.
#include <doctest/doctest.h>
#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <memory>
#include <string>

#include "engine_profiles/profile_exchange.h"
#include "simulation/virtual_time.h"
#include "tests/engine_fleet.h"

using namespace ochrespring;
using namespace ochrespring::engine_profiles;
using namespace ochrespring::engine_profiles::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int kEngines = 10'000;
constexpr int kNodes = 66;
constexpr int kEnginesPerReport = 25;
constexpr std::size_t kMaxTableBytes = 4'000'000;

std::size_t bytes_in_use() {
  const auto info = mallinfo2();
  return info.uordblks + info.hblkhd;  // `hblkhd` counts large blocks.
}

}  // namespace

TEST_CASE("the profiles of 10,000 engines in a fleet of 66 nodes use less than 4 MB") {
  const gateway::FleetState fleet = make_fleet(kEngines);
  simulation::VirtualTime time;
  SeededRandom random(1);
  logging::NullLogger logger;
  const std::size_t before = bytes_in_use();
  auto table = std::make_unique<EngineProfileTable>(fleet, logger);
  ProfileExchange exchange({time, time, random, *table}, NodeId("n0"),
                           {.broadcast = [](const auto&) {}, .send_to_zone = [](const auto&) {}});
  exchange.start();
  // This node uses every engine itself, and all other nodes report long streams at the maximum
  // rate.
  for (int i = 0; i != kEngines; ++i) {
    table->note_gaps({.engine = engine_id(i), .gaps = 8, .took = milliseconds(324)}, time.now());
    table->note_pace(engine_id(i), 100, time.now());
    table->begin_long_stream(engine_id(i), time.now());
  }
  int next = 0;
  std::size_t peak_bytes = 0;
  for (int second = 1; second != 20; ++second) {
    for (int node = 1; node != kNodes; ++node) {
      ProfileReport report{.node = NodeId("n" + std::to_string(node)),
                           .incarnation = 1,
                           .sequence = static_cast<std::uint64_t>(second),
                           .engines = {}};
      for (int i = 0; i != kEnginesPerReport; ++i) {
        report.engines.push_back({.engine = engine_id(next++ % kEngines),
                                  .output = {Duration(540'000), 3},
                                  .prompt = {Duration(2'000), 3},
                                  .long_streams = 2});
      }
      exchange.receive_for_relay(report);
    }
    time.run_until(time.now() + seconds(1));
    peak_bytes = std::max(peak_bytes, bytes_in_use() - before);
  }
  CHECK(table->size() == kEngines);
  MESSAGE("bytes: " << peak_bytes);
  CHECK(peak_bytes < kMaxTableBytes);
}
