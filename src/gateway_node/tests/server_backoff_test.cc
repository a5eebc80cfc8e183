// Back ends that ask a node to back off, or announce that they leave, get no more requests from it.
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

/// The back end rejects requests for `span`, each with a back-off of whole seconds.
void shed(CrashFleet& fleet, FakeBackendServer& server, std::chrono::seconds backoff, double chance,
          Duration span) {
  server.shedding = FakeBackendServer::Shedding{
      .chance = chance, .retry_after = std::to_string(backoff.count()), .span = backoff};
  fleet.time.schedule_after(span, [&server] { server.shedding.reset(); });
}

void check_backoffs_respected(const CrashFleet& fleet) {
  const BackoffCount count = count_backoffs(fleet);
  CAPTURE(count.requested);
  CAPTURE(count.max_requests);
  CHECK(count.requested > 0);
  CHECK(count.violated == 0);
}

/// Sends idempotent and non-idempotent requests, about half of each, to the service without
/// engines; counts the answers 503 in `refused`.
void send_ordinary(CrashFleet& fleet, double per_second, Duration span, std::size_t& refused) {
  if (span <= Duration::zero()) {
    return;
  }
  const bool idempotent = fleet.random.chance(0.5);
  fleet.send(fleet.random.below(fleet.nodes.size()), idempotent ? "/idempotent/x" : "/once-twice/x",
             "ordinary", [&refused](int status) { refused += status == 503 ? 1 : 0; });
  const Duration wait = from_seconds(fleet.random.exponential(1 / per_second));
  fleet.time.schedule_after(wait, [&fleet, per_second, span, wait, &refused] {
    send_ordinary(fleet, per_second, span - wait, refused);
  });
}

std::size_t arrivals_since(const CrashFleet& fleet, const FakeBackendServer& server,
                           MonotonicTime since) {
  return static_cast<std::size_t>(std::count_if(
      fleet.arrivals.begin(), fleet.arrivals.end(), [&](const CrashFleet::Arrival& arrival) {
        return arrival.server == server.backend.address && arrival.at >= since;
      }));
}

std::size_t nodes_aware_of_leaving(const CrashFleet& fleet, const FakeBackendServer& server) {
  return static_cast<std::size_t>(
      std::count_if(fleet.nodes.begin(), fleet.nodes.end(),
                    [&](const auto& node) { return node->view.is_leaving(server.backend.id); }));
}

}  // namespace

TEST_CASE("back ends that ask a node to back off get no more requests from it") {
  for (const gateway::EngineRole role : kRoles) {
    CAPTURE(static_cast<int>(role));
    CrashFleet fleet({});
    fleet.send_traffic(60, 20s);
    fleet.advance(3s);
    const std::vector<FakeBackendServer*> servers = fleet.servers_of(role);
    shed(fleet, *servers[0], 3s, 1, 12s);
    shed(fleet, *servers[1], 2s, 1, 12s);
    fleet.advance(17s);
    check_backoffs_respected(fleet);
  }
}

TEST_CASE("no back end gets requests when all of a service ask to back off") {
  for (const gateway::EngineRole role : kRoles) {
    for (const double chance : {0.3, 1.0}) {
      CAPTURE(static_cast<int>(role));
      CAPTURE(chance);
      CrashFleet fleet({});
      fleet.send_traffic(60, 20s);
      fleet.advance(3s);
      for (FakeBackendServer* server : fleet.servers_of(role)) {
        shed(fleet, *server, 2s, chance, 12s);
      }
      fleet.advance(17s);
      check_backoffs_respected(fleet);
    }
  }
}

TEST_CASE("a back end that announces in its answers that it leaves gets no new requests") {
  for (const gateway::EngineRole role : kRoles) {
    for (const bool all : {false, true}) {
      CAPTURE(static_cast<int>(role));
      CAPTURE(all);
      CrashFleet fleet({});
      fleet.send_traffic(60, 15s);
      fleet.advance(3s);
      for (FakeBackendServer* server : fleet.servers_of(role)) {
        server->sends_leaving_header = all || server == fleet.servers_of(role)[0];
      }
      fleet.advance(12s);
      CHECK(fleet.sent_leaving_notices.size() > 0);
      CHECK(count_late_after_leaving(fleet) == 0);
    }
  }
}

