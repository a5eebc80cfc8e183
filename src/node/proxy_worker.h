// One thread that serves callers: an event loop with its proxy, router and way to the ledger.
#pragma once

#include <cstdint>
#include <functional>
#include <future>
#include <memory>
#include <thread>

#include "base/random.h"
#include "control_plane/proxy_report.h"
#include "http/event_loop.h"
#include "ledger/attempt_ledger.h"
#include "logging/logger.h"
#include "node/errc.h"
#include "proxy/ledger_link.h"
#include "proxy/proxy_loop.h"
#include "router/goodput_router.h"
#include "settings/node_settings.h"

namespace ochrespring::node {

/// What a worker tells the control loop.
struct WorkerReport {
  control_plane::ProxyReport proxy;
  proxy::Statistics statistics;
  std::size_t open_requests = 0;
  std::size_t waiting_requests = 0;
};

/// Called on the control loop.
using WorkerReportHandler = std::function<void(const WorkerReport&)>;

/// Constructed and destroyed on the control loop's thread; the control loop must no longer run when
/// it is destroyed.
class ProxyWorker {
 public:
  ProxyWorker(const settings::NodeSettings& settings, std::uint32_t index,
              http::EventLoop& control_loop, ledger::AttemptLedger& ledger, logging::Logger& logger,
              WorkerReportHandler reports);
  ~ProxyWorker();
  ProxyWorker(const ProxyWorker&) = delete;
  ProxyWorker& operator=(const ProxyWorker&) = delete;

  /// Starts the thread, which binds `listen` and serves from then on.
  Result<void, NodeError> start(const Endpoint& listen);
  /// Stops the thread; what is in flight is cut, so drain() comes first in a planned stop.
  void stop();

  const Endpoint& bound() const { return bound_; }
  /// After start(); only its thread-safe functions may be called.
  proxy::ProxyLoop& proxy_loop();

 private:
  struct Serving;

  void run(const Endpoint& listen, std::promise<Result<Endpoint, NodeError>> started);

  const settings::NodeSettings& settings_;
  std::uint32_t index_;
  http::EventLoop& control_loop_;
  ledger::AttemptLedger& ledger_;
  logging::Logger& logger_;
  WorkerReportHandler reports_;
  Endpoint bound_;
  Serving* serving_ = nullptr;  ///< Lives on the thread, from start() until stop().
  std::thread thread_;
};

}  // namespace ochrespring::node
