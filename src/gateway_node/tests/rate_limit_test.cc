// A back end that announces a rate limit gets no more requests than that from all nodes together.
#include <doctest/doctest.h>

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "gateway_node/tests/crash_fleet.h"
#include "gateway_node/tests/rate_limit_checker.h"

using namespace ochrespring;
using namespace ochrespring::gateway_node::testing;
using namespace std::chrono_literals;

namespace {

AnnouncedLimit announce_limit(CrashFleet& fleet, FakeBackendServer& server, double per_second,
                              Duration span) {
  server.rate_limit = std::to_string(per_second);
  fleet.time.schedule_after(span, [&server] { server.rate_limit.clear(); });
  return {.server = server.backend.address,
          .per_second = per_second,
          .from = fleet.time.now(),
          .until = fleet.time.now() + span};
}

void check_within_limit(const CrashFleet& fleet, const AnnouncedLimit& limit) {
  const LimitCount count = count_requests_against_limit(fleet, limit);
  CAPTURE(limit.per_second);
  CAPTURE(count.rate);
  CAPTURE(count.max_requests);
  CAPTURE(count.allowed);
  CHECK(count.within_limit());
}

/// Sends `per_second` requests per second to a single node.
void send_to_one(CrashFleet& fleet, std::size_t node, double per_second, Duration span) {
  if (span <= Duration::zero()) {
    return;
  }
  fleet.send(node, "/idempotent/x", "skewed");
  const Duration wait = from_seconds(fleet.random.exponential(1 / per_second));
  fleet.time.schedule_after(wait, [&fleet, node, per_second, span, wait] {
    send_to_one(fleet, node, per_second, span - wait);
  });
}

std::uint64_t rate_limited_rejections(const CrashFleet& fleet) {
  std::uint64_t sum = 0;
  for (const auto& node : fleet.nodes) {
    sum += node->statistics.rate_limited;
  }
  return sum;
}

std::size_t nodes_with_limit(const CrashFleet& fleet, const FakeBackendServer& server) {
  return static_cast<std::size_t>(
      std::count_if(fleet.nodes.begin(), fleet.nodes.end(), [&](const auto& node) {
        return node->rate_limiter.limits().limit_of(server.backend.id).has_value();
      }));
}

/// Lets all back ends of a role announce the same limit and checks that none is exceeded. Returns
/// the used fraction of the limits.
double limit_utilization(CrashFleet& fleet, gateway::EngineRole role, double per_second,
                         Duration span) {
  std::vector<AnnouncedLimit> limits;
  for (FakeBackendServer* server : fleet.servers_of(role)) {
    limits.push_back(announce_limit(fleet, *server, per_second, span));
  }
  fleet.advance(span + 1s);
  double rate = 0;
  for (const AnnouncedLimit& limit : limits) {
    check_within_limit(fleet, limit);
    rate += count_requests_against_limit(fleet, limit).rate;
  }
  return rate / (per_second * static_cast<double>(limits.size()));
}

}  // namespace

TEST_CASE("back ends that announce a rate limit get no more requests from all nodes together") {
  for (const gateway::EngineRole role :
       {gateway::EngineRole::kNone, gateway::EngineRole::kDecode, gateway::EngineRole::kPrefill}) {
    CrashFleet fleet({});
    fleet.send_traffic(60, 25s);
    fleet.advance(5s);
    const std::vector<FakeBackendServer*> servers = fleet.servers_of(role);
    const std::vector<AnnouncedLimit> limits{announce_limit(fleet, *servers[0], 1.3, 15s),
                                             announce_limit(fleet, *servers[1], 2.1, 15s)};
    fleet.advance(20s);
    CAPTURE(static_cast<int>(role));
    for (const AnnouncedLimit& limit : limits) {
      check_within_limit(fleet, limit);
    }
  }
}

TEST_CASE("nearly all capacity is used when all back ends announce rate limits") {
  for (const std::size_t nodes : {6U, 20U, 100U}) {
    for (const double per_second : {0.7, 2.0, 6.0}) {
      CrashFleet fleet({.nodes = nodes});
      fleet.send_traffic(150, 45s);
      fleet.advance(5s);
      const double use = limit_utilization(fleet, gateway::EngineRole::kNone, per_second, 30s);
      MESSAGE("nodes " << nodes << " limit " << per_second << " use " << use);
      CHECK(use >= 0.8);
      CHECK(use <= 1.1);
    }
  }
}