TEST_CASE("no caller is refused while another back end has capacity") {
  CrashFleet fleet({});
  std::size_t refused = 0;
  send_ordinary(fleet, 40, 18s, refused);
  fleet.advance(3s);
  shed(fleet, *fleet.servers_of(gateway::EngineRole::kNone)[0], 3s, 1, 12s);
  fleet.advance(16s);
  CHECK(refused == 0);
}

TEST_CASE("a refused caller learns when the first back end accepts requests again") {
  CrashFleet fleet({});
  fleet.send_traffic(60, 8s);
  fleet.advance(3s);
  for (FakeBackendServer* server : fleet.servers_of(gateway::EngineRole::kNone)) {
    shed(fleet, *server, 4s, 1, 12s);
  }
  fleet.advance(1500ms);
  for (std::size_t node = 0; node != fleet.nodes.size(); ++node) {
    CAPTURE(node);
    Duration min_wait = Duration::max();
    for (const CrashFleet::SentNotice& notice : fleet.sent_backoffs) {
      if (notice.node == node) {
        min_wait = std::min(min_wait, notice.at + notice.span - fleet.time.now());
      }
    }
    REQUIRE(min_wait != Duration::max());
    const auto caller = fleet.start_request(node, "/idempotent/x", "late");
    fleet.advance(100ms);
    REQUIRE(caller->finished);
    CHECK(caller->head.status == 503);
    CHECK(std::stod(caller->header("retry-after")) >= to_seconds(min_wait) - 0.1);
  }
}

TEST_CASE(
    "a back-off outlasts flapping registrations, new configurations and suspensions of nodes") {
  for (const gateway::EngineRole role : kRoles) {
    CAPTURE(static_cast<int>(role));
    CrashFleet fleet({});
    fleet.send_traffic(60, 20s);
    fleet.advance(3s);
    FakeBackendServer& server = *fleet.servers_of(role)[0];
    const std::string key = "backends/" + server.backend.id.value();
    shed(fleet, server, 6s, 1, 12s);
    fleet.time.schedule_after(1s, [&] { fleet.state.remove(key); });
    fleet.time.schedule_after(2s, [&] { fleet.write(key, wire::encode(server.backend)); });
    fleet.time.schedule_after(3s, [&] { fleet.write("config", "2"); });
    fleet.time.schedule_after(4s, [&] { fleet.suspend(1, 1s); });
    fleet.time.schedule_after(4s, [&] { fleet.state.down = true; });
    fleet.time.schedule_after(7s, [&] { fleet.state.down = false; });
    fleet.advance(17s);
    check_backoffs_respected(fleet);
  }
}

TEST_CASE("requests that wait for a connection are not sent during a back-off") {
  CrashFleet fleet({});
  fleet.send_traffic(60, 15s);
  fleet.advance(3s);
  for (FakeBackendServer* server : fleet.servers_of(gateway::EngineRole::kNone)) {
    server->connect_delay = 700ms;
    shed(fleet, *server, 3s, 1, 10s);
  }
  fleet.advance(13s);
  check_backoffs_respected(fleet);
}

TEST_CASE("a back end restarted under its name inherits neither back-off nor leaving") {
  CrashFleet fleet({.quick_restarts = true});
  fleet.send_traffic(60, 25s);
  fleet.advance(3s);
  FakeBackendServer& server = *fleet.servers_of(gateway::EngineRole::kNone)[0];
  server.sends_leaving_header = true;
  shed(fleet, server, 60s, 1, 6s);
  fleet.advance(6s);
  server.sends_leaving_header = false;
  fleet.crash(server);
  fleet.advance(4s);
  const MonotonicTime since = fleet.time.now();
  fleet.advance(5s);
  CHECK(arrivals_since(fleet, server, since) > 5);
}

