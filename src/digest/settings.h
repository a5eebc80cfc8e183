// Settings of the digest component.
#pragma once

#include <chrono>
#include <cstddef>

#include "base/time.h"

namespace ochrespring::digest {

/// Periods and bounds.
struct DigestSettings {
  /// Fleets up to this many engines exchange every engine's load over all zones; larger ones only
  /// within a zone, and aggregates between zones.
  std::size_t full_detail_engines = 64;

  /// Each server is polled once a cycle; what was read reaches the whole group within the cycle.
  Duration cycle{std::chrono::milliseconds(750)};
  /// Bound of digest bytes this node sends, payload only. Below it reports are sent in full; near
  /// it they are coarsened, then the cycle is stretched; beyond it they wait.
  std::size_t bytes_per_second = 4500;

  Duration aggregate_interval{std::chrono::seconds(3)};  ///< Between zones of one region.
  std::size_t far_aggregate_factor = 2;                  ///< Times rarer between regions.
  Duration demand_interval{std::chrono::milliseconds(1500)};
  std::size_t missed_intervals = 4;  ///< After which an aggregate or a demand report is dropped.

  Duration load_expiry{std::chrono::seconds(10)};  ///< Older load is no longer given out.

  /// Reads of the machine list, over all nodes together.
  Duration machine_list_interval{std::chrono::seconds(1)};
  Duration shortest_machine_list_interval{std::chrono::seconds(2)};  ///< Of one node.
  Duration leaving_hold{
      std::chrono::seconds(30)};  ///< A leaving machine is not believed back before.
  Duration leaving_expiry{std::chrono::minutes(30)};
  std::size_t leaving_machines = 1024;  ///< Bound; the oldest go first.

  /// Cache events: bound of bytes one node adds a second. Zero turns them off.
  std::size_t cache_bytes_per_second = 600;
  Duration cache_poll_interval{std::chrono::seconds(1)};  ///< Per engine this node polls.
};

}  // namespace ochrespring::digest
