#include "discovery/poll_schedule.h"

#include <algorithm>
#include <cmath>

namespace ochrespring::discovery {

namespace {

/// Doublings of the pause after failed looks; `max_retry_delay` bounds it besides.
constexpr std::uint32_t kMaxRetryDoublings = 4;
/// Of the max_delay pause after failed looks, for each node of the fleet: together they try some 50
/// times a second, whatever their number.
constexpr Duration kRetryDelayPerNode = std::chrono::milliseconds(40);
/// Parts of the bound: when an equal looks at the earliest, and how much later at the latest.
constexpr double kPeriodFraction = 0.5;
constexpr double kSpreadFraction = 0.22;
/// A reader looks often enough that a listing of the whole store, which takes up to a second where
/// history is gone, and the turns of a few dead readers before it fit into the rest of the bound. A
/// fleet of any size makes 8 looks in a bound so.
constexpr double kReaderPeriodFraction = 0.125;
constexpr double kReaderStaggerFraction = 0.05;
/// A follower that has lost two updates in a row still asks before half of the bound is over.
constexpr double kFollowerPeriodFraction = 0.35;
/// A view this old still tells what a configuration lacks: a newer one need not be in force yet.
constexpr double kMaxRefreshAgeFraction = 0.75;
/// For each node known, before a node lists the whole store itself at its start: however many start
/// at once, some 50 a second do. A fleet whose nodes and servers fit into one page never waits.
constexpr Duration kListingDelayPerNode = std::chrono::milliseconds(20);
/// And at most this long, as much again by chance: a third of the time in which a fleet that was
/// killed as a whole has to serve again (18 s where the largest fleets are).
constexpr Duration kMaxListingDelay = std::chrono::seconds(3);

}  // namespace

FleetWatcherSettings settings_for_staleness_bound(Duration bound) {
  const double seconds = to_seconds(bound);
  FleetWatcherSettings settings;
  settings.period = from_seconds(kPeriodFraction * seconds);
  settings.spread = from_seconds(kSpreadFraction * seconds);
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
                      settings.period);
    case ReadingRole::kFollower:
      return settings.follower_period + poll_spread_delay(settings.spread, nodes, uniform);
    case ReadingRole::kSymmetric:
      break;
  }
  return settings.period + poll_spread_delay(settings.spread, nodes, uniform);
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
