// Who exchanges what with whom, worked out from the member table and the document alone, so that
// nodes need no agreement beyond those.
#pragma once

#include <cstdint>
#include <vector>

#include "digest/broadcast_tree.h"
#include "digest/load_record.h"
#include "digest/poll_assignment.h"
#include "digest/settings.h"
#include "fleet/types.h"
#include "membership/overlay.h"

namespace ochrespring::digest {

/// This node sends its zone's aggregate to a node of another zone.
struct LinkDuty {
  Endpoint to;
  bool far = false;  ///< To another region.
};

/// Everything that follows from one member table and one document.
struct Topology {
  BroadcastTree tree;
  std::vector<ServerLayout> group_servers;     ///< Whose load this node knows in full.
  std::vector<ServerLayout> assigned_servers;  ///< Polled by this node.
  std::vector<LinkDuty> links;
  std::vector<ZoneKey> zones;  ///< The own one, then those whose nodes are all lost, polled here.
  membership::Neighbours neighbours;  ///< For flooding rare news.
  std::size_t members = 1;            ///< Of the fleet.
  bool whole_fleet = true;            ///< The group is the fleet; there are no links.
  DetailLevel level = DetailLevel::kFull;
  Duration cycle{};
};

/// Hash of the living members' names and endpoints; the same hash gives the same topology.
std::uint64_t fingerprint(const std::vector<membership::Member>& members);

/// `layouts` are those of the document.
Topology make_topology(const membership::Member& self,
                       const std::vector<membership::Member>& members,
                       const std::vector<ServerLayout>& layouts, std::size_t engines,
                       const DigestSettings& settings);

}  // namespace ochrespring::digest
