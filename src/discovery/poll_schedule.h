// Schedules a node's polls of the store according to its part in reading it for the fleet.
#pragma once

#include <cstdint>
#include <vector>

#include "base/ids.h"
#include "base/time.h"

namespace ochrespring::discovery {

/// A node's part in reading the store.
enum class ReadingRole : std::uint8_t {
  kSymmetric,  ///< Small fleet: any node polls for all.
  kReader,  ///< Large fleet: one of the few nodes that poll and list, in the order of their ranks.
  /// Large fleet: relies on the readers' broadcasts, asks a reader if it receives none, and polls
  /// the store only if no reader can help.
  kFollower,
};

struct ReadingAssignment {
  ReadingRole role = ReadingRole::kSymmetric;
  std::uint32_t rank = 0;         ///< Of a reader; the first one is 0.
  std::vector<Endpoint> readers;  ///< For a follower: the readers to ask; may be empty.
};

struct FleetWatcherSettings {
  /// Minimum time between two polls of a kSymmetric node.
  Duration symmetric_period{std::chrono::milliseconds(1000)};
  Duration random_spread{
      std::chrono::milliseconds(450)};  ///< Range of the random delay added to it.
  /// Between two polls of the first reader; its findings reach all nodes about 10 ms later.
  Duration reader_period{std::chrono::milliseconds(250)};
  /// Additional delay of each further reader: long enough to receive the result of the preceding
  /// reader, so that it polls only if the readers before it have failed.
  Duration reader_stagger{std::chrono::milliseconds(100)};
  /// Time without updates before a follower asks a reader.
  Duration follower_period{std::chrono::milliseconds(700)};
  /// Base of the delay after a failed poll; see failed_poll_delay().
  Duration retry_delay{std::chrono::milliseconds(300)};
  /// The delay after consecutive failed polls grows up to this; in a large fleet up to
  /// `max_refresh_age`, because one of the many nodes will soon succeed and broadcast its result.
  Duration max_retry_delay{std::chrono::milliseconds(1200)};
  /// Range of the random delay before a node fetches missing changes, as many nodes may do so at
  /// once.
  Duration fetch_spread{std::chrono::milliseconds(100)};
  /// Minimum time between two fetches of changes. Complete views are large: at least half of
  /// `symmetric_period` passes between them.
  Duration fetch_interval{std::chrono::milliseconds(500)};
  /// Delay before a node without a view asks a peer for one.
  Duration peer_request_delay{std::chrono::milliseconds(250)};
  /// Range of the random delay before an unscheduled poll or listing.
  Duration relist_spread{std::chrono::milliseconds(200)};
  /// Age of the configuration from which refresh_configuration() polls again.
  Duration max_refresh_age{std::chrono::milliseconds(150)};
  /// Time for which a request waits for a poll: callers expect answers within hundreds of
  /// milliseconds, and a poll takes about ten while the store is healthy.
  Duration refresh_timeout{std::chrono::milliseconds(400)};
  /// Whether a starting node lists the whole store immediately, regardless of its size, so that
  /// other nodes can fetch the view from it.
  bool lists_immediately = false;
};

/// Returns settings with which the view of each node is never older than `bound`, including time
/// for a slow answer and a retry.
FleetWatcherSettings settings_for_staleness_bound(Duration bound);

/// Returns the random addition to the poll period for `uniform`, a random number in [0, 1). The
/// more nodes there are, the more likely are long delays, so that two nodes rarely poll before the
/// first one's update has reached the second: about log(`nodes`) nodes do so, whereas with uniform
/// delays it would be a fraction of all.
Duration poll_spread_delay(Duration spread, std::uint32_t nodes, double uniform);

/// Returns the delay of the next poll, counted from the time as of which the view is current.
Duration poll_delay(const FleetWatcherSettings& settings, const ReadingAssignment& assignment,
                    std::uint32_t nodes, double uniform);

/// Returns the delay after `failed` consecutive failed polls, randomized so that nodes that failed
/// together retry at different times.
Duration failed_poll_delay(const FleetWatcherSettings& settings, std::uint32_t failed,
                           std::uint32_t nodes, double uniform);

/// Returns how long a starting node in a fleet of at least `nodes` asks others for their view
/// before it lists the whole store itself.
Duration listing_delay(const FleetWatcherSettings& settings, std::uint32_t nodes, double uniform);

}  // namespace ochrespring::discovery