TEST_CASE(
    "twenty nodes with relays respect back-offs and leaving when a tenth of datagrams is lost") {
  CrashFleet fleet({.nodes = 20, .loss = 0.1, .relay_from_nodes = 12});
  fleet.send_traffic(150, 20s);
  fleet.advance(3s);
  for (const gateway::EngineRole role : kRoles) {
    for (FakeBackendServer* server : fleet.servers_of(role)) {
      shed(fleet, *server, 2s, 0.3, 8s);
    }
  }
  fleet.time.schedule_after(8s, [&] {
    for (const gateway::EngineRole role : kRoles) {
      fleet.servers_of(role)[0]->sends_leaving_header = true;
    }
  });
  fleet.advance(17s);
  check_backoffs_respected(fleet);
  CHECK(count_late_after_leaving(fleet) == 0);
}

TEST_CASE("all nodes learn from the one that was told that a back end leaves, without the store") {
  CrashFleet fleet({});
  fleet.advance(1s);
  fleet.state.down = true;
  FakeBackendServer& server = *fleet.servers_of(gateway::EngineRole::kNone)[0];
  server.sends_leaving_header = true;
  for (int i = 0; i != 12; ++i) {
    fleet.send(2, "/idempotent/x", "asked");
  }
  fleet.advance(1s);
  REQUIRE(fleet.sent_leaving_notices.size() == 1);
  CHECK(nodes_aware_of_leaving(fleet, server) == fleet.nodes.size());
  fleet.state.down = false;
  fleet.advance(2s);
  fleet.restart(4);
  fleet.advance(2s);
  CHECK(nodes_aware_of_leaving(fleet, server) == fleet.nodes.size());
}

TEST_CASE("no caller is refused while another back end has capacity, also without a retry time") {
  CrashFleet fleet({});
  std::size_t refused = 0;
  send_ordinary(fleet, 40, 18s, refused);
  fleet.advance(3s);
  FakeBackendServer& server = *fleet.servers_of(gateway::EngineRole::kNone)[0];
  server.shedding = FakeBackendServer::Shedding{.chance = 1, .retry_after = "", .span = {}};
  const MonotonicTime since = fleet.time.now();
  fleet.advance(12s);
  MESSAGE("rejected " << arrivals_since(fleet, server, since));
  CHECK(refused == 0);
}

TEST_CASE(
    "nearly all callers are served, and few rejected, once all back ends accept requests again") {
  for (const std::size_t nodes : {6U, 20U, 100U}) {
    CrashFleet fleet({.nodes = nodes});
    std::size_t refused = 0;
    send_ordinary(fleet, 60, 20s, refused);
    fleet.advance(3s);
    for (FakeBackendServer* server : fleet.servers_of(gateway::EngineRole::kNone)) {
      shed(fleet, *server, 3s, 1, 4s);
    }
    fleet.advance(7s);
    const std::size_t in_backoff = refused;
    const std::size_t asked = fleet.sent_backoffs.size();
    fleet.advance(5s);
    MESSAGE("nodes " << nodes << " backoffs " << asked << " refused " << in_backoff
                     << ", in the 5 s after " << refused - in_backoff);
    CHECK(fleet.sent_backoffs.size() == asked);
    CHECK(refused - in_backoff <= 30);
    check_backoffs_respected(fleet);
  }
}

TEST_CASE("a back-off requested by a new incarnation before its registration is respected") {
  for (std::uint64_t seed = 1; seed != 9; ++seed) {
    CAPTURE(seed);
    CrashFleet fleet({.seed = seed, .quick_restarts = true});
    fleet.send_traffic(120, 15s);
    fleet.advance(3s);
    FakeBackendServer& server = *fleet.servers_of(gateway::EngineRole::kNone)[0];
    fleet.crash(server);
    shed(fleet, server, 6s, 1, 2500ms);
    fleet.advance(10500ms);
    check_backoffs_respected(fleet);
  }
}
