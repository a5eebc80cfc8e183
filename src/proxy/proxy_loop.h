// One thread of the data path: an HTTP server towards callers, a client towards back ends, and the
// proxy between them.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "base/random.h"
#include "http/client.h"
#include "http/event_loop.h"
#include "http/server.h"
#include "proxy/http_backend_client.h"
#include "proxy/proxy.h"

namespace ochrespring::proxy {

/// Where a loop's reports go; called on the proxy's loop, so the receiver posts them on.
using ReportSink = std::function<void(control_plane::ProxyReport)>;

struct ProxyLoopSettings {
  ProxySettings proxy;
  http::ServerSettings server;
  Duration report_interval = control_plane::kProxyReportInterval;
};

/// What a loop needs from outside. References outlive it.
struct ProxyLoopEnvironment {
  http::EventLoop& loop;
  RandomSource& random;
  router::Router& router;
  ClaimService& claims;
  logging::Logger& logger;
};

/// Owned by one thread. Everything is called on `loop`, except publish(), drain() and
/// snapshot_statistics(), which post to it.
class ProxyLoop {
 public:
  ProxyLoop(const ProxyLoopEnvironment& environment, ProxyLoopSettings settings,
            ReportSink reports);
  ~ProxyLoop();
  ProxyLoop(const ProxyLoop&) = delete;
  ProxyLoop& operator=(const ProxyLoop&) = delete;

  /// Binds and accepts; before the loop runs.
  Result<void, http::HttpError> listen();
  /// Address bound, with its real port.
  Endpoint bound() const { return server_.bound(); }
  /// Hands over a fleet view. Thread-safe; a report follows once it is in force.
  void publish(router::FleetViewPointer view);
  /// Hands over cache events. Thread-safe.
  void publish_cache_events(EngineId engine, Incarnation incarnation,
                            std::vector<engine::CacheEvent> events);
  /// Stops accepting connections, refuses new requests as not run, and calls `done` on the loop
  /// when the last request has ended. Thread-safe.
  void drain(std::function<void()> done);
  /// Runs `read` on the loop with the proxy. Thread-safe.
  void inspect(std::function<void(const Proxy&)> read);
  /// Reads the TLS files again. Thread-safe; `done` runs on the loop.
  void reload_tls(std::function<void(Result<void, http::HttpError>)> done);

  http::Server& server() { return server_; }
  Proxy& proxy() { return proxy_; }

 private:
  void handle(http::Request request, std::shared_ptr<http::ResponseWriter> response);
  void report();
  void arm_report();

  ProxyLoopEnvironment environment_;
  ProxyLoopSettings settings_;
  ReportSink reports_;
  SystemClock clock_;
  http::Client client_;
  HttpBackendClient backends_;
  http::Server server_;
  Proxy proxy_;
  Timer report_timer_;
};

}  // namespace ochrespring::proxy
