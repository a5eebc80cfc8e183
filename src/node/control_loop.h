// The control loop of a node: the event loop that owns the control plane and every connection it
// uses. The proxies run on loops of their own and talk to this one by posted messages.
#pragma once

#include <functional>
#include <memory>

#include "base/random.h"
#include "base/time.h"
#include "control_plane/control_plane.h"
#include "external/http/engine_control.h"
#include "external/http/key_value_store.h"
#include "external/http/machine_list.h"
#include "http/client.h"
#include "http/event_loop.h"
#include "http/server.h"
#include "logging/logger.h"
#include "metrics/metrics.h"
#include "node/admin_pages.h"
#include "node/errc.h"
#include "node/identities.h"
#include "operator_api/server.h"
#include "peer/tcp_transport.h"
#include "settings/node_settings.h"

namespace ochrespring::node {

/// Everything but loop().post() and loop().stop() is used on the thread that runs the loop.
class ControlLoop {
 public:
  ControlLoop(const settings::NodeSettings& settings, const Clock& clock, logging::Logger& logger);
  ~ControlLoop();
  ControlLoop(const ControlLoop&) = delete;
  ControlLoop& operator=(const ControlLoop&) = delete;

  /// Binds all addresses of the control side and builds the control plane, without starting it.
  Result<void, NodeError> bind();
  /// Starts the control plane and serves operators. Views go to `observer`.
  void start(control_plane::FleetViewObserver& observer);
  /// Refuses new operators' calls.
  void stop_operators();
  /// Reads all certificates again.
  void reload_certificates();

  http::EventLoop& loop() { return loop_; }
  control_plane::ControlPlane& plane() { return *plane_; }
  metrics::MetricsRegistry& metrics() { return metrics_; }
  /// What the control side knows for /readyz; the node adds the rest.
  ReadinessReport readiness() const;
  /// Replaces the source of /readyz. Before bind().
  void set_readiness(std::function<ReadinessReport()> report) { report_ = std::move(report); }

 private:
  Result<void, NodeError> bind_peers();
  Result<void, NodeError> bind_admin();
  Result<void, NodeError> bind_operators();
  void build_plane();
  void add_collectors();

  const settings::NodeSettings& settings_;
  const Clock& clock_;
  logging::Logger& logger_;
  http::EventLoop loop_;
  SeededRandom random_;
  http::Client client_;
  external::HttpKeyValueStore key_value_store_;
  std::unique_ptr<external::MachineList> machine_list_;
  external::HttpEngineControl engine_control_;
  Identities identities_;
  metrics::MetricsRegistry metrics_;
  std::function<ReadinessReport()> report_;
  std::unique_ptr<peer::TcpTransport> transport_;
  std::unique_ptr<control_plane::ControlPlane> plane_;
  std::unique_ptr<http::Server> admin_server_;
  std::unique_ptr<operator_api::Server> operator_server_;
};

}  // namespace ochrespring::node
