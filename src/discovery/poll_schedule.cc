#include "discovery/poll_schedule.h"

#include <algorithm>
#include <cmath>

namespace ochrespring::discovery {

namespace {

/// Doublings of the delay after failed polls, which is also limited by `max_retry_delay`.
constexpr std::uint32_t kMaxRetryDoublings = 4;
/// Maximum delay after failed polls, per node of the fleet: all nodes together retry about 50 times
/// a second, regardless of their number.
constexpr Duration kRetryDelayPerNode = std::chrono::milliseconds(40);
/// Fractions of the staleness bound: the earliest poll of a kSymmetric node, and the range of its
/// random extra delay.
constexpr double kPeriodFraction = 0.5;
constexpr double kSpreadFraction = 0.22;
/// Leaves room in the bound for a full listing, which takes up to a second if the history is
/// unavailable, and for the turns of a few terminated readers before it. The load on the store does
/// not depend on the fleet's size: the first reader polls 8 times per bound.
constexpr double kReaderPeriodFraction = 0.125;
constexpr double kReaderStaggerFraction = 0.05;
/// A follower that has missed two updates in a row still asks a reader before half of the bound has
/// passed.
constexpr double kFollowerPeriodFraction = 0.35;
/// A request for a missing route may be answered from a configuration of up to this age, because a
/// newer one does not have to be in force earlier.
constexpr double kMaxRefreshAgeFraction = 0.75;
/// Delay per known node before a starting node lists the whole store itself: regardless of how many
/// nodes start at once, about 50 per second do so. A fleet whose nodes and servers fit into one
/// page never waits.
constexpr Duration kListingDelayPerNode = std::chrono::milliseconds(20);
/// Upper limit of the delay without its random part. With that part, the delay is at most 6 s: a
/// third of the 18 s within which the largest fleets must serve again after a complete restart.
constexpr Duration kMaxListingDelay = std::chrono::seconds(3);

}  // namespace

FleetWatcherSettings settings_for_staleness_bound(Duration bound) {
  const double seconds = to_seconds(bound);
  FleetWatcherSettings settings;
  settings.symmetric_period = from_seconds(kPeriodFraction * seconds);
  settings.random_spread = from_seconds(kSpreadFraction * seconds);
  settings.reader_period = from_seconds(kReaderPeriodFraction * seconds);
  settings.reader_stagger = from_seconds(kReaderStaggerFraction * seconds);
  settings.follower_period = from_seconds(kFollowerPeriodFraction * seconds);
  settings.fetch_interval = settings.reader_period;
  settings.max_refresh_age = from_seconds(kMaxRefreshAgeFraction * seconds);
  return settings;
}

Duration poll_spread_delay(Duration spread, std::uint32_t nodes, double uniform) {
  const double exponent = std::max(1.0, std::log(static_cast<double>(nodes)));
  return from_seconds(to_seconds(spread) * std::pow(uniform, 1 / exponent));
}

Duration poll_delay(const FleetWatcherSettings& settings, const ReadingAssignment& assignment,
                    std::uint32_t nodes, double uniform) {
  switch (assignment.role) {
    case ReadingRole::kReader:
      return std::min(settings.reader_period + assignment.rank * settings.reader_stagger,
                      settings.symmetric_period);
    case ReadingRole::kFollower:
      return settings.follower_period + poll_spread_delay(settings.random_spread, nodes, uniform);
    case ReadingRole::kSymmetric:
      break;
  }
  return settings.symmetric_period + poll_spread_delay(settings.random_spread, nodes, uniform);
}

Duration failed_poll_delay(const FleetWatcherSettings& settings, std::uint32_t failed,
                           std::uint32_t nodes, double uniform) {
  const std::uint32_t doublings = std::min(failed, kMaxRetryDoublings);
  const Duration max_delay =
      std::min(settings.retry_delay * (1U << doublings),
               std::max(settings.max_retry_delay,
                        std::min(settings.max_refresh_age, nodes * kRetryDelayPerNode)));
  return settings.retry_delay / 2 +
         from_seconds(to_seconds(max_delay - settings.retry_delay / 2) * uniform);
}

Duration listing_delay(const FleetWatcherSettings& settings, std::uint32_t nodes, double uniform) {
  if (settings.lists_immediately) {
    return Duration::zero();
  }
  const Duration min_delay = std::min(nodes * kListingDelayPerNode, kMaxListingDelay);
  return min_delay + from_seconds(to_seconds(min_delay) * uniform);
}

}  // namespace ochrespring::discovery
