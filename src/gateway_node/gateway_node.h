// One node: its listeners, its view of the fleet, its gateway, and its planned stop.
#pragma once

#include <memory>
#include <string>

#include "base/random.h"
#include "base/timer.h"
#include "discovery/fleet_watcher.h"
#include "discovery/node_registration.h"
#include "gateway/cache_survey.h"
#include "gateway/gateway.h"
#include "gateway_node/adapter.h"
#include "gateway_node/peer_channel.h"
#include "gateway_node/settings.h"
#include "gateway_node/stop_sequence.h"
#include "gateway_node/view_exchange.h"
#include "http/client.h"
#include "http/event_loop.h"
#include "http/server.h"
#include "logging/logger.h"
#include "metrics/metrics.h"
#include "peer_load/peer_work.h"
#include "peer_load/work_announcer.h"

namespace ochrespring::gateway_node {

/// Everything runs on one loop; only the signal handlers' post() comes from another thread.
class GatewayNode {
 public:
  GatewayNode(http::EventLoop& loop, http::Client& client, const Clock& clock, RandomSource& random,
              logging::Logger& logger, Settings settings, Adapter adapter);

  /// Binds all addresses and starts to watch the store.
  Result<void, http::HttpError> start();
  /// Stop signal: leaves the directory, announces the close of connections, and ends the loop when
  /// callers have had time to notice and the last request has ended, or when the grace is over.
  void stop();
  /// Reload signal, or the settings file has changed.
  void reload(const Settings& settings);

 private:
  Result<void, http::HttpError> listen_to_peers();
  PeerHandlers make_peer_handlers();
  /// Whether a registered back end is a model engine; only of these nodes tell each other.
  bool is_engine(const gateway::BackendId& id) const;
  void take_work(const peer_load::WorkReport& report);
  void take_relayed_work(const peer_load::WorkReport& sums);
  /// What a report tells besides work: how attempts ended, silence, prompt parts.
  void take_observations(const peer_load::WorkReport& report, MonotonicTime now);
  void tell_parts(const peer_load::PartsRequest& request);
  /// Work of all nodes, this one included, that have told this one.
  gateway::EngineWorkload work_of_all(const gateway::BackendId& engine) const;
  /// Again and again while the store is out.
  void offer_view();
  /// Once, when this node first knows the fleet: learns what engines keep.
  void learn_cached_parts();
  void add_metrics(metrics::SampleSink& sink) const;
  void add_peer_metrics(metrics::SampleSink& sink) const;
  void fetch_body(http::ClientRequest request, std::function<void(std::string body)> done);
  void apply_limits();
  void leave();
  void finish();

  http::EventLoop& loop_;
  const Clock& clock_;
  RandomSource& random_;
  logging::Logger& logger_;
  Settings settings_;
  Adapter adapter_;
  http::Client& client_;
  gateway::FleetState fleet_;
  gateway::LoadTable loads_;
  gateway::Placement placement_;
  gateway::RetryBudget budget_;
  gateway::SharePicker shares_;
  gateway::GatewayStatistics statistics_;
  gateway::HttpBackendTransport transport_;
  discovery::NodeRecord self_;
  discovery::NodeDirectory nodes_;
  discovery::FleetWatcher watcher_;
  discovery::NodeRegistration registration_;
  peer_load::PeerWork peer_work_;
  PeerChannel peers_;
  peer_load::WorkAnnouncer announcer_;
  peer_load::WorkAnnouncer relay_;  ///< Adds up what this node is told to relay.
  ViewExchange views_;
  Timer offer_timer_;
  gateway::CacheSurvey survey_;
  bool asked_peers_ = false;
  gateway::Gateway gateway_;
  http::Server callers_;
  http::Server ready_;
  http::Server directory_;
  std::unique_ptr<http::Server> metrics_server_;
  metrics::MetricsRegistry metrics_;
  StopSequence stop_;
};

}  // namespace ochrespring::gateway_node
