// A server that names a rate limit gets no more than that from all nodes together.
#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "gateway_node/tests/crash_fleet.h"
#include "gateway_node/tests/rate_limit_judge.h"

using namespace ochrespring;
using namespace ochrespring::gateway_node::testing;
using namespace std::chrono_literals;

namespace {

std::vector<PlayedServer*> servers_of(CrashFleet& fleet, gateway::EngineRole role) {
  std::vector<PlayedServer*> servers;
  for (const auto& server : fleet.servers) {
    if (server->backend.role == role) {
      servers.push_back(server.get());
    }
  }
  return servers;
}

NamedLimit name_limit(CrashFleet& fleet, PlayedServer& server, double per_second, Duration span) {
  server.rate_limit = std::to_string(per_second);
  fleet.time.schedule_after(span, [&server] { server.rate_limit.clear(); });
  return {.server = server.backend.address,
          .per_second = per_second,
          .from = fleet.time.now(),
          .until = fleet.time.now() + span};
}

void check_held(const CrashFleet& fleet, const NamedLimit& limit) {
  const LimitCount count = count_limit(fleet, limit);
  CAPTURE(limit.per_second);
  CAPTURE(count.rate);
  CAPTURE(count.worst);
  CAPTURE(count.allowed);
  CHECK(count.held());
}

}  // namespace

TEST_CASE("servers that name a rate limit get no more from all nodes together") {
  for (const gateway::EngineRole role :
       {gateway::EngineRole::kNone, gateway::EngineRole::kDecode, gateway::EngineRole::kPrefill}) {
    CrashFleet fleet({});
    fleet.traffic(60, 25s);
    fleet.advance(5s);
    const std::vector<PlayedServer*> servers = servers_of(fleet, role);
    const std::vector<NamedLimit> limits{name_limit(fleet, *servers[0], 1.3, 15s),
                                         name_limit(fleet, *servers[1], 2.1, 15s)};
    fleet.advance(20s);
    CAPTURE(static_cast<int>(role));
    for (const NamedLimit& limit : limits) {
      check_held(fleet, limit);
    }
  }
}
