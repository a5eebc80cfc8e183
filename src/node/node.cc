#include "node/node.h"

#include <string>
#include <utility>

#include "node/proxy_metrics.h"
#include "node/request_explainer.h"

namespace ochrespring::node {

Node::Node(settings::NodeSettings settings, const Clock& clock, logging::Logger& logger)
    : settings_(std::move(settings)),
      clock_(clock),
      logger_(logger),
      control_(settings_, clock, logger),
      reports_(settings_.proxy_loops),
      stop_(control_.loop(), stop_actions()) {}

Node::~Node() {
  // Proxy threads end before anything they post to.
  for (const auto& worker : workers_) {
    worker->stop();
  }
}

Result<void, NodeError> Node::bind() {
  control_.set_readiness([this] { return readiness(); });
  BOOST_OUTCOME_TRY(control_.bind());
  BOOST_OUTCOME_TRY(bind_workers());
  control_.metrics().add([this](metrics::SampleSink& sink) {
    for (const WorkerReport& report : reports_) {
      export_metrics(report, sink);
    }
  });
  control_.plane().set_request_explainer(
      [this](const RequestId& request, auto done) { explain_request(request, std::move(done)); });
  return outcome::success();
}

Result<void, NodeError> Node::bind_workers() {
  Endpoint listen = settings_.listen;
  for (std::uint32_t index = 0; index < settings_.proxy_loops; ++index) {
    reports_[index].proxy.loop = index;
    workers_.push_back(std::make_unique<ProxyWorker>(
        settings_, index, control_.loop(), control_.plane().ledger(), logger_,
        [this](const WorkerReport& report) { on_worker_report(report); }));
    BOOST_OUTCOME_TRY(workers_.back()->start(listen));
    listen = workers_.front()->bound();
  }
  return outcome::success();
}

void Node::run() {
  log_addresses();
  control_.start(*this);
  control_.loop().run();
}

void Node::on_signal(process::ProcessSignal signal) {
  control_.loop().post([this, signal] {
    if (signal == process::ProcessSignal::kReload) {
      reload();
    } else {
      begin_stop();
    }
  });
}

void Node::begin_stop() {
  if (stop_.begun()) {
    logger_.write({logging::Level::kInfo, "node", "a planned stop is under way already", {}});
    return;
  }
  logger_.write({logging::Level::kInfo, "node", "planned stop begins", {}});
  stop_.begin();
}

StopActions Node::stop_actions() {
  StopActions actions;
  actions.drain_proxies = [this](std::function<void()> done) { drain_proxies(std::move(done)); };
  actions.leave = [this](std::function<void()> done) {
    control_.stop_operators();
    control_.plane().leave(std::move(done));
  };
  actions.finish = [this](bool handed_over) {
    logger_.write({handed_over ? logging::Level::kInfo : logging::Level::kWarning,
                   "node",
                   handed_over ? "planned stop is over" : "hand-over took too long; ending anyway",
                   {}});
    control_.plane().depart();
    // The last messages leave in the loop's next turn.
    constexpr Duration kFarewell = std::chrono::milliseconds(100);
    control_.loop().schedule_after(kFarewell, [this] { control_.loop().stop(); });
  };
  return actions;
}

void Node::drain_proxies(std::function<void()> done) {
  auto remaining = std::make_shared<std::size_t>(workers_.size());
  for (const auto& worker : workers_) {
    worker->proxy_loop().drain([this, remaining, done] {
      control_.loop().post([remaining, done] {
        if (--*remaining == 0) {
          done();
        }
      });
    });
  }
}

void Node::reload() {
  logger_.write({logging::Level::kInfo, "node", "reading certificates again", {}});
  control_.reload_certificates();
  if (!settings_.caller_tls) {
    return;
  }
  for (const auto& worker : workers_) {
    worker->proxy_loop().reload_tls([this](const Result<void, http::HttpError>& result) {
      if (!result) {
        logger_.write({logging::Level::kError, "node", result.error().message, {}});
      }
    });
  }
}

void Node::on_fleet_view(router::FleetViewPointer view) {
  for (const auto& worker : workers_) {
    worker->proxy_loop().publish(view);
  }
}

void Node::on_cache_events(const EngineId& engine, Incarnation incarnation,
                           const std::vector<engine::CacheEvent>& events) {
  for (const auto& worker : workers_) {
    worker->proxy_loop().publish_cache_events(engine, incarnation, events);
  }
}

void Node::on_worker_report(const WorkerReport& report) {
  reports_.at(report.proxy.loop) = report;
  control_.plane().on_proxy_report(report.proxy);
}

void Node::explain_request(const RequestId& request,
                           operator_api::AdminCallback<operator_api::RequestExplanation> done) {
  std::vector<proxy::ProxyLoop*> loops;
  for (const auto& worker : workers_) {
    loops.push_back(&worker->proxy_loop());
  }
  RequestExplainer::ask(loops, control_.loop(), clock_, settings_.node, request, std::move(done));
}

ReadinessReport Node::readiness() const {
  ReadinessReport report = control_.readiness();
  if (stop_.begun()) {
    report.phase = NodePhase::kStopping;
  }
  if (!workers_.empty()) {
    report.callers = workers_.front()->bound();
  }
  return report;
}

void Node::log_addresses() {
  const ReadinessReport report = readiness();
  logger_.write({logging::Level::kInfo,
                 "node",
                 "listening",
                 {{"node", report.node.value()},
                  {"listen", report.callers.value()},
                  {"operator_listen", report.operators.value()},
                  {"admin_listen", report.admin.value()},
                  {"peer_listen", report.peers.value()}}});
}

}  // namespace ochrespring::node
