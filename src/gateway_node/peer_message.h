// Datagrams between gateway nodes.
#pragma once

#include <variant>

#include "discovery/view_update.h"
#include "peer_load/types.h"

namespace ochrespring::gateway_node {

/// Each stands for itself: it may be lost, doubled or late.
using PeerMessage =
    std::variant<peer_load::WorkReport, discovery::ViewUpdate, peer_load::PartsRequest>;

}  // namespace ochrespring::gateway_node
