// Which nodes poll the store, and when.
#include "discovery/poll_schedule.h"

#include <doctest/doctest.h>

#include <chrono>

using namespace ochrespring;
using namespace ochrespring::discovery;
using namespace std::chrono_literals;

namespace {

ReadingAssignment reader(std::uint32_t rank) {
  return {.role = ReadingRole::kReader, .rank = rank, .readers = {}};
}

ReadingAssignment follower() {
  return {.role = ReadingRole::kFollower, .rank = 0, .readers = {Endpoint("r")}};
}

}  // namespace

TEST_CASE("each reader polls at least 200 ms later than the one before it and within the period") {
  const FleetWatcherSettings settings = settings_for_staleness_bound(5s);
  Duration last{};
  for (std::uint32_t rank = 0; rank != 7; ++rank) {
    const Duration wait = poll_delay(settings, reader(rank), 985, 0.5);
    CHECK(wait > last);
    CHECK(wait - last >= 200ms);
    last = wait;
  }
  // Regardless of the number of zones, the last reader still polls in time.
  CHECK(poll_delay(settings, reader(200), 985, 0.5) <= settings.symmetric_period);
}

TEST_CASE("poll delays leave time in the staleness bound for a listing and a retry") {
  for (const Duration bound : {Duration(2s), Duration(4s), Duration(5s), Duration(18s)}) {
    const FleetWatcherSettings settings = settings_for_staleness_bound(bound);
    // Three terminated readers, followed by one that lists for a fifth of the bound.
    const Duration report_time = poll_delay(settings, reader(3), 2000, 0.99) + bound / 5;
    CHECK(report_time < bound * 6 / 10);
    CHECK(poll_delay(settings, follower(), 2000, 0.99) < bound * 6 / 10);
    CHECK(poll_delay(settings, follower(), 2000, 0.0) > 2 * settings.reader_period);
    CHECK(poll_delay(settings, {}, 7, 0.99) < bound * 3 / 4);
  }
}

TEST_CASE("the delay before a starting node lists the store grows with the number of nodes") {
  FleetWatcherSettings settings = settings_for_staleness_bound(5s);
  CHECK(listing_delay(settings, 2, 0.5) <= 60ms);
  CHECK(listing_delay(settings, 200, 0.0) >= 3s);
  CHECK(listing_delay(settings, 20'000, 1.0) <= 6s);
  settings.lists_immediately = true;
  CHECK(listing_delay(settings, 20'000, 1.0) == Duration::zero());
}

TEST_CASE("the delay after failed polls grows with their number and the fleet, up to a limit") {
  const FleetWatcherSettings settings = settings_for_staleness_bound(5s);
  CHECK(failed_poll_delay(settings, 1, 7, 1.0) <= 600ms);
  CHECK(failed_poll_delay(settings, 9, 7, 1.0) <= 1200ms);
  CHECK(failed_poll_delay(settings, 9, 985, 1.0) <= settings.max_refresh_age);
  CHECK(failed_poll_delay(settings, 9, 985, 1.0) > 1200ms);
  CHECK(failed_poll_delay(settings, 9, 985, 0.0) == settings.retry_delay / 2);
}
