// Which breaks of connections are taken for the end of a server.
#include "quarantine/end_watch.h"

#include <doctest/doctest.h>

#include <chrono>
#include <deque>
#include <string>
#include <vector>

#include "simulation/virtual_time.h"

using namespace ochrespring;
using namespace ochrespring::quarantine;
using namespace std::chrono_literals;

namespace {

const gateway::BackendId kServer("i-1");

struct WatchWorld {
  WatchWorld() {
    fleet.put(make_server(false));
    time.run_until(time.now() + 1s);
  }
  static gateway::Backend make_server(bool draining) {
    gateway::Backend server;
    server.id = kServer;
    server.address = Endpoint("s:1");
    server.draining = draining;
    return server;
  }
  void note_break(gateway::AttemptFailureKind kind = gateway::AttemptFailureKind::kClosed,
                  std::uint64_t request = 1) {
    watch.note_break({{0, request}, ServiceName("s"), kServer, time.now() - 100ms, kind});
  }
  void advance(Duration span) { time.run_until(time.now() + span); }
  void answer_probe(http::ProbeResult result) {
    REQUIRE_FALSE(probes.empty());
    probes.front()(result);
    probes.pop_front();
  }

  simulation::VirtualTime time;
  gateway::FleetState fleet;
  std::deque<std::function<void(http::ProbeResult)>> probes;
  std::vector<std::size_t> ended;  ///< Requests of each end.
  EndWatch watch{time, time, fleet,
                 [this](const Endpoint& address, auto done) {
                   CHECK(address == Endpoint("s:1"));
                   probes.push_back(std::move(done));
                 },
                 [this](const gateway::BackendId& server, const auto& attempts) {
                   CHECK(server == kServer);
                   ended.push_back(attempts.size());
                 }};
};

}  // namespace

TEST_CASE(
    "a server that refuses connections has ended, under all requests whose breaks were seen") {
  WatchWorld world;
  world.note_break(gateway::AttemptFailureKind::kClosed, 1);
  world.note_break(gateway::AttemptFailureKind::kClosed, 2);
  CHECK(world.probes.empty());
  CHECK(world.watch.may_have_ended({0, 1}) == CrashLedger::Servers{kServer});
  world.advance(50ms);
  REQUIRE(world.probes.size() == 1);
  world.answer_probe(http::ProbeResult::kRefused);
  CHECK(world.ended == std::vector<std::size_t>{2});
  CHECK(world.watch.idle());
  // One more that broke with the others, and one that was begun after the end.
  world.note_break(gateway::AttemptFailureKind::kClosed, 3);
  world.advance(1s);
  world.note_break(gateway::AttemptFailureKind::kClosed, 4);
  CHECK(world.ended == std::vector<std::size_t>{2, 1});
  CHECK(world.probes.empty());
}

TEST_CASE("a server that accepts a connection lives") {
  WatchWorld world;
  world.note_break();
  world.advance(50ms);
  world.answer_probe(http::ProbeResult::kAccepted);
  CHECK(world.ended.empty());
  CHECK(world.watch.idle());
  // For a while silence is not worth another probe, a closed connection is.
  world.note_break(gateway::AttemptFailureKind::kUnresponsive);
  CHECK(world.watch.idle());
  world.note_break(gateway::AttemptFailureKind::kClosed);
  CHECK_FALSE(world.watch.idle());
}

TEST_CASE("without an answer the view decides") {
  WatchWorld world;
  world.note_break(gateway::AttemptFailureKind::kUnresponsive);
  CHECK(world.watch.may_have_ended({0, 1}).empty());
  world.advance(50ms);
  world.answer_probe(http::ProbeResult::kNoAnswer);
  CHECK(world.ended.empty());
  SUBCASE("its entry goes") {
    world.advance(4s);
    world.watch.note_gone(WatchWorld::make_server(false));
    CHECK(world.ended == std::vector<std::size_t>{1});
  }
  SUBCASE("it had said that it leaves") {
    world.watch.note_gone(WatchWorld::make_server(true));
    CHECK(world.ended.empty());
  }
  SUBCASE("nothing happens") {
    world.advance(11s);
    CHECK(world.watch.idle());
    world.watch.note_gone(WatchWorld::make_server(false));
    CHECK(world.ended.empty());
  }
}

TEST_CASE("servers that leave as planned, or have left the view, are not watched") {
  WatchWorld world;
  world.fleet.put(WatchWorld::make_server(true));
  world.note_break();
  CHECK(world.watch.idle());
  world.fleet.remove(kServer);
  world.note_break();
  CHECK(world.watch.idle());
}
