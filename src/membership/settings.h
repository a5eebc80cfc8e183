// Settings of the membership protocol.
#pragma once

#include <chrono>
#include <cstddef>
#include <vector>

#include "base/ids.h"
#include "base/time.h"

namespace ochrespring::membership {

/// Periods and bounds. The defaults detect a dead node in a few seconds at some 500 bytes a second.
struct MembershipSettings {
  std::vector<Endpoint> seeds;  ///< Asked first when the node knows nobody.

  Duration tick{std::chrono::milliseconds(200)};  ///< Dissemination round.
  Duration probe_interval{std::chrono::seconds(1)};
  Duration probe_timeout{std::chrono::milliseconds(400)};  ///< Then indirect probes are sent.
  std::size_t indirect_probes = 3;
  std::size_t far_neighbours = 3;    ///< Members of other zones this node talks to.
  double remote_probe_share = 0.25;  ///< Of probes, to members of other zones.

  Duration suspicion{std::chrono::seconds(3)};        ///< With enough accusers.
  double lone_suspicion_factor = 2.0;                 ///< Times longer with a single accuser.
  std::size_t accusers_needed = 3;                    ///< For the short suspicion.
  Duration pause_threshold{std::chrono::seconds(1)};  ///< A later tick means this node was paused.

  std::size_t gossip_fanout = 3;               ///< Members told per round, while there is news.
  std::size_t message_bytes = 1200;            ///< Bound of updates in one message.
  std::size_t gossip_bytes_per_second = 2000;  ///< Bound of news sent on gossip rounds.
  Duration reconcile_interval{std::chrono::seconds(10)};  ///< Anti-entropy with one member.
  std::size_t reconcile_buckets = 4;                      ///< Buckets sent in one answer.

  /// Reads of the machine list, over all nodes together.
  Duration machine_list_interval{std::chrono::seconds(5)};
  Duration isolated_list_interval{std::chrono::seconds(3)};  ///< By a node that knows nobody.

  Duration tombstone_retention{std::chrono::hours(4)};  ///< Longer than a lost region link.
  std::size_t tombstones = 2048;                        ///< Bound; the oldest go first.
};

}  // namespace ochrespring::membership
