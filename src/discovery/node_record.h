// A node's registration in the store.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/ids.h"

namespace ochrespring::discovery {

struct NodeRecord {
  NodeId node;
  Endpoint address;  ///< Where callers reach the node.
  ZoneName zone;
  Endpoint peer_address;        ///< Where other nodes reach it.
  std::uint32_t link_mbps = 0;  ///< Speed of its network link; 0 if unknown.
  Endpoint view_address{};      ///< Where other nodes fetch its view; empty if nowhere.

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
