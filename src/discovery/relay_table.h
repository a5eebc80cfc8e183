// Selects the nodes that relay broadcasts to the nodes of their zone.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "discovery/node_directory.h"
#include "discovery/node_record.h"

namespace ochrespring::discovery {

struct RelayOptions {
  /// From this many nodes on, broadcasts are relayed; below, each node sends to all others
  /// directly.
  std::uint32_t min_nodes = 0;
};

/// Selects two relays per zone, identically on all nodes that know the same nodes: those with the
/// fastest links, and among these the first by rendezvous hashing, so that an added or removed node
/// changes few relays. Each relay forwards everything it receives, so if one of the two fails,
/// only the reports that are sent alternately to one of them are lost.
///
/// Reads the directory and is recomputed when the directory has changed. Used on one event loop.
class RelayTable {
 public:
  /// One per zone may fail.
  static constexpr std::size_t kRelaysPerZone = 2;

  RelayTable(const NodeDirectory& nodes, RelayOptions options) : nodes_(nodes), options_(options) {}

  /// Returns whether broadcasts are relayed.
  bool in_use() const { return nodes_.count() >= options_.min_nodes; }
  /// Returns the relays of all zones, `kRelaysPerZone` of each in order of rank, or fewer for a
  /// zone with fewer nodes. May include this node.
  const std::vector<std::vector<NodeRecord>>& relays() const;
  /// Returns the other nodes of this node's zone, including those whose registration was removed
  /// recently: while the store rejects a third of the machines, these stay current through relayed
  /// updates.
  const std::vector<NodeRecord>& zone_members() const;

 private:
  void update() const;

  const NodeDirectory& nodes_;
  RelayOptions options_;
  mutable std::uint64_t version_ = 0;  ///< Version of the directory at the last update.
  mutable std::vector<std::vector<NodeRecord>> relays_;
  mutable std::vector<NodeRecord> zone_members_;
};

}  // namespace ochrespring::discovery
