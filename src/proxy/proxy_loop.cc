#include "proxy/proxy_loop.h"

#include <utility>

#include "proxy/http_caller_stream.h"

namespace ochrespring::proxy {

ProxyLoop::ProxyLoop(const ProxyLoopEnvironment& environment, ProxyLoopSettings settings,
                     ReportSink reports)
    : environment_(environment),
      settings_(std::move(settings)),
      reports_(std::move(reports)),
      client_(environment_.loop),
      backends_(client_, clock_),
      server_(environment_.loop, settings_.server),
      proxy_({clock_, environment_.loop, environment_.random, backends_, environment_.router,
              environment_.claims, environment_.logger},
             settings_.proxy),
      report_timer_(environment_.loop) {
  server_.route("/", [this](http::Request request, std::shared_ptr<http::ResponseWriter> response) {
    handle(std::move(request), std::move(response));
  });
}

ProxyLoop::~ProxyLoop() = default;

Result<void, http::HttpError> ProxyLoop::listen() {
  BOOST_OUTCOME_TRY(server_.listen());
  arm_report();
  return outcome::success();
}

void ProxyLoop::handle(http::Request request, std::shared_ptr<http::ResponseWriter> response) {
  http::ResponseWriter& writer = *response;
  const RequestTicket ticket =
      proxy_.submit(std::move(request), std::make_unique<HttpCallerStream>(std::move(response)));
  if (!proxy_.is_open(ticket)) {
    return;
  }
  writer.on_closed([this, ticket] { proxy_.on_caller_gone(ticket); });
  writer.on_drained([this, ticket] { proxy_.on_caller_drained(ticket); });
}

void ProxyLoop::publish(router::FleetViewPointer view) {
  environment_.loop.post([this, fresh = std::move(view)] {
    proxy_.on_view(fresh);
    report();
  });
}

void ProxyLoop::publish_cache_events(EngineId engine, Incarnation incarnation,
                                     std::vector<engine::CacheEvent> events) {
  environment_.loop.post([this, id = std::move(engine), incarnation, batch = std::move(events)] {
    proxy_.on_cache_events(id, incarnation, batch);
  });
}

void ProxyLoop::drain(std::function<void()> done) {
  environment_.loop.post([this, finished = std::move(done)] {
    server_.stop_accepting();
    proxy_.drain(finished);
  });
}

void ProxyLoop::inspect(std::function<void(const Proxy&)> read) {
  environment_.loop.post([this, reader = std::move(read)] { reader(proxy_); });
}

void ProxyLoop::reload_tls(std::function<void(Result<void, http::HttpError>)> done) {
  environment_.loop.post([this, finished = std::move(done)] { finished(server_.reload_tls()); });
}

void ProxyLoop::report() {
  if (reports_) {
    reports_(proxy_.report());
  }
  arm_report();
}

void ProxyLoop::arm_report() {
  report_timer_.arm(settings_.report_interval, [this] { report(); });
}

}  // namespace ochrespring::proxy
