#include "discovery/look_schedule.h"

#include <algorithm>
#include <cmath>

namespace ochrespring::discovery {

namespace {

/// Doublings of the pause after failed looks; `longest_retry` bounds it besides.
constexpr std::uint32_t kMostRetryDoublings = 4;
/// Of the longest pause after failed looks, for each node of the fleet: together they try some 50
/// times a second, whatever their number.
constexpr Duration kRetryOfEachNode = std::chrono::milliseconds(40);
/// Parts of the bound: when an equal looks at the earliest, and how much later at the latest.
constexpr double kPeriodPart = 0.5;
constexpr double kSpreadPart = 0.22;
/// A reader looks often enough that a listing of the whole store, which takes up to a second where
/// history is gone, and the turns of a few dead readers before it fit into the rest of the bound. A
/// fleet of any size makes 8 looks in a bound so.
constexpr double kReaderPeriodPart = 0.125;
constexpr double kReaderStaggerPart = 0.05;
/// A follower that has lost two updates in a row still asks before half of the bound is over.
constexpr double kFollowerPeriodPart = 0.35;
/// A view this old still tells what a configuration lacks: a newer one need not be in force yet.
constexpr double kFreshPart = 0.75;
/// For each node known, before a node lists the whole store itself at its start: however many start
/// at once, some 50 a second do. A fleet whose nodes and servers fit into one page never waits.
constexpr Duration kPeersOfEachNode = std::chrono::milliseconds(20);
/// And at most this long, as much again by chance: a third of the time in which a fleet that was
/// killed as a whole has to serve again (18 s where the largest fleets are).
constexpr Duration kLongestWaitForPeers = std::chrono::seconds(3);

}  // namespace

FleetWatcherSettings settings_within(Duration bound) {
  const double seconds = to_seconds(bound);
  FleetWatcherSettings settings;
  settings.period = from_seconds(kPeriodPart * seconds);
  settings.spread = from_seconds(kSpreadPart * seconds);
  settings.reader_period = from_seconds(kReaderPeriodPart * seconds);
  settings.reader_stagger = from_seconds(kReaderStaggerPart * seconds);
  settings.follower_period = from_seconds(kFollowerPeriodPart * seconds);
  settings.fetch_pause = settings.reader_period;
  settings.fresh_enough = from_seconds(kFreshPart * seconds);
  return settings;
}

Duration spread_wait(Duration spread, std::uint32_t nodes, double uniform) {
  const double exponent = std::max(1.0, std::log(static_cast<double>(nodes)));
  return from_seconds(to_seconds(spread) * std::pow(uniform, 1 / exponent));
}

Duration wait_for_look(const FleetWatcherSettings& settings, const ReadingDuty& duty,
                       std::uint32_t nodes, double uniform) {
  switch (duty.role) {
    case ReadingRole::kReader:
      return std::min(settings.reader_period + duty.rank * settings.reader_stagger,
                      settings.period);
    case ReadingRole::kFollower:
      return settings.follower_period + spread_wait(settings.spread, nodes, uniform);
    case ReadingRole::kEqual:
      break;
  }
  return settings.period + spread_wait(settings.spread, nodes, uniform);
}

Duration wait_after_failure(const FleetWatcherSettings& settings, std::uint32_t failed,
                            std::uint32_t nodes, double uniform) {
  const std::uint32_t doublings = std::min(failed, kMostRetryDoublings);
  const Duration longest = std::min(
      settings.retry * (1U << doublings),
      std::max(settings.longest_retry, std::min(settings.fresh_enough, nodes * kRetryOfEachNode)));
  return settings.retry / 2 + from_seconds(to_seconds(longest - settings.retry / 2) * uniform);
}

Duration wait_for_peers(const FleetWatcherSettings& settings, std::uint32_t nodes, double uniform) {
  if (settings.lists_at_once) {
    return Duration::zero();
  }
  const Duration least = std::min(nodes * kPeersOfEachNode, kLongestWaitForPeers);
  return least + from_seconds(to_seconds(least) * uniform);
}

}  // namespace ochrespring::discovery
