// Datagrams between gateway nodes.
#pragma once

#include <variant>

#include "discovery/view_update.h"
#include "peer_load/types.h"

namespace ochrespring::gateway_node {

/// Sent to all while the store is out: a node that has just started may know nobody to ask.
struct ViewOffer {
  Endpoint view_address;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& view_address;
  }
};

/// Each stands for itself: it may be lost, doubled or late.
using PeerMessage =
    std::variant<peer_load::WorkReport, discovery::ViewUpdate, peer_load::PartsRequest, ViewOffer>;

}  // namespace ochrespring::gateway_node
