// Sends messages between the nodes, directly or through relays.
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

/// Counts the datagrams sent of one kind of message.
struct PeerTraffic {
  std::uint64_t datagrams = 0;
  std::uint64_t bytes = 0;                 ///< Without UDP and IP headers.
  std::uint64_t bytes_to_other_zones = 0;  ///< Part of `bytes` sent to other zones.
};

/// Handlers of incoming messages, called on the event loop.
struct PeerHandlers {
  std::function<void(const peer_load::WorkReport&)> work;
  /// Receives the sums over all nodes from a relay.
  std::function<void(const peer_load::WorkReport&)> relayed_work;
  /// As a relay, receives work to be summed for its zone. Work of other nodes is passed to `work`
  /// as well.
  std::function<void(const peer_load::WorkReport&)> work_to_relay;
  /// `covered`, if set, must be called once this node's view includes the update.
  std::function<void(const discovery::ViewUpdate&, std::function<void()> covered)> update;
  std::function<void(const discovery::PositionReport&)> position{};
  std::function<void(const discovery::HistoryReport&)> history{};
  std::function<void(const peer_load::PartsRequest&)> parts_request;
  std::function<void(const ViewOffer&)> offer;
  std::function<void(const usage::UsageReport&)> usage;
  std::function<void(const quarantine::CrashReportBatch&)> crashes;
  /// As a relay, also passes the reports on to the nodes of its zone.
  std::function<void(const quarantine::CrashReportBatch&)> crashes_to_relay;
  std::function<void(const quarantine::HorizonRequest&)> horizon_request{};
  std::function<void(const quarantine::HorizonReport&)> horizon_report{};
  std::function<void(const NodeLeaving&)> leaving;
  std::function<void(const rate_limit::LimitReport&)> limits{};
  std::function<void(const rate_limit::PermitRequest&)> permit_request{};
  std::function<void(const rate_limit::PermitReply&)> permit_reply{};
  std::function<void(const admission::BackendNotice&)> notice{};
  std::function<void(const engine_profiles::ProfileReport&)> profiles{};
  /// As a relay, also passes the report on to the nodes of its zone.
  std::function<void(const engine_profiles::ProfileReport&)> profiles_to_relay{};
  std::function<void(const engine_profiles::RelayedProfileReports&)> relayed_profiles{};
  std::function<void(const stream_records::StreamRecord&)> stream_record{};
  std::function<void(const stream_records::RecordQuery&)> record_query{};
  std::function<void(const stream_records::RecordReply&)> record_reply{};
  std::function<void(const stream_records::SoftwareHistoryReport&)> software_history{};
};

struct PeerChannelOptions {
  discovery::RelayOptions relays;
  /// Where other nodes fetch this node's view if they cannot apply an update; empty if it serves
  /// none.
  Endpoint view_address;
};

/// Broadcasts messages to the nodes of the fleet. In a small fleet every node sends to all others.
/// In a large one it sends to the relays of each zone, which pass the message on to the nodes of
/// their zone, so that the number of datagrams a node sends grows with the zones, not the nodes. A
/// node that is asked to relay does so even if it does not consider itself a relay, because nodes
/// may know different fleets for a while. Not thread-safe; used on one event loop.
class PeerChannel {
 public:
  /// Sends a datagram, which may be lost.
  using Send = std::function<void(const Endpoint& to, std::string_view bytes)>;

  PeerChannel(const discovery::NodeDirectory& nodes, PeerChannelOptions options,
              PeerHandlers handlers, Send send)
      : nodes_(nodes),
        relays_(nodes, options.relays),
        view_address_(std::move(options.view_address)),
        handlers_(std::move(handlers)),
        send_(std::move(send)) {}

  /// Handles a datagram, which may be from any sender. `waited` is an upper bound of the time for
  /// which it was queued while this process did not run.
  void receive(std::string_view bytes, Duration waited = {});

  /// Broadcasts a change of this node's own work to every node, in a large fleet to the relays.
  void broadcast_work(const peer_load::WorkReport& report);
  /// As a relay, sends the sums to the nodes of its zone.
  void broadcast_relayed_work(const peer_load::WorkReport& sums);
  /// Broadcasts the result of this node's poll of the store to every node.
  void broadcast_update(discovery::ViewUpdate update);
  /// Sends to all nodes that poll the store: every node, or in a large fleet every relay.
  void broadcast_position(const discovery::PositionReport& report) { broadcast_to_relays(report); }
  void broadcast_history(const discovery::HistoryReport& report) { broadcast_to_relays(report); }
  /// Sends to every node. In a large fleet each node sends the offer to the relays of its zone, and
  /// a relay to all nodes of its zone, so that a relay that has just started learns of a view from
  /// any node, and any node from a relay.
  void broadcast_offer(const ViewOffer& offer);
  /// Sends to all nodes that may hold the duties: every node, or in a large fleet every relay.
  void broadcast_usage(const usage::UsageReport& report) { broadcast_to_relays(report); }
  /// Sends to every node, in a large fleet through the relays.
  void announce_leaving(const NodeLeaving& leaving);
  /// Sends to every node, in a large fleet through the relays.
  void broadcast_crashes(const quarantine::CrashReportBatch& batch);
  /// Sends to every node, in a large fleet through the relays.
  void broadcast_limits(const rate_limit::LimitReport& report);
  /// Sends to every node, in a large fleet through the relays.
  void broadcast_notice(const admission::BackendNotice& notice);
  /// Sends to every node, in a large fleet through the relays, which combine the reports of other
  /// nodes.
  void broadcast_profiles(const engine_profiles::ProfileReport& report);
  /// As a relay, sends to the nodes of its zone.
  void broadcast_profiles_to_zone(const engine_profiles::RelayedProfileReports& reports) {
    send_to(relays_.zone_members(), reports);
  }
  /// As a relay, sends to the nodes of its zone.
  void broadcast_crashes_to_zone(const quarantine::CrashReportBatch& batch);
  /// Sends to one node, which this node need not know.
  void send(const Endpoint& to, const PeerMessage& message);

