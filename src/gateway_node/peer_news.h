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

struct PeerNewsOptions {
  Endpoint peer_address;  ///< Where other nodes reach this one.
  Endpoint view_address;  ///< Where they get its view; empty: nowhere.
  discovery::RelayOptions relays;
  Duration relay_gather{};  ///< How long a relay gathers work before it tells its zone.
};

/// Ties the load table and the watcher to the channel between nodes. Does no input or output
/// itself: `send` takes the datagrams, receive() those of others. One loop.
class PeerNews {
 public:
  /// References outlive it.
  struct World {
    const Clock& clock;
    TimerService& timers;
    RandomSource& random;
    const gateway::FleetState& fleet;
    gateway::LoadTable& loads;
    discovery::NodeDirectory& nodes;
    discovery::FleetWatcher& watcher;
  };

  /// `on_offer` is called when another node offers its view at an address.
  PeerNews(World world, PeerNewsOptions options, PeerChannel::Send send,
           std::function<void(const Endpoint& view_address)> on_offer);

  /// See PeerChannel::receive().
  void receive(std::string_view datagram, Duration waited = {}) {
    channel_.receive(datagram, waited);
  }
  /// Asks some nodes what they believe engines to keep.
  void ask_for_parts();
  /// Asks another node how far back its knowledge of crashing requests reaches, and for that.
  void ask_for_horizon();
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
  void tell_leaving(std::function<shared_store::StoreRevision()> registered);
  void tell_leaving(shared_store::StoreRevision registered) {
    tell_leaving([registered] { return registered; });
  }
  void tell_usage(const usage::UsageReport& report) { channel_.tell_usage(report); }
  /// `callback` takes other nodes' usage.
  void on_usage(std::function<void(const usage::UsageReport&)> callback) {
    usage_ = std::move(callback);
  }
  /// News of requests under which servers have ended; `to_relay`: to be passed on to the zone.
  struct CrashHandlers {
    std::function<void(const quarantine::CrashReportBatch&)> take;
    std::function<void(const quarantine::CrashReportBatch&)> take_to_relay;
    /// A node that has started is to be told all, by calls of `send`.
    std::function<void(const std::function<void(const quarantine::CrashReportBatch&)>& send)>
        tell_all;
    std::function<void(const quarantine::HorizonReport&)> take_horizon;
    std::function<quarantine::HorizonReport()> horizon;
  };
  void on_crashes(CrashHandlers handlers) { crashes_ = std::move(handlers); }
  void tell_crashes(const quarantine::CrashReportBatch& news) { channel_.tell_crashes(news); }
  void tell_zone_crashes(const quarantine::CrashReportBatch& news) {
    channel_.tell_zone_crashes(news);
  }
  /// News of back ends' rate limits, and permits for sends to them.
  struct LimitHandlers {
    std::function<void(const rate_limit::LimitNews&)> take;
    std::function<void(const rate_limit::PermitRequest&)> take_request;
    std::function<void(const rate_limit::PermitReply&)> take_reply;
    /// A node that has started is to be told all, by calls of `send`.
    std::function<void(const std::function<void(const rate_limit::LimitNews&)>& send)> tell_all;
  };
  void on_limits(LimitHandlers handlers) { limits_ = std::move(handlers); }
  void tell_limits(const rate_limit::LimitNews& news) { channel_.tell_limits(news); }
  /// News of back ends that ask for less.
  struct NoticeHandlers {
    std::function<void(const admission::BackendNotice&)> take;
    /// A node that has started is to be told all, by calls of `send`.
    std::function<void(const std::function<void(const admission::BackendNotice&)>& send)> tell_all;
  };
  void on_notices(NoticeHandlers handlers) { notices_ = std::move(handlers); }
  void tell_notice(const admission::BackendNotice& notice) { channel_.tell_notice(notice); }
  /// News of how fast engines work.
  struct ProfileHandlers {
    std::function<void(const engine_profiles::ProfileNews&)> take;
    std::function<void(const engine_profiles::ProfileNews&)> take_to_relay;
    std::function<void(const engine_profiles::RelayedProfileNews&)> take_relayed;
    /// A node that has started is to be told all, by calls of `send`.
    std::function<void(const std::function<void(const engine_profiles::ProfileNews&)>& send)>
        tell_all;
  };
  void on_profiles(ProfileHandlers handlers) { profiles_ = std::move(handlers); }
  void tell_profiles(const engine_profiles::ProfileNews& news) { channel_.tell_profiles(news); }
  void tell_zone_profiles(const engine_profiles::RelayedProfileNews& relayed) {
    channel_.tell_zone_profiles(relayed);
  }
  /// To one node.
  void send(const Endpoint& to, const PeerMessage& message) { channel_.send(to, message); }
  const PeerChannel& channel() const { return channel_; }
  bool relays_here() const { return channel_.relays_here(); }

 private:
  PeerHandlers make_handlers();
  void listen_to_loads();
  /// Whether a registered back end is a model engine; only of these nodes tell each other.
  bool is_engine(const gateway::BackendId& id) const;
  void take_work(const peer_load::WorkReport& report);
  void take_relayed_work(const peer_load::WorkReport& sums);
  /// What a report tells besides work: how attempts ended, silence, prompt parts.
  void take_observations(const peer_load::WorkReport& report, MonotonicTime now);
  void tell_parts(const peer_load::PartsRequest& request);
  void tell_all_crashes(const Endpoint& to);
  void answer(const quarantine::HorizonRequest& request);
  void offer_view();
  /// Work of all nodes, this one included, that have told this one.
  gateway::EngineWorkload work_of_all(const gateway::BackendId& engine) const;

  World world_;
  PeerNewsOptions options_;
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
