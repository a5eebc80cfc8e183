// Exchanges reports with other nodes: work at engines, updates of the fleet view, usage, crashes,
// rate limits, back-off notices, engine profiles, records of streams, and offers of views.
#pragma once

#include <functional>
#include <optional>
#include <string_view>

#include "base/random.h"
#include "base/timer.h"
#include "discovery/fleet_watcher.h"
#include "discovery/node_directory.h"
#include "gateway/fleet_state.h"
#include "gateway/load_table.h"
#include "gateway_node/peer_channel.h"
#include "metrics/metrics.h"
#include "peer_load/peer_work.h"
#include "peer_load/work_announcer.h"

namespace ochrespring::gateway_node {

struct PeerExchangeOptions {
  Endpoint peer_address;  ///< Where other nodes send datagrams to this one.
  Endpoint view_address;  ///< Where other nodes fetch this node's view; empty if it serves none.
  discovery::RelayOptions relays;
  /// Time for which a relay collects reports of work before it sends their sums to its zone.
  Duration relay_batch_window{};
};

/// Connects the load table, the fleet watcher and the handlers of other reports to the channel
/// between nodes. Performs no input or output itself: outgoing datagrams go to `send`, incoming
/// ones are passed to receive(). Not thread-safe; used on one event loop.
class PeerExchange {
 public:
  /// The referenced objects must outlive the PeerExchange.
  struct Dependencies {
    const Clock& clock;
    TimerService& timers;
    RandomSource& random;
    const gateway::FleetState& fleet;
    gateway::LoadTable& loads;
    discovery::NodeDirectory& nodes;
    discovery::FleetWatcher& watcher;
  };

  /// Calls `on_offer` with the address at which another node offers its view.
  PeerExchange(Dependencies deps, PeerExchangeOptions options, PeerChannel::Send send,
               std::function<void(const Endpoint& view_address)> on_offer);

