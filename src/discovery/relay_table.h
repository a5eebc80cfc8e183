// Which nodes pass news on to the nodes of their zone.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "discovery/node_directory.h"
#include "discovery/node_record.h"

namespace ochrespring::discovery {

struct RelayOptions {
  /// From this many nodes on news goes by relays; below, each node tells all others itself.
  std::uint32_t min_nodes = 0;
};

/// Two relays a zone, the same on all nodes that know the same nodes: those with the fastest links,
/// and of these the first by rendezvous hashing, so that a node that comes or goes moves few
/// relays. Each of the two passes on all that it is told, so that one that falls silent costs
/// nothing but the news of its own turns.
///
/// A reader of the directory; one loop. Computed anew when the directory has changed.
class RelayTable {
 public:
  /// Per zone: one may fail while the other goes on.
  static constexpr std::size_t kRelaysPerZone = 2;

  RelayTable(const NodeDirectory& nodes, RelayOptions options) : nodes_(nodes), options_(options) {}

  /// Whether news goes by relays.
  bool in_use() const { return nodes_.count() >= options_.min_nodes; }
  /// The relays of all zones, `kRelaysPerZone` of each in order of rank, fewer of a zone that has
  /// fewer nodes; this node may be one.
  const std::vector<std::vector<NodeRecord>>& relays() const;
  /// The other nodes of this node's zone, those included whose registration went a short while ago:
  /// while the store turns a third of the machines away they stay current by what they are told.
  const std::vector<NodeRecord>& zone_members() const;

 private:
  void update() const;

  const NodeDirectory& nodes_;
  RelayOptions options_;
  mutable std::uint64_t version_ = 0;  ///< Of the directory, at the last update.
  mutable std::vector<std::vector<NodeRecord>> relays_;
  mutable std::vector<NodeRecord> zone_members_;
};

}  // namespace ochrespring::discovery
