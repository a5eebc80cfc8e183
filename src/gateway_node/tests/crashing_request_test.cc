// Requests that end each server that begins to run them.
//
// What users saw: on an auction floor with six nodes all five engines that run requests ended
// within a second, were back after three, and ended again, wave after wave; between the waves every
// prompt was refused. Order of events: a caller's request reaches an engine; as it begins to run,
// the engine ends, and with it up to 16 other requests; nodes see their connections break and send
// what may be repeated on, the guilty request among it, to the next engine; its caller comes again,
// with a new id, to another node, which knows nothing of it. Cause: no node remembers a request
// beyond its own try, and none tells another whose servers ended.
//
// Evidence: 20 servers ended under one request in 16 s, though a try may go to two servers at most;
// the stories of the request name another node each time; the log lines of one fingerprint.
#include <doctest/doctest.h>

#include "gateway_node/tests/crash_fleet.h"

using namespace ochrespring;
using namespace ochrespring::gateway_node::testing;
using namespace std::chrono_literals;

namespace {

/// Retries that a request gets after its third end, sent by machines in touch.
constexpr std::size_t kMostLateSends = 3;

}  // namespace

TEST_CASE("a request that ends its servers is stopped, at whichever node it comes again") {
  CrashFleet fleet({});
  fleet.guilty = {"guilty"};
  fleet.traffic(60, 30s);
  fleet.repeat("/resumable/x", "guilty", 250ms, 30s);
  fleet.advance(35s);
  MESSAGE("ends " << fleet.ends["guilty"].size() << ", late sends " << fleet.late_sends("guilty")
                  << ", innocents served " << fleet.innocents.served << " of "
                  << fleet.innocents.sent);
  REQUIRE(fleet.ends["guilty"].size() >= 3);
  CHECK(fleet.late_sends("guilty") <= kMostLateSends);
  CHECK(fleet.ends["guilty"].size() <= 10);
  CHECK(fleet.innocents.served >= fleet.innocents.sent * 85 / 100);
}