  /// See PeerChannel::receive().
  void receive(std::string_view datagram, Duration waited = {}) {
    channel_.receive(datagram, waited);
  }
  /// Asks some nodes which prompt parts they assume engines to have cached. The nodes also reply
  /// with everything else that a node which has just started needs.
  void request_cached_parts();
  /// Asks another node for its crash reports and their horizon, which says how far back they are
  /// complete. The node replies only if its horizon reaches farther back than this node's.
  void request_horizon();
  /// Called when the store becomes unreachable or reachable. While it is unreachable, this node
  /// offers its view periodically.
  void on_store_state(bool reachable);
  /// Drops the reported work at a back end that was removed from the fleet view.
  void forget(const gateway::BackendId& backend) { peer_work_.forget(backend); }
  void add_metrics(metrics::SampleSink& sink) const;
  /// Announces that this node is stopping and must not be chosen for new requests, although it
  /// still serves those that arrive. Repeats this periodically until the process ends: a datagram
  /// may be lost, and a node that starts meanwhile may find the registration in a store that has
  /// been unreachable. `registered` is called each time and returns the revision of the newest
  /// registration that this node knows to be its own: a write may take effect late, and other nodes
  /// attribute a registration newer than the announced one to a process started since.
  void announce_leaving(std::function<shared_store::StoreRevision()> registered);
  void announce_leaving(shared_store::StoreRevision registered) {
    announce_leaving([registered] { return registered; });
  }
  void broadcast_usage(const usage::UsageReport& report) { channel_.broadcast_usage(report); }
  /// Sets the callback that receives the usage of other nodes.
  void on_usage(std::function<void(const usage::UsageReport&)> callback) {
    usage_ = std::move(callback);
  }
  /// Handlers of reports on requests that crashed back ends. `receive_for_relay` also passes the
  /// reports on to the zone.
  struct CrashHandlers {
    std::function<void(const quarantine::CrashReportBatch&)> receive;
    std::function<void(const quarantine::CrashReportBatch&)> receive_for_relay;
    /// Sends everything known to a node that has just started, by calls of `send`.
    std::function<void(const std::function<void(const quarantine::CrashReportBatch&)>& send)>
        send_all;
    std::function<void(const quarantine::HorizonReport&)> receive_horizon;
    std::function<quarantine::HorizonReport()> horizon;
  };
  void on_crashes(CrashHandlers handlers) { crashes_ = std::move(handlers); }
  void broadcast_crashes(const quarantine::CrashReportBatch& batch) {
    channel_.broadcast_crashes(batch);
  }
  void broadcast_crashes_to_zone(const quarantine::CrashReportBatch& batch) {
    channel_.broadcast_crashes_to_zone(batch);
  }
  /// Handlers of reports on back ends' rate limits, and of requests and replies for send permits.
  struct LimitHandlers {
    std::function<void(const rate_limit::LimitReport&)> receive;
    std::function<void(const rate_limit::PermitRequest&)> receive_request;
    std::function<void(const rate_limit::PermitReply&)> receive_reply;
    /// Sends everything known to a node that has just started, by calls of `send`.
    std::function<void(const std::function<void(const rate_limit::LimitReport&)>& send)> send_all;
  };
  void on_limits(LimitHandlers handlers) { limits_ = std::move(handlers); }
  void broadcast_limits(const rate_limit::LimitReport& report) {
    channel_.broadcast_limits(report);
  }
  /// Handlers of notices that back ends leave or ask for a back-off.
  struct NoticeHandlers {
    std::function<void(const admission::BackendNotice&)> receive;
    /// Sends everything known to a node that has just started, by calls of `send`.
    std::function<void(const std::function<void(const admission::BackendNotice&)>& send)> send_all;
  };
  void on_notices(NoticeHandlers handlers) { notices_ = std::move(handlers); }
  void broadcast_notice(const admission::BackendNotice& notice) {
    channel_.broadcast_notice(notice);
  }
  /// Handlers of reports on the measured speed of engines. `receive_for_relay` also passes the
  /// reports on to the zone.
  struct ProfileHandlers {
    std::function<void(const engine_profiles::ProfileReport&)> receive;
    std::function<void(const engine_profiles::ProfileReport&)> receive_for_relay;
    std::function<void(const engine_profiles::RelayedProfileReports&)> receive_relayed;
    /// Sends everything known to a node that has just started, by calls of `send`.
    std::function<void(const std::function<void(const engine_profiles::ProfileReport&)>& send)>
        send_all;
  };
  void on_profiles(ProfileHandlers handlers) { profiles_ = std::move(handlers); }
  void broadcast_profiles(const engine_profiles::ProfileReport& report) {
    channel_.broadcast_profiles(report);
  }
  void broadcast_profiles_to_zone(const engine_profiles::RelayedProfileReports& reports) {
    channel_.broadcast_profiles_to_zone(reports);
  }
  /// Handlers of records of begun streams, of queries and replies about them, and of the history of
  /// software versions.
  struct StreamRecordHandlers {
    std::function<void(const stream_records::StreamRecord&)> receive;
    std::function<void(const stream_records::RecordQuery&)> receive_query;
    std::function<void(const stream_records::RecordReply&)> receive_reply;
    std::function<void(const stream_records::SoftwareHistoryReport&)> receive_history;
    /// Calls `send`, now or soon, with what a node that has just started needs to know.
    std::function<void(std::function<void(const stream_records::SoftwareHistoryReport&)> send)>
        report_history;
  };
  void on_stream_records(StreamRecordHandlers handlers) { stream_records_ = std::move(handlers); }
  /// Sends a message to one node.
  void send(const Endpoint& to, const PeerMessage& message) { channel_.send(to, message); }
  const PeerChannel& channel() const { return channel_; }
  bool is_relay() const { return channel_.is_relay(); }

 private:
  PeerHandlers make_handlers();
  void observe_loads();
  /// Returns whether a registered back end is an engine; nodes report only work at engines.
  bool is_engine(const gateway::BackendId& id) const;
  void receive_work(const peer_load::WorkReport& report);
  void receive_relayed_work(const peer_load::WorkReport& sums);
  /// Applies what a report says besides the work in progress: ended attempts, unresponsive back
  /// ends and prefilled prompt parts.
  void apply_observations(const peer_load::WorkReport& report, MonotonicTime now);
  void send_initial_state(const peer_load::PartsRequest& request);
  void send_all_crashes(const Endpoint& to);
  void answer_horizon_request(const quarantine::HorizonRequest& request);
  void offer_view();
  /// Returns the work of this node and of all nodes that report to it directly.
  gateway::EngineWorkload total_work(const gateway::BackendId& engine) const;

  Dependencies deps_;
  PeerExchangeOptions options_;
  std::function<void(const Endpoint&)> on_offer_;
  std::function<void(const usage::UsageReport&)> usage_;
  CrashHandlers crashes_;
  LimitHandlers limits_;
  NoticeHandlers notices_;
  ProfileHandlers profiles_;
  StreamRecordHandlers stream_records_;
  PeerChannel channel_;
  peer_load::PeerWork peer_work_;
  peer_load::WorkAnnouncer announcer_;
  peer_load::WorkAnnouncer relay_announcer_;  ///< Sums the reports that this node relays.
  Timer offer_timer_;
  Timer leaving_timer_;
};

}  // namespace ochrespring::gateway_node
