// Datagrams between gateway nodes.
#pragma once

#include <array>
#include <cstddef>
#include <variant>

#include "discovery/view_update.h"
#include "peer_load/types.h"
#include "quarantine/types.h"
#include "usage/types.h"

namespace ochrespring::gateway_node {

/// Sent while the store is out: a node that has just started may know nobody to ask.
struct ViewOffer {
  Endpoint view_address;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& view_address;
  }
};

/// For a relay to pass on to the nodes of its zone as it stands.
struct UpdateToRelay {
  discovery::ViewUpdate update;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& update;
  }
};

/// Each stands for itself: it may be lost, doubled or late.
using PeerMessage =
    std::variant<peer_load::WorkReport, discovery::ViewUpdate, peer_load::PartsRequest, ViewOffer,
                 peer_load::ReportToRelay, peer_load::RelayedReport, UpdateToRelay,
                 usage::UsageReport, quarantine::CrashNews, quarantine::CrashNewsToRelay>;

/// Names of the alternatives, in order, for metrics.
constexpr std::array<const char*, std::variant_size_v<PeerMessage>> kPeerMessageNames{
    "work_report",  "view_update",     "parts_request", "view_offer", "work_to_relay",
    "relayed_work", "update_to_relay", "usage_report",  "crash_news", "crash_news_to_relay"};

}  // namespace ochrespring::gateway_node
