// Messages that gateway nodes send each other as datagrams.
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
#include "stream_records/types.h"
#include "usage/types.h"

namespace ochrespring::gateway_node {

/// Offers the sender's view of the fleet. Sent while the store is unreachable, because a node that
/// has just started may know no node to ask.
struct ViewOffer {
  Endpoint view_address;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& view_address;
  }
};

/// Announces that a node is stopping and must not be chosen for new requests, although it still
/// serves those that arrive. The node also removes its registration, but that requires a reachable
/// store.
struct NodeLeaving {
  NodeId node;
  shared_store::StoreRevision registered;  ///< Revision of its registration.

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& node;
    archive& registered;
  }
};

/// A message that a relay passes on to the nodes of its zone.
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

/// Holds the index of a message that earlier builds send and this build ignores, because its
/// revisions contain no store era or its back ends no software version. Never sent.
template <int kIndex>
struct RetiredMessage {
  template <class Archive>
  void serialize(Archive& /*archive*/, unsigned /*version*/) {}
};

/// Any message may be lost, duplicated or delayed, so each is independent of the others. The index
/// of an alternative identifies it on the wire. Builds that run side by side ignore unknown
/// indices, so a message whose format changes gets a new index at the end.
using PeerMessage =
    std::variant<peer_load::WorkReport, RetiredMessage<1>, peer_load::PartsRequest, ViewOffer,
                 WorkReportToRelay, peer_load::RelayedReport, RetiredMessage<6>, usage::UsageReport,
                 quarantine::CrashReportBatch, CrashReportBatchToRelay, RetiredMessage<10>,
                 RetiredMessage<11>, NodeLeaving, NodeLeavingToRelay, rate_limit::LimitReport,
                 LimitReportToRelay, rate_limit::PermitRequest, rate_limit::PermitReply,
                 admission::BackendNotice, BackendNoticeToRelay, quarantine::HorizonRequest,
                 quarantine::HorizonReport, discovery::PositionReport, discovery::HistoryReport,
                 engine_profiles::ProfileReport, ProfileReportToRelay,
                 engine_profiles::RelayedProfileReports, discovery::ViewUpdate, ViewUpdateToRelay,
                 stream_records::StreamRecord, stream_records::RecordQuery,
                 stream_records::RecordReply, stream_records::SoftwareHistoryReport>;

/// Metric labels of the alternatives of PeerMessage, in order.
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
    "view_update_without_versions",
    "update_to_relay_without_versions",
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
    "relayed_profile_news",
    "view_update",
    "update_to_relay",
    "stream_record",
    "stream_record_query",
    "stream_record_reply",
    "software_history"};

}  // namespace ochrespring::gateway_node
