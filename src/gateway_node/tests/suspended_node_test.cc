// Machines suspended for seconds: time passes for everything but the suspended node.
#include <doctest/doctest.h>

#include <string>

#include "gateway_node/tests/crash_fleet.h"

using namespace ochrespring;
using namespace ochrespring::gateway_node::testing;
using namespace std::chrono_literals;

namespace {

/// Adds a route while a node is suspended, sends a request for it as the node wakes, and returns
/// the status.
int request_added_route(const CrashFleetOptions& options) {
  CrashFleet fleet(options);
  fleet.suspend(0, 8s);
  fleet.advance(1s);
  fleet.write("config", "2");
  fleet.advance(7s - 1ms);
  int final_status = -1;
  fleet.send(0, "/added/x", "b", [&final_status](int status) { final_status = status; });
  fleet.advance(2s);
  return final_status;
}

}  // namespace

TEST_CASE("a woken node polls the store before it rejects an unknown route") {
  CHECK(request_added_route({}) == 200);
  // With a clock that stops during the suspension, the view seems current: the test detects this.
  CHECK(request_added_route({.clock_stops_when_suspended = true}) == 404);
}

TEST_CASE("a poll begun before a suspension does not make the view current") {
  CrashFleet fleet({.nodes = 1});
  // The next poll begins before the suspension, and its answer is delivered after it.
  const std::uint64_t calls = fleet.nodes[0]->store.calls;
  while (fleet.nodes[0]->store.calls == calls) {
    fleet.advance(1ms);
  }
  fleet.suspend(0, 8s);
  fleet.advance(1s);
  fleet.write("config", "2");
  fleet.advance(7s - 1ms);
  int final_status = -1;
  fleet.send(0, "/added/x", "b", [&final_status](int status) { final_status = status; });
  fleet.advance(2s);
  CHECK(final_status == 200);
}

TEST_CASE("an answer that arrives while the node is suspended is delivered when it wakes") {
  CrashFleet fleet({});
  int final_status = -1;
  fleet.send(0, "/once/x", "b", [&final_status](int status) { final_status = status; });
  fleet.advance(10ms);
  fleet.suspend(0, 8s);
  fleet.advance(9s);
  CHECK(final_status == 200);
}

TEST_CASE("a request whose deadline passed while its node was suspended is not retried") {
  CrashFleet fleet({});
  for (const auto& server : fleet.servers) {
    if (server->backend.service == ServiceName("relay")) {
      fleet.crash(*server);
    }
  }
  fleet.advance(10ms);
  int final_status = -1;
  fleet.send(0, "/idempotent/x", "b", [&final_status](int status) { final_status = status; });
  // The node is suspended between two refused connections.
  fleet.advance(1ms);
  fleet.suspend(0, 8s);
  fleet.advance(10s);
  CHECK(final_status == 503);  // No back end ran it.
  CHECK(fleet.sends.empty());
}
