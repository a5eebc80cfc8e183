// What a node tells the others of itself in the store.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/ids.h"

namespace ochrespring::discovery {

struct NodeRecord {
  NodeId node;
  Endpoint address;  ///< Where callers reach it.
  ZoneName zone;
  Endpoint peer_address;        ///< Where other nodes reach it.
  std::uint32_t link_mbps = 0;  ///< Of its network link; 0: not known.
  Endpoint view_address{};      ///< Where other nodes get its view; empty: nowhere.

  bool operator==(const NodeRecord&) const = default;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& node;
    archive& address;
    archive& zone;
    archive& peer_address;
    archive& link_mbps;
    archive& view_address;
  }
};

}  // namespace ochrespring::discovery
