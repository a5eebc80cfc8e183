// A server that asks a node to back off, or says that it leaves, gets nothing more from it.
#include <doctest/doctest.h>

#include <algorithm>
#include <cstddef>
#include <string>
#include <vector>

#include "gateway_node/tests/backoff_checker.h"
#include "gateway_node/tests/crash_fleet.h"

using namespace ochrespring;
using namespace ochrespring::gateway_node::testing;
using namespace std::chrono_literals;

namespace {

constexpr gateway::EngineRole kRoles[] = {gateway::EngineRole::kNone, gateway::EngineRole::kDecode,
                                          gateway::EngineRole::kPrefill};

/// The server turns requests away for `span`, each for so many whole seconds.
void shed(CrashFleet& fleet, PlayedServer& server, std::chrono::seconds backoff, double chance,
          Duration span) {
  server.shedding = PlayedServer::Shedding{
      .chance = chance, .retry_after = std::to_string(backoff.count()), .span = backoff};
  fleet.time.schedule_after(span, [&server] { server.shedding.reset(); });
}

void check_kept(const CrashFleet& fleet) {
  const BackoffCount count = count_backoffs(fleet);
  CAPTURE(count.asked);
  CAPTURE(count.worst);
  CHECK(count.asked > 0);
  CHECK(count.broken == 0);
}

/// Requests to the ordinary service that may be sent twice; counts how many were answered 503.
void send_ordinary(CrashFleet& fleet, double per_second, Duration span, std::size_t& refused) {
  if (span <= Duration::zero()) {
    return;
  }
  const bool repeatable = fleet.random.chance(0.5);
  fleet.send(fleet.random.below(fleet.nodes.size()), repeatable ? "/idempotent/x" : "/once-twice/x",
             "ordinary", [&refused](int status) { refused += status == 503 ? 1 : 0; });
  const Duration wait = from_seconds(fleet.random.exponential(1 / per_second));
  fleet.time.schedule_after(wait, [&fleet, per_second, span, wait, &refused] {
    send_ordinary(fleet, per_second, span - wait, refused);
  });
}

std::size_t arrivals_since(const CrashFleet& fleet, const PlayedServer& server,
                           MonotonicTime since) {
  return static_cast<std::size_t>(std::count_if(
      fleet.arrivals.begin(), fleet.arrivals.end(), [&](const CrashFleet::Arrival& arrival) {
        return arrival.server == server.backend.address && arrival.at >= since;
      }));
}

std::size_t nodes_that_know_leaving(const CrashFleet& fleet, const PlayedServer& server) {
  return static_cast<std::size_t>(
      std::count_if(fleet.nodes.begin(), fleet.nodes.end(),
                    [&](const auto& node) { return node->view.is_leaving(server.backend.id); }));
}

}  // namespace

TEST_CASE("servers that ask to back off get nothing more from the nodes that they asked") {
  for (const gateway::EngineRole role : kRoles) {
    CAPTURE(static_cast<int>(role));
    CrashFleet fleet({});
    fleet.traffic(60, 20s);
    fleet.advance(3s);
    const std::vector<PlayedServer*> servers = fleet.servers_of(role);
    shed(fleet, *servers[0], 3s, 1, 12s);
    shed(fleet, *servers[1], 2s, 1, 12s);
    fleet.advance(17s);
    check_kept(fleet);
  }
}

TEST_CASE("where all servers of a service ask to back off none is taken all the same") {
  for (const gateway::EngineRole role : kRoles) {
    for (const double chance : {0.3, 1.0}) {
      CAPTURE(static_cast<int>(role));
      CAPTURE(chance);
      CrashFleet fleet({});
      fleet.traffic(60, 20s);
      fleet.advance(3s);
      for (PlayedServer* server : fleet.servers_of(role)) {
        shed(fleet, *server, 2s, chance, 12s);
      }
      fleet.advance(17s);
      check_kept(fleet);
    }
  }
}

