#include "node/admin_pages.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace ochrespring::node {

namespace {
constexpr std::uint16_t kOk = 200;
constexpr std::uint16_t kUnavailable = 503;
constexpr const char* kJson = "application/json";
}  // namespace

std::string_view phase_name(NodePhase phase) {
  switch (phase) {
    case NodePhase::kStarting:
      return "starting";
    case NodePhase::kReady:
      return "ready";
    case NodePhase::kStopping:
      return "stopping";
  }
  return "unknown";
}

std::string render_readiness(const ReadinessReport& report) {
  nlohmann::ordered_json json;
  json["phase"] = phase_name(report.phase);
  json["node"] = report.node.value();
  json["revision"] = report.revision.value();
  json["members"] = report.members;
  json["listen"] = report.callers.value();
  json["operator_listen"] = report.operators.value();
  json["admin_listen"] = report.admin.value();
  json["peer_listen"] = report.peers.value();
  return json.dump() + "\n";
}

void add_admin_pages(http::Server& server, std::function<ReadinessReport()> report,
                     const metrics::MetricsRegistry& registry) {
  server.route("/healthz", [](const http::Request& /*request*/, const auto& response) {
    response->respond(kOk, {{"content-type", "text/plain"}}, "ok\n");
  });
  server.route("/readyz", [report = std::move(report)](const http::Request& /*request*/,
                                                       const auto& response) {
    const ReadinessReport current = report();
    const bool ready = current.phase == NodePhase::kReady;
    response->respond(ready ? kOk : kUnavailable, {{"content-type", kJson}},
                      render_readiness(current));
  });
  server.route("/metrics", [&registry](const http::Request& /*request*/, const auto& response) {
    response->respond(kOk, {{"content-type", std::string(metrics::kContentType)}},
                      registry.render());
  });
}

}  // namespace ochrespring::node
