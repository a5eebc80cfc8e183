// Machines that are suspended for seconds: for them no time has passed, for the world it has.
#include <doctest/doctest.h>

#include <string>

#include "gateway_node/tests/crash_fleet.h"

using namespace ochrespring;
using namespace ochrespring::gateway_node::testing;
using namespace std::chrono_literals;

namespace {

/// The status of a request for a route that was added while the node was suspended, sent as it
/// wakes.
int status_of_added_route(const CrashFleetOptions& options) {
  CrashFleet fleet(options);
  fleet.suspend(0, 8s);
  fleet.advance(1s);
  fleet.write("config", "2");
  fleet.advance(7s - 1ms);
  int told = -1;
  fleet.send(0, "/added/x", "b", [&told](int status) { told = status; });
  fleet.advance(2s);
  return told;
}

}  // namespace

TEST_CASE("a node that wakes looks anew before it says that there is no such route") {
  CHECK(status_of_added_route({}) == 200);
  // The test sees a clock that stands still: the view seems young.
  CHECK(status_of_added_route({.still_clock = true}) == 404);
}

TEST_CASE("a look that was under way before the node was suspended tells nothing of now") {
  CrashFleet fleet({.nodes = 1});
  // Its next look begins before the suspension, and its answer waits.
  const std::uint64_t calls = fleet.nodes[0]->store.calls;
  while (fleet.nodes[0]->store.calls == calls) {
    fleet.advance(1ms);
  }
  fleet.suspend(0, 8s);
  fleet.advance(1s);
  fleet.write("config", "2");
  fleet.advance(7s - 1ms);
  int told = -1;
  fleet.send(0, "/added/x", "b", [&told](int status) { told = status; });
  fleet.advance(2s);
  CHECK(told == 200);
}

TEST_CASE("an answer that came while the node was suspended is delivered, late") {
  CrashFleet fleet({});
  int told = -1;
  fleet.send(0, "/once/x", "b", [&told](int status) { told = status; });
  fleet.advance(10ms);
  fleet.suspend(0, 8s);
  fleet.advance(9s);
  CHECK(told == 200);
}

TEST_CASE("a request whose time ran out while its node was suspended is not sent on") {
  CrashFleet fleet({});
  for (const auto& server : fleet.servers) {
    if (server->backend.service == ServiceName("relay")) {
      fleet.crash(*server);
    }
  }
  fleet.advance(10ms);
  int told = -1;
  fleet.send(0, "/idempotent/x", "b", [&told](int status) { told = status; });
  // Connections are refused one after the other; the node is suspended in between.
  fleet.advance(1ms);
  fleet.suspend(0, 8s);
  fleet.advance(10s);
  CHECK(told == 503);  // It has not run.
  CHECK(fleet.sends.empty());
}
