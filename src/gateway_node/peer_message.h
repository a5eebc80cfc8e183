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

using WorkReportToRelay = ToRelay<peer_load::WorkReport>;
using CrashReportBatchToRelay = ToRelay<quarantine::CrashReportBatch>;
using ViewUpdateToRelay = ToRelay<discovery::ViewUpdate>;
using NodeLeavingToRelay = ToRelay<NodeLeaving>;
using LimitReportToRelay = ToRelay<rate_limit::LimitReport>;
using BackendNoticeToRelay = ToRelay<admission::BackendNotice>;
using ProfileReportToRelay = ToRelay<engine_profiles::ProfileReport>;

/// In the place of a message that nodes of earlier builds send and this build does not read: their
/// revisions name no life of the store. It is never sent, and taken for no message when it comes.
template <int kPlace>
struct RetiredMessage {
  template <class Archive>
  void serialize(Archive& /*archive*/, unsigned /*version*/) {}
};

/// Each stands for itself: it may be lost, doubled or late. The place of an alternative is its name
/// on the wire: builds that run side by side do not read what they do not know, so a message whose
/// form changes gets a new place at the end.
using PeerMessage =
    std::variant<peer_load::WorkReport, RetiredMessage<1>, peer_load::PartsRequest, ViewOffer,
                 WorkReportToRelay, peer_load::RelayedReport, RetiredMessage<6>, usage::UsageReport,
                 quarantine::CrashReportBatch, CrashReportBatchToRelay, discovery::ViewUpdate,
                 ViewUpdateToRelay, NodeLeaving, NodeLeavingToRelay, rate_limit::LimitReport,
                 LimitReportToRelay, rate_limit::PermitRequest, rate_limit::PermitReply,
                 admission::BackendNotice, BackendNoticeToRelay, quarantine::HorizonRequest,
                 quarantine::HorizonReport, discovery::PositionReport, discovery::HistoryReport,
                 engine_profiles::ProfileReport, ProfileReportToRelay,
                 engine_profiles::RelayedProfileReports>;

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