TEST_CASE("a server that says in its answers that it leaves gets nothing new") {
  for (const gateway::EngineRole role : kRoles) {
    for (const bool all : {false, true}) {
      CAPTURE(static_cast<int>(role));
      CAPTURE(all);
      CrashFleet fleet({});
      fleet.traffic(60, 15s);
      fleet.advance(3s);
      for (PlayedServer* server : fleet.servers_of(role)) {
        server->says_leaving = all || server == fleet.servers_of(role)[0];
      }
      fleet.advance(12s);
      CHECK(fleet.told_leavings.size() > 0);
      CHECK(count_late_after_leaving(fleet) == 0);
    }
  }
}

TEST_CASE("no caller is refused beside servers that have room") {
  CrashFleet fleet({});
  std::size_t refused = 0;
  send_ordinary(fleet, 40, 18s, refused);
  fleet.advance(3s);
  shed(fleet, *fleet.servers_of(gateway::EngineRole::kNone)[0], 3s, 1, 12s);
  fleet.advance(16s);
  CHECK(refused == 0);
}

TEST_CASE("a caller is told when the first of the servers takes requests again") {
  CrashFleet fleet({});
  fleet.traffic(60, 8s);
  fleet.advance(3s);
  for (PlayedServer* server : fleet.servers_of(gateway::EngineRole::kNone)) {
    shed(fleet, *server, 4s, 1, 12s);
  }
  fleet.advance(1500ms);
  for (std::size_t node = 0; node != fleet.nodes.size(); ++node) {
    CAPTURE(node);
    Duration least = Duration::max();
    for (const CrashFleet::Told& told : fleet.told_backoffs) {
      if (told.node == node) {
        least = std::min(least, told.at + told.span - fleet.time.now());
      }
    }
    REQUIRE(least != Duration::max());
    const auto caller = fleet.ask(node, "/idempotent/x", "late");
    fleet.advance(100ms);
    REQUIRE(caller->finished);
    CHECK(caller->head.status == 503);
    CHECK(std::stod(caller->header("retry-after")) >= to_seconds(least) - 0.1);
  }
}

TEST_CASE("a pause outlives registrations that flap, new configurations and nodes that wake") {
  for (const gateway::EngineRole role : kRoles) {
    CAPTURE(static_cast<int>(role));
    CrashFleet fleet({});
    fleet.traffic(60, 20s);
    fleet.advance(3s);
    PlayedServer& server = *fleet.servers_of(role)[0];
    const std::string key = "backends/" + server.backend.id.value();
    shed(fleet, server, 6s, 1, 12s);
    fleet.time.schedule_after(1s, [&] { fleet.state.remove(key); });
    fleet.time.schedule_after(2s, [&] { fleet.write(key, wire::encode(server.backend)); });
    fleet.time.schedule_after(3s, [&] { fleet.write("config", "2"); });
    fleet.time.schedule_after(4s, [&] { fleet.suspend(1, 1s); });
    fleet.time.schedule_after(4s, [&] { fleet.state.down = true; });
    fleet.time.schedule_after(7s, [&] { fleet.state.down = false; });
    fleet.advance(17s);
    check_kept(fleet);
  }
}

TEST_CASE("requests that wait for a connection are not sent into a pause") {
  CrashFleet fleet({});
  fleet.traffic(60, 15s);
  fleet.advance(3s);
  for (PlayedServer* server : fleet.servers_of(gateway::EngineRole::kNone)) {
    server->connect_delay = 700ms;
    shed(fleet, *server, 3s, 1, 10s);
  }
  fleet.advance(13s);
  check_kept(fleet);
}

TEST_CASE("a server that starts again under its name has asked for nothing and does not leave") {
  CrashFleet fleet({.reborn = true});
  fleet.traffic(60, 25s);
  fleet.advance(3s);
  PlayedServer& server = *fleet.servers_of(gateway::EngineRole::kNone)[0];
  server.says_leaving = true;
  shed(fleet, server, 60s, 1, 6s);
  fleet.advance(6s);
  server.says_leaving = false;
  fleet.crash(server);
  fleet.advance(4s);
  const MonotonicTime since = fleet.time.now();
  fleet.advance(5s);
  CHECK(arrivals_since(fleet, server, since) > 5);
}

