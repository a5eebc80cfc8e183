// Carries datagrams between the nodes, from each to all or by way of relays.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <string_view>
#include <utility>
#include <vector>

#include "discovery/node_directory.h"
#include "discovery/poll_schedule.h"
#include "discovery/relay_table.h"
#include "gateway_node/peer_message.h"

namespace ochrespring::gateway_node {

/// Datagrams sent of one kind.
struct PeerTraffic {
  std::uint64_t datagrams = 0;
  std::uint64_t bytes = 0;                 ///< Without the headers of UDP and IP.
  std::uint64_t bytes_to_other_zones = 0;  ///< Of these, to other zones.
};

/// What is done with what comes in; all on the loop.
struct PeerHandlers {
  std::function<void(const peer_load::WorkReport&)> work;
  /// Sums over all nodes, from a relay.
  std::function<void(const peer_load::WorkReport&)> relayed_work;
  /// Work that this node, as a relay, has to add up for its zone. Other nodes' work comes to
  /// `work` as well.
  std::function<void(const peer_load::WorkReport&)> work_to_relay;
  /// `covered`, if given, is to be called once this node has seen as much as the update tells.
  std::function<void(const discovery::ViewUpdate&, std::function<void()> covered)> update;
  std::function<void(const discovery::PositionReport&)> position{};
  std::function<void(const discovery::HistoryReport&)> history{};
  std::function<void(const peer_load::PartsRequest&)> parts_request;
  std::function<void(const ViewOffer&)> offer;
  std::function<void(const usage::UsageReport&)> usage;
  std::function<void(const quarantine::CrashReportBatch&)> crashes;
  /// As a relay: to be told to the nodes of its zone.
  std::function<void(const quarantine::CrashReportBatch&)> crashes_to_relay;
  std::function<void(const quarantine::HorizonRequest&)> horizon_request{};
  std::function<void(const quarantine::HorizonReport&)> horizon_report{};
  std::function<void(const NodeLeaving&)> leaving;
  std::function<void(const rate_limit::LimitReport&)> limits{};
  std::function<void(const rate_limit::PermitRequest&)> permit_request{};
  std::function<void(const rate_limit::PermitReply&)> permit_reply{};
  std::function<void(const admission::BackendNotice&)> notice{};
  std::function<void(const engine_profiles::ProfileReport&)> profiles{};
  /// As a relay: to be told to the nodes of its zone as well.
  std::function<void(const engine_profiles::ProfileReport&)> profiles_to_relay{};
  std::function<void(const engine_profiles::RelayedProfileReports&)> relayed_profiles{};
};

struct PeerChannelOptions {
  discovery::RelayOptions relays;
  /// Where other nodes fetch this node's view if they cannot join an update; empty: nowhere.
  Endpoint view_address;
};

/// In a small fleet every node tells all others. In a large one it tells the relays of each zone,
/// which tell the nodes of their zone: a node then sends a number of datagrams that follows the
/// zones, not the nodes. Whoever is asked to relay does so, whatever it believes itself: nodes may
/// know different fleets for a while. One loop.
class PeerChannel {
 public:
  /// Takes a datagram; it may be lost.
  using Send = std::function<void(const Endpoint& to, std::string_view bytes)>;

  PeerChannel(const discovery::NodeDirectory& nodes, PeerChannelOptions options,
              PeerHandlers handlers, Send send)
      : nodes_(nodes),
        relays_(nodes, options.relays),
        view_address_(std::move(options.view_address)),
        handlers_(std::move(handlers)),
        send_(std::move(send)) {}

  /// A datagram has come, from a node or from anybody else, and may have waited so long until this
  /// node ran again.
  void receive(std::string_view bytes, Duration waited = {});

  /// This node's own work has changed.
  void broadcast_work(const peer_load::WorkReport& report);
  /// As a relay: what the nodes of the zone are to know.
  void broadcast_relayed_work(const peer_load::WorkReport& sums);
  /// This node has looked at the store.
  void broadcast_update(discovery::ViewUpdate update);
  /// To all that look at the store: every node, or in a large fleet every relay.
  void broadcast_position(const discovery::PositionReport& news) { broadcast_to_relays(news); }
  void broadcast_history(const discovery::HistoryReport& news) { broadcast_to_relays(news); }
  void broadcast_offer(const ViewOffer& offer);
  /// To all that may come to hold the duties: every node, or in a large fleet every relay.
  void broadcast_usage(const usage::UsageReport& report) { broadcast_to_relays(report); }
  /// To every node, in a large fleet by its relays.
  void announce_leaving(const NodeLeaving& leaving);
  /// To every node, in a large fleet by its relays.
  void broadcast_crashes(const quarantine::CrashReportBatch& news);
  /// To every node, in a large fleet by its relays.
  void broadcast_limits(const rate_limit::LimitReport& news);
  /// To every node, in a large fleet by its relays.
  void broadcast_notice(const admission::BackendNotice& notice);
  /// To every node, in a large fleet by its relays, which gather what they pass on.
  void broadcast_profiles(const engine_profiles::ProfileReport& news);
  /// As a relay: to the nodes of the zone.
  void broadcast_profiles_to_zone(const engine_profiles::RelayedProfileReports& relayed) {
    send_to(relays_.zone_members(), relayed);
  }
  /// As a relay: to the nodes of the zone.
  void broadcast_crashes_to_zone(const quarantine::CrashReportBatch& news);
  /// To one node, which need not be known to this one.
  void send(const Endpoint& to, const PeerMessage& message);

