// One node: the control loop, the proxy threads, and the planned stop.
#pragma once

#include <memory>
#include <vector>

#include "base/time.h"
#include "control_plane/control_plane.h"
#include "logging/logger.h"
#include "node/control_loop.h"
#include "node/errc.h"
#include "node/proxy_worker.h"
#include "node/stop_sequence.h"
#include "process/signals.h"
#include "settings/node_settings.h"

namespace ochrespring::node {

/// Runs on the thread that calls run(), which becomes the control loop's.
class Node final : private control_plane::FleetViewObserver {
 public:
  Node(settings::NodeSettings settings, const Clock& clock, logging::Logger& logger);
  ~Node() override;
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  /// Binds all addresses and reads all certificates.
  Result<void, NodeError> bind();
  /// Serves until a planned stop is over. After bind().
  void run();
  /// Reacts to a signal; callable on any thread.
  void on_signal(process::ProcessSignal signal);

 private:
  void on_fleet_view(router::FleetViewPointer view) override;
  void on_cache_events(const EngineId& engine, Incarnation incarnation,
                       const std::vector<engine::CacheEvent>& events) override;
  void on_worker_report(const WorkerReport& report);
  Result<void, NodeError> bind_workers();
  StopActions stop_actions();
  void begin_stop();
  void reload();
  void drain_proxies(std::function<void()> done);
  void explain_request(const RequestId& request,
                       operator_api::AdminCallback<operator_api::RequestExplanation> done);
  ReadinessReport readiness() const;
  void log_addresses();

  settings::NodeSettings settings_;
  const Clock& clock_;
  logging::Logger& logger_;
  ControlLoop control_;
  std::vector<std::unique_ptr<ProxyWorker>> workers_;
  std::vector<WorkerReport> reports_;  ///< Latest of each worker.
  StopSequence stop_;
};

}  // namespace ochrespring::node
