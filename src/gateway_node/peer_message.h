// Datagrams between gateway nodes.
#pragma once

#include <array>
#include <cstddef>
#include <variant>

#include "admission/types.h"
#include "discovery/view_update.h"
#include "engine_profiles/types.h"
#include "peer_load/types.h"
#include "quarantine/types.h"
#include "rate_limit/types.h"
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

/// A node takes no more requests. Its registration goes, too, but only if the store answers.
struct NodeLeaving {
  NodeId node;
  shared_store::StoreRevision registered;  ///< When it wrote its registration.

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& node;
    archive& registered;
  }
};

/// For a relay to pass on to the nodes of its zone.
template <class Message>
struct ToRelay {
  Message message;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& message;
  }
};

using ReportToRelay = ToRelay<peer_load::WorkReport>;
using CrashNewsToRelay = ToRelay<quarantine::CrashReportBatch>;
using UpdateToRelay = ToRelay<discovery::ViewUpdate>;
using NodeLeavingToRelay = ToRelay<NodeLeaving>;
using LimitNewsToRelay = ToRelay<rate_limit::LimitNews>;
using BackendNoticeToRelay = ToRelay<admission::BackendNotice>;
using ProfileNewsToRelay = ToRelay<engine_profiles::ProfileNews>;

/// In the place of a message that nodes of earlier builds send and this build does not read: their
/// revisions name no life of the store. It is never sent, and taken for no message when it comes.
template <int kPlace>
struct FormerMessage {
  template <class Archive>
  void serialize(Archive& /*archive*/, unsigned /*version*/) {}
};

/// Each stands for itself: it may be lost, doubled or late. The place of an alternative is its name
/// on the wire: builds that run side by side do not read what they do not know, so a message whose
/// form changes gets a new place at the end.
using PeerMessage = std::variant<
    peer_load::WorkReport, FormerMessage<1>, peer_load::PartsRequest, ViewOffer, ReportToRelay,
    peer_load::RelayedReport, FormerMessage<6>, usage::UsageReport, quarantine::CrashReportBatch,
    CrashNewsToRelay, discovery::ViewUpdate, UpdateToRelay, NodeLeaving, NodeLeavingToRelay,
    rate_limit::LimitNews, LimitNewsToRelay, rate_limit::PermitRequest, rate_limit::PermitReply,
    admission::BackendNotice, BackendNoticeToRelay, quarantine::HorizonRequest,
    quarantine::HorizonReport, discovery::PositionNews, discovery::HistoryNews,
    engine_profiles::ProfileNews, ProfileNewsToRelay, engine_profiles::RelayedProfileNews>;

/// Names of the alternatives, in order, for metrics.
constexpr std::array<const char*, std::variant_size_v<PeerMessage>> kPeerMessageNames{
    "work_report",
    "former_view_update",
    "parts_request",
    "view_offer",
    "work_to_relay",
    "relayed_work",
    "former_update_to_relay",
    "usage_report",
    "crash_news",
    "crash_news_to_relay",
    "view_update",
    "update_to_relay",
    "node_leaving",
    "node_leaving_to_relay",
    "limit_news",
    "limit_news_to_relay",
    "permit_request",
    "permit_reply",
    "backend_notice",
    "backend_notice_to_relay",
    "horizon_request",
    "horizon_report",
    "position_news",
    "history_news",
    "profile_news",
    "profile_news_to_relay",
    "relayed_profile_news"};

}  // namespace ochrespring::gateway_node