  /// Whether this node is a relay of its zone, as far as it knows.
  bool is_relay() const;
  /// Whether this node is told all usage: see broadcast_usage().
  bool receives_all_usage() const { return !relays_.in_use() || is_relay(); }
  /// Whether this node comes first among the relays of all zones: every node that knows the same
  /// fleet names the same one.
  bool is_first_relay() const;
  /// The relays read the store for all: the first of each zone, then the second ones.
  discovery::ReadingAssignment reading_assignment() const;
  /// Nodes to ask first: of this node's zone, or all where the zone has no other.
  std::vector<discovery::NodeRecord> nearby_nodes() const;
  const PeerTraffic& traffic(std::size_t kind) const { return traffic_[kind]; }

 private:
  using Nodes = std::vector<discovery::NodeRecord>;

  void take(const peer_load::WorkReport& report) { handlers_.work(report); }
  void take(const discovery::ViewUpdate& update) { handlers_.update(update, {}); }
  void take(const discovery::PositionReport& news) { handlers_.position(news); }
  void take(const discovery::HistoryReport& news) { handlers_.history(news); }
  void take(const peer_load::PartsRequest& request) { handlers_.parts_request(request); }
  void take(const ViewOffer& offer) { handlers_.offer(offer); }
  void take(const usage::UsageReport& report) { handlers_.usage(report); }
  void take(const quarantine::CrashReportBatch& news) { handlers_.crashes(news); }
  void take(const CrashReportBatchToRelay& told) { handlers_.crashes_to_relay(told.message); }
  void take(const quarantine::HorizonRequest& told) { handlers_.horizon_request(told); }
  void take(const quarantine::HorizonReport& told) { handlers_.horizon_report(told); }
  void take(const WorkReportToRelay& told);
  void take(const peer_load::RelayedReport& told) { handlers_.relayed_work(told.sums); }
  void take(const ViewUpdateToRelay& told);
  void take(const NodeLeaving& told) { handlers_.leaving(told); }
  void take(const NodeLeavingToRelay& told);
  void take(const rate_limit::LimitReport& told) { handlers_.limits(told); }
  void take(const LimitReportToRelay& told);
  void take(const rate_limit::PermitRequest& told) { handlers_.permit_request(told); }
  void take(const rate_limit::PermitReply& told) { handlers_.permit_reply(told); }
  void take(const admission::BackendNotice& told) { handlers_.notice(told); }
  void take(const BackendNoticeToRelay& told);
  void take(const engine_profiles::ProfileReport& told) { handlers_.profiles(told); }
  void take(const ProfileReportToRelay& told) { handlers_.profiles_to_relay(told.message); }
  void take(const engine_profiles::RelayedProfileReports& told) {
    handlers_.relayed_profiles(told);
  }
  template <int kPlace>
  void take(const RetiredMessage<kPlace>& /*told*/) {}

  bool is_self(const discovery::NodeRecord& record) const {
    return record.node == nodes_.self().node;
  }
  /// The relays of this node's zone.
  const Nodes& own_relays() const;
  /// Both encode once for all and leave this node itself out.
  void send_to_others(const PeerMessage& message);
  void send_to(const Nodes& nodes, const PeerMessage& message);
  /// To the relays of all zones but this node itself.
  void send_to_relays(const PeerMessage& message);
  /// To every node, or in a large fleet to the relays alone.
  void broadcast_to_relays(const PeerMessage& message);
  /// In a large fleet by relays, which take `to_relay` and pass `message` on to their zones.
  template <class Message>
  void broadcast_to_all(const Message& message);
  void send_encoded(const Nodes& nodes, std::size_t kind, std::string_view bytes);
  void send_bytes(const discovery::NodeRecord& to, std::size_t kind, std::string_view bytes);

  const discovery::NodeDirectory& nodes_;
  discovery::RelayTable relays_;
  Endpoint view_address_;
  PeerHandlers handlers_;
  Send send_;
  std::array<PeerTraffic, std::variant_size_v<PeerMessage>> traffic_;
};

}  // namespace ochrespring::gateway_node
