#include "gateway/gateway.h"

#include <chrono>
#include <string>
#include <utility>
#include <vector>

namespace ochrespring::gateway {

namespace {

/// When to come back to a node that has no configuration yet.
constexpr Duration kRetryAfterStart = std::chrono::milliseconds(300);

}  // namespace

Gateway::Gateway(Environment environment, Refresh refresh)
    : environment_(std::move(environment)), refresh_(std::move(refresh)) {}

void Gateway::handle(http::Request request, std::shared_ptr<http::ResponseWriter> writer) {
  ++environment_.statistics.requests;
  if (const Admission admission = look_up(request); admission.allowed()) {
    start(admission, std::move(request), std::move(writer));
    return;
  }
  // Only the newest configuration can tell that there is no such route or key. However many such
  // requests come, they cost one look at the store in three quarters of the configuration's bound.
  refresh_([this, request = std::move(request), writer = std::move(writer)](bool current) mutable {
    if (writer->closed()) {
      return;
    }
    const Admission admission = look_up(request);
    if (admission.allowed()) {
      start(admission, std::move(request), std::move(writer));
      return;
    }
    const bool known = current && environment_.fleet.routes() != nullptr;
    refuse(request, *writer, known ? admission.refusal() : FailureReason::kNoConfiguration);
  });
}

/// By the configuration in force.
Admission Gateway::look_up(const http::Request& request) const {
  const std::shared_ptr<const RouteTable>& routes = environment_.fleet.routes();
  if (!routes) {
    return {};
  }
  const Route* route = routes->find(http::find_header(request.headers, "host"), request.path);
  if (route == nullptr || route->shares.empty()) {
    return {};
  }
  return {route, routes->check_key(
                     *route, http::find_header(request.headers, environment_.names.credentials))};
}

void Gateway::start(const Admission& admission, http::Request request,
                    std::shared_ptr<http::ResponseWriter> writer) {
  auto session = std::make_shared<RequestSession>(environment_, environment_.fleet.routes(),
                                                  admission, std::move(request), std::move(writer));
  sessions_.insert(session);
  session->begin([this, raw = session.get()] {
    sessions_.erase(raw->shared_from_this());
    if (sessions_.empty() && idle_) {
      idle_();
    }
  });
}

void Gateway::on_quarantined(const RequestFingerprint& request) {
  // Those that end are taken out.
  const std::vector<std::shared_ptr<RequestSession>> running(sessions_.begin(), sessions_.end());
  for (const auto& session : running) {
    session->on_quarantined(request);
  }
}

void Gateway::refuse(const http::Request& request, http::ResponseWriter& writer,
                     FailureReason reason) {
  GatewayStatistics& statistics = environment_.statistics;
  ++(reason == FailureReason::kUnknownKey ? statistics.unknown_key : statistics.no_route);
  const std::string id(http::find_header(request.headers, environment_.names.request_id));
  FailureAnswer answer =
      make_failure_answer(reason, false, kRetryAfterStart, {environment_.names.request_id, id});
  environment_.logger.write({logging::Level::kInfo,
                             "gateway",
                             "request ended",
                             {{"request_id", id},
                              {"path", request.path},
                              {"outcome", std::string(describe(reason))},
                              {"status", static_cast<std::uint64_t>(answer.status)}}});
  writer.respond(answer.status, std::move(answer.headers), answer.body);
}

}  // namespace ochrespring::gateway
