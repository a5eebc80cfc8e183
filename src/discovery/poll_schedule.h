// When a node looks at the store, by its part in reading it for the fleet.
#pragma once

#include <cstdint>
#include <vector>

#include "base/ids.h"
#include "base/time.h"

namespace ochrespring::discovery {

/// A node's part in reading the store.
enum class ReadingRole : std::uint8_t {
  kSymmetric,  ///< Small fleet: every node looks for all, whoever comes first.
  kReader,     ///< Large fleet: one of the few that look and list, in the order of their ranks.
  kFollower,  ///< Large fleet: lives on what readers tell, asks them when it has heard nothing, and
              ///< the store itself only when they cannot help.
};

struct ReadingAssignment {
  ReadingRole role = ReadingRole::kSymmetric;
  std::uint32_t rank = 0;         ///< Of a reader; the first one is 0.
  std::vector<Endpoint> readers;  ///< Of a follower: where to ask; empty: nowhere.
};

struct FleetWatcherSettings {
  Duration period{std::chrono::milliseconds(1000)};  ///< Between two looks of an equal, at least.
  Duration spread{std::chrono::milliseconds(450)};   ///< A node waits up to this much longer.
  /// Between two looks of the first reader: what it finds is everywhere some 10 ms later.
  Duration reader_period{std::chrono::milliseconds(250)};
  /// Each further reader waits so much longer: long enough to hear of the look before, so that it
  /// looks only if the others before it have failed.
  Duration reader_stagger{std::chrono::milliseconds(100)};
  Duration follower_period{std::chrono::milliseconds(700)};  ///< Silence before it asks a reader.
  Duration retry_delay{std::chrono::milliseconds(300)};      ///< After a look that failed.
  /// The pause after failed looks in a row grows up to this, in a large fleet further up to
  /// `max_refresh_age`: of many nodes one will soon succeed, and tell the others.
  Duration max_retry_delay{std::chrono::milliseconds(1200)};
  /// A node waits up to this long before it fetches what it lacks from another: many may at once.
  Duration fetch_spread{std::chrono::milliseconds(100)};
  /// Between two fetches of what changed; of whole views, which are large, half a period at least.
  Duration fetch_interval{std::chrono::milliseconds(500)};
  Duration peer_request_delay{
      std::chrono::milliseconds(250)};                       ///< Before a peer is asked for a view.
  Duration relist_spread{std::chrono::milliseconds(200)};    ///< Before a listing out of turn.
  Duration max_refresh_age{std::chrono::milliseconds(150)};  ///< Age at which refresh() asks again.
  /// For this long a request waits for a look: callers count in hundreds of milliseconds, and a
  /// look takes some ten while the store is well.
  Duration refresh_timeout{std::chrono::milliseconds(400)};
  /// Whether a node that starts lists the whole store at once, however large: the others ask the
  /// nodes that do.
  bool lists_immediately = false;
};

/// Settings by which each node's view is never older than `bound`, with time to spare for a slow
/// answer and a second try.
FleetWatcherSettings settings_for_staleness_bound(Duration bound);

/// How much longer than the period a node waits, from a draw in [0, 1). Late draws are likelier the
/// more nodes there are, so that seldom two look before the first one's update has reached the
/// second: about the logarithm of `nodes` do, where even draws would let a share of all.
Duration poll_spread_delay(Duration spread, std::uint32_t nodes, double uniform);

/// From the time as of which the view is current to the next look.
Duration poll_delay(const FleetWatcherSettings& settings, const ReadingAssignment& assignment,
                    std::uint32_t nodes, double uniform);

/// After `failed` looks in a row; nodes that failed together try again apart.
Duration failed_poll_delay(const FleetWatcherSettings& settings, std::uint32_t failed,
                           std::uint32_t nodes, double uniform);

/// How long a node that starts in a fleet of at least `nodes` asks others for their view before it
/// lists the whole store itself.
Duration listing_delay(const FleetWatcherSettings& settings, std::uint32_t nodes, double uniform);

}  // namespace ochrespring::discovery
