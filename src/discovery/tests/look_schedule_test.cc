// Who looks at the store, and when.
#include "discovery/look_schedule.h"

#include <doctest/doctest.h>

#include <chrono>

using namespace ochrespring;
using namespace ochrespring::discovery;
using namespace std::chrono_literals;

namespace {

ReadingDuty reader(std::uint32_t rank) {
  return {.role = ReadingRole::kReader, .rank = rank, .readers = {}};
}

ReadingDuty follower() {
  return {.role = ReadingRole::kFollower, .rank = 0, .readers = {Endpoint("r")}};
}

}  // namespace

TEST_CASE("readers look one after the other, each only if those before it were silent") {
  const FleetWatcherSettings settings = settings_within(5s);
  Duration last{};
  for (std::uint32_t rank = 0; rank != 7; ++rank) {
    const Duration wait = wait_for_look(settings, reader(rank), 985, 0.5);
    CHECK(wait > last);
    CHECK(wait - last >= 200ms);
    last = wait;
  }
  // However many zones, the last reader still looks in time.
  CHECK(wait_for_look(settings, reader(200), 985, 0.5) <= settings.period);
}

TEST_CASE("a fleet of any size leaves time to list the store and to try again") {
  for (const Duration bound : {Duration(2s), Duration(4s), Duration(5s), Duration(18s)}) {
    const FleetWatcherSettings settings = settings_within(bound);
    // Three dead readers before one that lists for a fifth of the bound.
    const Duration told = wait_for_look(settings, reader(3), 2000, 0.99) + bound / 5;
    CHECK(told < bound * 6 / 10);
    CHECK(wait_for_look(settings, follower(), 2000, 0.99) < bound * 6 / 10);
    CHECK(wait_for_look(settings, follower(), 2000, 0.0) > 2 * settings.reader_period);
    CHECK(wait_for_look(settings, {}, 7, 0.99) < bound * 3 / 4);
  }
}

TEST_CASE("a node that starts leaves the listing to others the longer the more there are") {
  FleetWatcherSettings settings = settings_within(5s);
  CHECK(wait_for_peers(settings, 2, 0.5) <= 60ms);
  CHECK(wait_for_peers(settings, 200, 0.0) >= 3s);
  CHECK(wait_for_peers(settings, 20'000, 1.0) <= 6s);
  settings.lists_at_once = true;
  CHECK(wait_for_peers(settings, 20'000, 1.0) == Duration::zero());
}

TEST_CASE("failed looks come seldomer, in a large fleet more so, and within a bound") {
  const FleetWatcherSettings settings = settings_within(5s);
  CHECK(wait_after_failure(settings, 1, 7, 1.0) <= 600ms);
  CHECK(wait_after_failure(settings, 9, 7, 1.0) <= 1200ms);
  CHECK(wait_after_failure(settings, 9, 985, 1.0) <= settings.fresh_enough);
  CHECK(wait_after_failure(settings, 9, 985, 1.0) > 1200ms);
  CHECK(wait_after_failure(settings, 9, 985, 0.0) == settings.retry / 2);
}
