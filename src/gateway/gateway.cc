#include "gateway/gateway.h"

#include <chrono>
#include <string>
#include <utility>

namespace ochrespring::gateway {

namespace {

/// When to come back to a node that has no configuration yet.
constexpr Duration kRetryAfterStart = std::chrono::milliseconds(300);

}  // namespace

Gateway::Gateway(Environment environment, Refresh refresh)
    : environment_(std::move(environment)), refresh_(std::move(refresh)) {}

void Gateway::handle(http::Request request, std::shared_ptr<http::ResponseWriter> writer) {
  ++environment_.statistics.requests;
  if (try_route(request, writer)) {
    return;
  }
  // Only the newest configuration can tell that there is no route.
  refresh_([this, request = std::move(request), writer = std::move(writer)](bool current) mutable {
    if (writer->closed() || try_route(request, writer)) {
      return;
    }
    ++environment_.statistics.no_route;
    const bool known = current && environment_.fleet.routes() != nullptr;
    refuse(request, *writer, known ? FailureReason::kNoRoute : FailureReason::kNoConfiguration);
  });
}

/// Starts the request if the configuration in force has a route for it.
bool Gateway::try_route(const http::Request& request,
                        const std::shared_ptr<http::ResponseWriter>& writer) {
  const std::shared_ptr<const RouteTable>& routes = environment_.fleet.routes();
  if (!routes) {
    return false;
  }
  const Route* route = routes->find(http::find_header(request.headers, "host"), request.path);
  if (route == nullptr || route->shares.empty()) {
    return false;
  }
  auto session = std::make_shared<RequestSession>(environment_, routes, *route, request, writer);
  sessions_.insert(session);
  session->begin([this, raw = session.get()] {
    sessions_.erase(raw->shared_from_this());
    if (sessions_.empty() && idle_) {
      idle_();
    }
  });
  return true;
}

void Gateway::refuse(const http::Request& request, http::ResponseWriter& writer,
                     FailureReason reason) {
  FailureAnswer answer = make_failure_answer(reason, false, kRetryAfterStart);
  const std::string id(http::find_header(request.headers, environment_.names.request_id));
  if (!id.empty()) {
    answer.headers.push_back({environment_.names.request_id, id});
  }
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