TEST_CASE("twenty nodes with relays that lose a tenth keep to pauses and to leaving") {
  CrashFleet fleet({.nodes = 20, .loss = 0.1, .relay_from_nodes = 12});
  fleet.traffic(150, 20s);
  fleet.advance(3s);
  for (const gateway::EngineRole role : kRoles) {
    for (PlayedServer* server : fleet.servers_of(role)) {
      shed(fleet, *server, 2s, 0.3, 8s);
    }
  }
  fleet.time.schedule_after(8s, [&] {
    for (const gateway::EngineRole role : kRoles) {
      fleet.servers_of(role)[0]->says_leaving = true;
    }
  });
  fleet.advance(17s);
  check_kept(fleet);
  CHECK(count_late_after_leaving(fleet) == 0);
}

TEST_CASE("all nodes learn that a server leaves from the one that it told, without the store") {
  CrashFleet fleet({});
  fleet.advance(1s);
  fleet.state.down = true;
  PlayedServer& server = *fleet.servers_of(gateway::EngineRole::kNone)[0];
  server.says_leaving = true;
  for (int i = 0; i != 12; ++i) {
    fleet.send(2, "/idempotent/x", "asked");
  }
  fleet.advance(1s);
  REQUIRE(fleet.told_leavings.size() == 1);
  CHECK(nodes_that_know_leaving(fleet, server) == fleet.nodes.size());
  fleet.state.down = false;
  fleet.advance(2s);
  fleet.restart(4);
  fleet.advance(2s);
  CHECK(nodes_that_know_leaving(fleet, server) == fleet.nodes.size());
}

TEST_CASE("no caller is refused beside servers that have room, whether a time is named or not") {
  CrashFleet fleet({});
  std::size_t refused = 0;
  send_ordinary(fleet, 40, 18s, refused);
  fleet.advance(3s);
  PlayedServer& server = *fleet.servers_of(gateway::EngineRole::kNone)[0];
  server.shedding = PlayedServer::Shedding{.chance = 1, .retry_after = "", .span = {}};
  const MonotonicTime since = fleet.time.now();
  fleet.advance(12s);
  MESSAGE("turned away " << arrivals_since(fleet, server, since));
  CHECK(refused == 0);
}

TEST_CASE(
    "once all servers take requests again nearly all callers are served, and few turned away") {
  for (const std::size_t nodes : {6U, 20U, 100U}) {
    CrashFleet fleet({.nodes = nodes});
    std::size_t refused = 0;
    send_ordinary(fleet, 60, 20s, refused);
    fleet.advance(3s);
    for (PlayedServer* server : fleet.servers_of(gateway::EngineRole::kNone)) {
      shed(fleet, *server, 3s, 1, 4s);
    }
    fleet.advance(7s);
    const std::size_t in_pause = refused;
    const std::size_t asked = fleet.told_backoffs.size();
    fleet.advance(5s);
    MESSAGE("nodes " << nodes << " asked " << asked << " refused " << in_pause
                     << ", in the 5 s after " << refused - in_pause);
    CHECK(fleet.told_backoffs.size() == asked);
    CHECK(refused - in_pause <= 30);
    check_kept(fleet);
  }
}

TEST_CASE("a pause that a new life asks for before it is registered is kept to") {
  for (std::uint64_t seed = 1; seed != 9; ++seed) {
    CAPTURE(seed);
    CrashFleet fleet({.seed = seed, .reborn = true});
    fleet.traffic(120, 15s);
    fleet.advance(3s);
    PlayedServer& server = *fleet.servers_of(gateway::EngineRole::kNone)[0];
    fleet.crash(server);
    shed(fleet, server, 6s, 1, 2500ms);
    fleet.advance(10500ms);
    check_kept(fleet);
  }
}
