// What this node tells other nodes and hears from them: work at engines, changes of the fleet, and
// who has a view to give.
#pragma once

#include <functional>
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
  Endpoint peer_address;  ///< Where other nodes reach this one.
  Endpoint view_address;  ///< Where they get its view; empty: nowhere.
  discovery::RelayOptions relays;
  Duration relay_batch_window{};  ///< How long a relay gathers work before it tells its zone.
};

/// Ties the load table and the watcher to the channel between nodes. Does no input or output
/// itself: `send` takes the datagrams, receive() those of others. One loop.
class PeerExchange {
 public:
  /// References outlive it.
  struct Dependencies {
    const Clock& clock;
    TimerService& timers;
    RandomSource& random;
    const gateway::FleetState& fleet;
    gateway::LoadTable& loads;
    discovery::NodeDirectory& nodes;
    discovery::FleetWatcher& watcher;
  };

  /// `on_offer` is called when another node offers its view at an address.
  PeerExchange(Dependencies deps, PeerExchangeOptions options, PeerChannel::Send send,
               std::function<void(const Endpoint& view_address)> on_offer);

  /// See PeerChannel::receive().
  void receive(std::string_view datagram, Duration waited = {}) {
    channel_.receive(datagram, waited);
  }
  /// Asks some nodes what they believe engines to keep.
  void request_cached_parts();
  /// Asks another node how far back its knowledge of crashing requests reaches, and for that.
  void request_horizon();
  /// The store is lost or regained: while it is out this node offers its view again and again.
  void on_store_state(bool reachable);
  /// A back end has gone.
  void forget(const gateway::BackendId& backend) { peer_work_.forget(backend); }
  void add_metrics(metrics::SampleSink& sink) const;
  /// This node takes no more requests. Told again and again until the process ends: a datagram may
  /// be lost, and a node that starts meanwhile may find the registration in a store that has been
  /// out. `registered` is asked each time for the newest registration that this node knows to be
  /// its own: a write may be done late, and a newer registration than the one told of is taken for
  /// that of a process started since.
  void announce_leaving(std::function<shared_store::StoreRevision()> registered);
  void announce_leaving(shared_store::StoreRevision registered) {
    announce_leaving([registered] { return registered; });
  }
  void broadcast_usage(const usage::UsageReport& report) { channel_.broadcast_usage(report); }
  /// `callback` takes other nodes' usage.
  void on_usage(std::function<void(const usage::UsageReport&)> callback) {
    usage_ = std::move(callback);
  }
  /// News of requests under which servers have ended; `to_relay`: to be passed on to the zone.
  struct CrashHandlers {
    std::function<void(const quarantine::CrashReportBatch&)> receive;
    std::function<void(const quarantine::CrashReportBatch&)> receive_for_relay;
    /// A node that has started is to be told all, by calls of `send`.
    std::function<void(const std::function<void(const quarantine::CrashReportBatch&)>& send)>
        send_all;
    std::function<void(const quarantine::HorizonReport&)> receive_horizon;
    std::function<quarantine::HorizonReport()> horizon;
  };
  void on_crashes(CrashHandlers handlers) { crashes_ = std::move(handlers); }
  void broadcast_crashes(const quarantine::CrashReportBatch& news) {
    channel_.broadcast_crashes(news);
  }
  void broadcast_crashes_to_zone(const quarantine::CrashReportBatch& news) {
    channel_.broadcast_crashes_to_zone(news);
  }
  /// News of back ends' rate limits, and permits for sends to them.
  struct LimitHandlers {
    std::function<void(const rate_limit::LimitReport&)> receive;
    std::function<void(const rate_limit::PermitRequest&)> receive_request;
    std::function<void(const rate_limit::PermitReply&)> receive_reply;
    /// A node that has started is to be told all, by calls of `send`.
    std::function<void(const std::function<void(const rate_limit::LimitReport&)>& send)> send_all;
  };
  void on_limits(LimitHandlers handlers) { limits_ = std::move(handlers); }
  void broadcast_limits(const rate_limit::LimitReport& news) { channel_.broadcast_limits(news); }
  /// News of back ends that ask for less.
  struct NoticeHandlers {
    std::function<void(const admission::BackendNotice&)> receive;
    /// A node that has started is to be told all, by calls of `send`.
    std::function<void(const std::function<void(const admission::BackendNotice&)>& send)> send_all;
  };
  void on_notices(NoticeHandlers handlers) { notices_ = std::move(handlers); }
  void broadcast_notice(const admission::BackendNotice& notice) {
    channel_.broadcast_notice(notice);
  }
  /// News of how fast engines work.
  struct ProfileHandlers {
    std::function<void(const engine_profiles::ProfileReport&)> receive;
    std::function<void(const engine_profiles::ProfileReport&)> receive_for_relay;
    std::function<void(const engine_profiles::RelayedProfileReports&)> receive_relayed;
    /// A node that has started is to be told all, by calls of `send`.
    std::function<void(const std::function<void(const engine_profiles::ProfileReport&)>& send)>
        send_all;
  };
  void on_profiles(ProfileHandlers handlers) { profiles_ = std::move(handlers); }
  void broadcast_profiles(const engine_profiles::ProfileReport& news) {
    channel_.broadcast_profiles(news);
  }
  void broadcast_profiles_to_zone(const engine_profiles::RelayedProfileReports& relayed) {
    channel_.broadcast_profiles_to_zone(relayed);
  }
  /// To one node.
  void send(const Endpoint& to, const PeerMessage& message) { channel_.send(to, message); }
  const PeerChannel& channel() const { return channel_; }
  bool is_relay() const { return channel_.is_relay(); }

 private:
  PeerHandlers make_handlers();
  void listen_to_loads();
  /// Whether a registered back end is a model engine; only of these nodes tell each other.
  bool is_engine(const gateway::BackendId& id) const;
  void receive_work(const peer_load::WorkReport& report);
  void receive_relayed_work(const peer_load::WorkReport& sums);
  /// What a report tells besides work: how attempts ended, silence, prompt parts.
  void apply_observations(const peer_load::WorkReport& report, MonotonicTime now);
  void send_cached_parts(const peer_load::PartsRequest& request);
  void send_all_crashes(const Endpoint& to);
  void answer(const quarantine::HorizonRequest& request);
  void offer_view();
  /// Work of all nodes, this one included, that have told this one.
  gateway::EngineWorkload work_of_all(const gateway::BackendId& engine) const;

  Dependencies deps_;
  PeerExchangeOptions options_;
  std::function<void(const Endpoint&)> on_offer_;
  std::function<void(const usage::UsageReport&)> usage_;
  CrashHandlers crashes_;
  LimitHandlers limits_;
  NoticeHandlers notices_;
  ProfileHandlers profiles_;
  PeerChannel channel_;
  peer_load::PeerWork peer_work_;
  peer_load::WorkAnnouncer announcer_;
  peer_load::WorkAnnouncer relay_;  ///< Adds up what this node is told to relay.
  Timer offer_timer_;
  Timer leaving_timer_;
};

}  // namespace ochrespring::gateway_node