  /// Returns whether this node is a relay of its zone, according to its own directory.
  bool is_relay() const;
  /// Returns whether this node receives the usage of all nodes; see broadcast_usage().
  bool receives_all_usage() const { return !relays_.in_use() || is_relay(); }
  /// Returns whether this node is the first of the relays of all zones. All nodes that know the
  /// same fleet agree on the first one.
  bool is_first_relay() const;
  /// Returns this node's part in reading the store. In a large fleet the relays are the readers,
  /// ranked with the first relay of each zone before the second ones.
  discovery::ReadingAssignment reading_assignment() const;
  /// Returns the other nodes of this node's zone, including those whose registration was removed
  /// recently, or all other nodes if there are none in the zone.
  std::vector<discovery::NodeRecord> nearby_nodes() const;
  const PeerTraffic& traffic(std::size_t kind) const { return traffic_[kind]; }

 private:
  using Nodes = std::vector<discovery::NodeRecord>;

  void dispatch(const peer_load::WorkReport& report) { handlers_.work(report); }
  void dispatch(const discovery::ViewUpdate& update) { handlers_.update(update, {}); }
  void dispatch(const discovery::PositionReport& report) { handlers_.position(report); }
  void dispatch(const discovery::HistoryReport& report) { handlers_.history(report); }
  void dispatch(const peer_load::PartsRequest& request) { handlers_.parts_request(request); }
  void dispatch(const ViewOffer& offer) { handlers_.offer(offer); }
  void dispatch(const usage::UsageReport& report) { handlers_.usage(report); }
  void dispatch(const quarantine::CrashReportBatch& batch) { handlers_.crashes(batch); }
  void dispatch(const CrashReportBatchToRelay& wrapped) {
    handlers_.crashes_to_relay(wrapped.message);
  }
  void dispatch(const quarantine::HorizonRequest& message) { handlers_.horizon_request(message); }
  void dispatch(const quarantine::HorizonReport& message) { handlers_.horizon_report(message); }
  void dispatch(const WorkReportToRelay& wrapped);
  void dispatch(const peer_load::RelayedReport& message) { handlers_.relayed_work(message.sums); }
  void dispatch(const ViewUpdateToRelay& wrapped);
  void dispatch(const NodeLeaving& message) { handlers_.leaving(message); }
  void dispatch(const NodeLeavingToRelay& wrapped);
  void dispatch(const rate_limit::LimitReport& message) { handlers_.limits(message); }
  void dispatch(const LimitReportToRelay& wrapped);
  void dispatch(const rate_limit::PermitRequest& message) { handlers_.permit_request(message); }
  void dispatch(const rate_limit::PermitReply& message) { handlers_.permit_reply(message); }
  void dispatch(const admission::BackendNotice& message) { handlers_.notice(message); }
  void dispatch(const BackendNoticeToRelay& wrapped);
  void dispatch(const engine_profiles::ProfileReport& message) { handlers_.profiles(message); }
  void dispatch(const ProfileReportToRelay& wrapped) {
    handlers_.profiles_to_relay(wrapped.message);
  }
  void dispatch(const engine_profiles::RelayedProfileReports& message) {
    handlers_.relayed_profiles(message);
  }
  void dispatch(const stream_records::StreamRecord& message) { handlers_.stream_record(message); }
  void dispatch(const stream_records::RecordQuery& message) { handlers_.record_query(message); }
  void dispatch(const stream_records::RecordReply& message) { handlers_.record_reply(message); }
  void dispatch(const stream_records::SoftwareHistoryReport& message) {
    handlers_.software_history(message);
  }
  template <int kIndex>
  void dispatch(const RetiredMessage<kIndex>& /*message*/) {}

  bool is_self(const discovery::NodeRecord& record) const {
    return record.node == nodes_.self().node;
  }
  /// Returns the relays of this node's zone.
  const Nodes& own_relays() const;
  /// Both encode the message once and skip this node itself.
  void send_to_others(const PeerMessage& message);
  void send_to(const Nodes& nodes, const PeerMessage& message);
  /// Sends to the relays of all zones, except this node.
  void send_to_relays(const PeerMessage& message);
  /// Sends to every node, or in a large fleet only to the relays.
  void broadcast_to_relays(const PeerMessage& message);
  /// Sends to every node; in a large fleet through the relays, which receive `ToRelay<Message>` and
  /// pass `message` on to their zones.
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
