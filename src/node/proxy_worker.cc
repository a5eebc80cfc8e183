#include "node/proxy_worker.h"

#include <utility>

namespace ochrespring::node {

namespace {

http::ServerSettings server_settings(const settings::NodeSettings& settings,
                                     const Endpoint& listen) {
  http::ServerSettings server;
  server.listen = listen;
  server.largest_body_bytes = settings.largest_body_bytes;
  server.reuse_port = settings.proxy_loops > 1;
  if (settings.caller_tls) {
    server.tls = http::TlsFiles{settings.caller_tls->certificate, settings.caller_tls->key,
                                settings.caller_tls->authority};
  }
  return server;
}

NodeErrc code_of(const http::HttpError& error) {
  return error.code == http::HttpErrc::kTlsInvalid ? NodeErrc::kCertificate : NodeErrc::kAddress;
}

}  // namespace

/// What the thread serves with. Built on that thread: h2o recycles buffers in lists of the thread
/// that created a loop or a socket, so a loop built elsewhere would share one without a lock.
struct ProxyWorker::Serving {
  http::EventLoop loop;
  SeededRandom random;
  router::GoodputRouter router;
  proxy::LedgerLink ledger_link;
  std::unique_ptr<proxy::ProxyLoop> proxy_loop;

  Serving(http::EventLoop& control_loop, ledger::AttemptLedger& ledger)
      : random(entropy_seed()),
        router(router::GoodputRouterParameters{}, random.next()),
        ledger_link(loop, control_loop, ledger) {}

  void send_report(http::EventLoop& control_loop, const WorkerReportHandler& reports,
                   control_plane::ProxyReport report) const {
    const proxy::Proxy& proxy = proxy_loop->proxy();
    WorkerReport whole{std::move(report), proxy.statistics(), proxy.open_requests(),
                       proxy.waiting_requests()};
    control_loop.post([&reports, whole = std::move(whole)] { reports(whole); });
  }
};

ProxyWorker::ProxyWorker(const settings::NodeSettings& settings, std::uint32_t index,
                         http::EventLoop& control_loop, ledger::AttemptLedger& ledger,
                         logging::Logger& logger, WorkerReportHandler reports)
    : settings_(settings),
      index_(index),
      control_loop_(control_loop),
      ledger_(ledger),
      logger_(logger),
      reports_(std::move(reports)) {}

ProxyWorker::~ProxyWorker() {
  stop();
}

Result<void, NodeError> ProxyWorker::start(const Endpoint& listen) {
  std::promise<Result<Endpoint, NodeError>> promise;
  auto started = promise.get_future();
  thread_ = std::thread(
      [this, listen, promise = std::move(promise)]() mutable { run(listen, std::move(promise)); });
  BOOST_OUTCOME_TRY(bound, started.get());
  bound_ = std::move(bound);
  return outcome::success();
}

void ProxyWorker::run(const Endpoint& listen, std::promise<Result<Endpoint, NodeError>> started) {
  Serving serving(control_loop_, ledger_);
  proxy::ProxyLoopSettings loop_settings;
  loop_settings.proxy.node = settings_.node;
  loop_settings.proxy.zone = settings_.zone;
  loop_settings.proxy.loop = index_;
  loop_settings.proxy.tenant_rate_share = 1.0 / settings_.proxy_loops;
  loop_settings.server = server_settings(settings_, listen);
  serving.proxy_loop = std::make_unique<proxy::ProxyLoop>(
      proxy::ProxyLoopEnvironment{serving.loop, serving.random, serving.router, serving.ledger_link,
                                  logger_},
      std::move(loop_settings), [this, &serving](control_plane::ProxyReport report) {
        serving.send_report(control_loop_, reports_, std::move(report));
      });
  const auto bound = serving.proxy_loop->listen();
  if (!bound) {
    started.set_value(fail(code_of(bound.error()), "listen: " + bound.error().message));
    return;
  }
  serving_ = &serving;
  started.set_value(serving.proxy_loop->bound());
  serving.loop.run();
}

void ProxyWorker::stop() {
  if (!thread_.joinable()) {
    return;
  }
  if (serving_ != nullptr) {
    serving_->loop.stop();
  }
  thread_.join();
  serving_ = nullptr;
}

proxy::ProxyLoop& ProxyWorker::proxy_loop() {
  return *serving_->proxy_loop;
}

}  // namespace ochrespring::node
