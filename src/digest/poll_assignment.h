// Which node polls which server: rendezvous hashing with a bound on the load of one node, so that
// churn moves few servers and no node is given many.
#pragma once

#include <cstdint>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "fleet/types.h"
#include "membership/member_view.h"

namespace ochrespring::digest {

/// Names a zone over all regions.
using ZoneKey = std::pair<RegionName, ZoneName>;

/// A server and its engines, in the order of the document.
struct ServerLayout {
  ServerId server;
  ZoneName zone;
  RegionName region;
  Endpoint endpoint;  ///< Of its first engine; answers for all of them.
  std::vector<EngineId> engines;
  std::vector<Endpoint> endpoints;  ///< Of the engines.
  std::uint32_t hash = 0;           ///< Of the name, 24 bits.
  std::uint8_t layout = 0;          ///< Of the engines' names.
};

/// Servers of a document, ordered by name.
std::vector<ServerLayout> server_layouts(const fleet::FleetDocument& document);

/// For each server the index of the member that polls it. A member gets at most a quarter more than
/// its even share. Empty if there are no members.
std::vector<std::size_t> assign_pollers(const std::vector<ServerLayout>& servers,
                                        const std::vector<membership::Member>& members);

}  // namespace ochrespring::digest
