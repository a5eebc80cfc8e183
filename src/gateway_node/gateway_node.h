// A gateway node: its listeners, its view of the fleet, its gateway and its planned stop.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "admission/admission_control.h"
#include "admission_queue/admission_queue.h"
#include "base/random.h"
#include "base/timer.h"
#include "discovery/fleet_watcher.h"
#include "discovery/node_registration.h"
#include "engine_profiles/engine_profile_table.h"
#include "engine_profiles/profile_exchange.h"
#include "gateway/cache_survey.h"
#include "gateway/gateway.h"
#include "gateway_node/node_duties.h"
#include "gateway_node/node_links.h"
#include "gateway_node/peer_exchange.h"
#include "gateway_node/platform_interfaces.h"
#include "gateway_node/settings.h"
#include "gateway_node/stop_sequence.h"
#include "gateway_node/view_exchange.h"
#include "http/caller_guard.h"
#include "http/client.h"
#include "http/event_loop.h"
#include "http/server.h"
#include "logging/logger.h"
#include "metrics/metrics.h"
#include "peer_load/datagram_socket.h"
#include "quarantine/quarantine.h"
#include "rate_limit/rate_limiter.h"
#include "run_inquiry/engine_run_inquiry.h"
#include "stream_records/history_keeper.h"
#include "stream_records/stream_records.h"

namespace ochrespring::gateway_node {

/// Runs the parts of one gateway node and connects them to each other. Not thread-safe; used on one
/// event loop, to which signal handlers post their calls.
class GatewayNode {
 public:
  GatewayNode(http::EventLoop& loop, http::Client& client, const Clock& clock, RandomSource& random,
              logging::Logger& logger, Settings settings, PlatformInterfaces platform);

  /// Binds all addresses and starts watching the store. Returns an error if an address cannot be
  /// bound.
  Result<void, http::HttpError> start();
  /// Handles the stop signal: leaves the directory, announces the close of connections, and stops
  /// the event loop once callers have had time to notice and the last request has ended, or when
  /// the grace period is over.
  void stop();
  /// Applies the retry budget, the stop grace period and the queue limits of `settings`, after a
  /// reload signal or a change of the settings file. Other changes require a restart.
  void reload(const Settings& settings);
  /// Returns the bound address for callers' requests. Call only after start().
  Endpoint caller_address() const { return caller_server_.bound(); }

 private:
  Result<void, http::HttpError> listen_to_peers();
  void rewrite_store_entries();
  void connect_quarantine();
  void connect_admission();
  void connect_profiles();
  /// Brings what this node knows of software up to date as of a moment, if it can, and calls back.
  void confirm_software(MonotonicTime as_of, std::function<void()> done);
  void connect_stream_records();
  /// Returns the view addresses of the nodes known so far.
  std::vector<Endpoint> known_view_addresses() const;
  /// Starts the survey of cached prompt parts and requests the state of other nodes, once this node
  /// knows the fleet. Called again until the survey has begun.
  void request_initial_state();
  void add_metrics(metrics::SampleSink& sink) const;
  using EngineCallback = std::function<void(Result<http::Response, http::FetchFailure>)>;
  void call_engine(const gateway::BackendId& engine, http::ClientRequest request,
                   EngineCallback done);
  void fetch_from_engine(const gateway::BackendId& engine, http::ClientRequest request,
                         std::function<void(std::string body)> done);
  void apply_limits();
  void log_caller_limit(http::CallerLimit limit);
  std::vector<logging::Field> request_count_fields() const;
  void leave();
  void end_requests();
  void finish();

  http::EventLoop& loop_;
  const Clock& clock_;
  logging::Logger& logger_;
  Settings settings_;
  PlatformInterfaces platform_;
  http::Client& client_;
  http::CallerGuard caller_guard_;
  gateway::FleetState fleet_;
  gateway::LoadTable loads_;
  engine_profiles::EngineProfileTable profiles_;
  gateway::Placement placement_;
  gateway::RetryBudget retry_budget_;
  gateway::UnansweredSends unanswered_sends_;
  gateway::SharePicker share_picker_;
  gateway::GatewayStatistics statistics_;
  discovery::NodeRecord self_;
  discovery::NodeDirectory nodes_;
  NodeLinks links_;
  discovery::FleetWatcher watcher_;
  discovery::NodeRegistration registration_;
  ViewExchange view_exchange_;
  PeerExchange peer_exchange_;
  std::unique_ptr<peer_load::DatagramSocket> peer_socket_;
  NodeDuties duties_;
  quarantine::Quarantine quarantine_;
  rate_limit::RateLimiter rate_limiter_;
  admission::AdmissionControl admission_;
  stream_records::StreamRecords stream_records_;
  stream_records::HistoryKeeper history_keeper_;
  admission_queue::AdmissionQueue queue_;
  engine_profiles::ProfileExchange profile_exchange_;
  gateway::CacheSurvey cache_survey_;
  bool requested_initial_state_ = false;
  run_inquiry::EngineRunInquiry run_inquiry_;
  gateway::Gateway gateway_;
  http::Server caller_server_;
  http::Server ready_server_;
  http::Server directory_server_;
  std::unique_ptr<http::Server> metrics_server_;
  metrics::MetricsRegistry metrics_;
  MonotonicTime shutdown_time_{};  ///< Set when a stop begins.
  StopSequence stop_sequence_;
};

}  // namespace ochrespring::gateway_node