TEST_CASE("callers of a single node can use nearly all capacity of rate-limited back ends") {
  for (const std::size_t nodes : {6U, 100U}) {
    CrashFleet fleet({.nodes = nodes});
    send_to_one(fleet, 2, 60, 45s);
    fleet.advance(5s);
    const double use = limit_utilization(fleet, gateway::EngineRole::kNone, 2.0, 30s);
    MESSAGE("nodes " << nodes << " use " << use);
    CHECK(use >= 0.8);
    CHECK(use <= 1.1);
  }
}

TEST_CASE("no caller notices a rate limit while another back end has capacity") {
  CrashFleet fleet({});
  send_to_one(fleet, 1, 60, 30s);
  fleet.send_traffic(60, 30s);
  fleet.advance(5s);
  const std::vector<FakeBackendServer*> servers = fleet.servers_of(gateway::EngineRole::kNone);
  announce_limit(fleet, *servers[0], 0.4, 20s);
  announce_limit(fleet, *servers[1], 3.0, 20s);
  fleet.advance(26s);
  CHECK(rate_limited_rejections(fleet) == 0);
}

TEST_CASE("twenty nodes with relays respect a changing rate limit and all notice its end") {
  for (const double loss : {0.0, 0.1}) {
    CAPTURE(loss);
    CrashFleet fleet({.nodes = 20, .loss = loss, .relay_from_nodes = 12});
    fleet.send_traffic(150, 60s);
    fleet.advance(5s);
    FakeBackendServer& server = *fleet.servers_of(gateway::EngineRole::kNone)[0];
    announce_limit(fleet, server, 8.0, 30s);
    fleet.advance(8s);
    CHECK(nodes_with_limit(fleet, server) == fleet.nodes.size());
    const AnnouncedLimit low = announce_limit(fleet, server, 0.4, 12s);
    fleet.advance(13s);
    check_within_limit(fleet, low);
    fleet.advance(10s);
    CHECK(nodes_with_limit(fleet, server) == 0);
  }
}

TEST_CASE("a rate limit of zero admits occasional requests that detect its end") {
  CrashFleet fleet({});
  fleet.send_traffic(60, 60s);
  fleet.advance(5s);
  FakeBackendServer& server = *fleet.servers_of(gateway::EngineRole::kNone)[0];
  const AnnouncedLimit nothing = announce_limit(fleet, server, 0, 20s);
  fleet.advance(20s);
  check_within_limit(fleet, nothing);
  CHECK(nodes_with_limit(fleet, server) == fleet.nodes.size());
  fleet.advance(10s);
  CHECK(nodes_with_limit(fleet, server) == 0);
}

TEST_CASE("a rate limit is respected and used when nodes restart, are suspended or are cut off") {
  for (std::uint64_t seed = 1; seed != 9; ++seed) {
    CAPTURE(seed);
    CrashFleet fleet({.loss = 0.05, .seed = seed});
    fleet.send_traffic(120, 60s);
    fleet.advance(5s);
    fleet.time.schedule_after(6s, [&] { fleet.restart(seed % 6); });
    fleet.time.schedule_after(10s, [&] { fleet.suspend((seed + 1) % 6, 3s); });
    fleet.time.schedule_after(16s, [&] { fleet.cut_off((seed + 2) % 6, 6s); });
    const double use = limit_utilization(fleet, gateway::EngineRole::kNone, 2.0, 40s);
    MESSAGE("use " << use);
    CHECK(use >= 0.7);
  }
}

TEST_CASE("requests are refused when the rate limits of all back ends are used up") {
  CrashFleet fleet({});
  fleet.send_traffic(60, 20s);
  fleet.advance(5s);
  for (FakeBackendServer* server : fleet.servers_of(gateway::EngineRole::kNone)) {
    server->rate_limit = "1.0";
  }
  fleet.advance(10s);
  CHECK(rate_limited_rejections(fleet) > 0);
}
