#include "gateway/gateway.h"

#include <chrono>
#include <string>
#include <utility>
#include <vector>

namespace ochrespring::gateway {

namespace {

/// Retry-After of a node that has no configuration yet.
constexpr Duration kRetryAfterStart = std::chrono::milliseconds(300);

std::uint64_t& counter_of(FailureReason reason, GatewayStatistics& statistics) {
  switch (reason) {
    case FailureReason::kUnknownKey:
      return statistics.unknown_key;
    case FailureReason::kStopping:
      return statistics.refused;
    default:
      return statistics.no_route;
  }
}

}  // namespace

Gateway::Gateway(Environment environment, RefreshFunction refresh)
    : environment_(std::move(environment)), refresh_(std::move(refresh)) {}

void Gateway::handle(http::Request request, std::shared_ptr<http::ResponseWriter> writer) {
  ++environment_.statistics.requests;
  environment_.statistics.read_delay.note(request.read_delay);
  // A node that is behind with its work has no time for requests that their callers have given up.
  if (writer->poll_closed()) {
    ++environment_.statistics.caller_gone;
    return;
  }
  const MonotonicTime arrived = environment_.clock.now() - request.read_delay;
  IncomingRequest incoming{std::move(request), std::move(writer), arrived};
  if (const Admission admission = look_up(incoming.request); admission.allowed()) {
    start(admission, std::move(incoming));
    return;
  }
  if (environment_.shutdown_time) {
    refuse(incoming, FailureReason::kStopping);
    return;
  }
  await_configuration(std::move(incoming));
}

/// Only the newest configuration proves that a route or key does not exist. `refresh_` polls the
/// shared store at most once per three quarters of the time within which a configuration must be
/// applied, however many requests wait.
void Gateway::await_configuration(IncomingRequest incoming) {
  const std::uint64_t number = next_waiting_++;
  incoming.writer->on_closed([this, number] {
    ++environment_.statistics.caller_gone;
    waiting_.erase(number);
    notify_if_idle();
  });
  waiting_.emplace(number, std::move(incoming));
  refresh_([this, number](bool current) { on_refreshed(number, current); });
}

void Gateway::on_refreshed(std::uint64_t number, bool current) {
  auto found = waiting_.extract(number);
  if (found.empty()) {
    return;
  }
  IncomingRequest& waited = found.mapped();
  waited.writer->on_closed(nullptr);
  const Admission admission = look_up(waited.request);
  if (admission.allowed()) {
    start(admission, std::move(waited));
    return;
  }
  const bool known = current && environment_.fleet.routes() != nullptr;
  refuse(waited, known ? admission.refusal() : FailureReason::kNoConfiguration);
  notify_if_idle();
}

void Gateway::notify_if_idle() {
  if (running() == 0 && idle_) {
    idle_();
  }
}

HeldRequests Gateway::held() const {
  const std::size_t queued = environment_.queue != nullptr ? environment_.queue->waiting() : 0;
  return {waiting_.size(), sessions_.size() - queued, queued};
}

/// Looks up the route and the key in the current configuration.
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

void Gateway::start(const Admission& admission, IncomingRequest incoming) {
  auto session = std::make_shared<RequestSession>(environment_, environment_.fleet.routes(),
                                                  admission, std::move(incoming));
  sessions_.insert(session);
  session->begin([this, raw = session.get()] {
    sessions_.erase(raw->shared_from_this());
    notify_if_idle();
  });
}

void Gateway::on_quarantined(const RequestFingerprint& request) {
  for (const auto& session : running_sessions()) {
    session->on_quarantined(request);
  }
}

void Gateway::on_backend_unregistered(const BackendId& backend) {
  for (const auto& session : sessions_) {
    session->on_backend_unregistered(backend);
  }
}

void Gateway::finish_all() {
  for (const auto& [number, waiting] : std::exchange(waiting_, {})) {
    waiting.writer->on_closed(nullptr);
    refuse(waiting, FailureReason::kStopping);
  }
  for (const auto& session : running_sessions()) {
    session->on_stop();
  }
}

/// Returns a copy, because sessions that end are erased from `sessions_`.
std::vector<std::shared_ptr<RequestSession>> Gateway::running_sessions() const {
  return {sessions_.begin(), sessions_.end()};
}

void Gateway::refuse(const IncomingRequest& incoming, FailureReason reason) {
  const http::Request& request = incoming.request;
  ++counter_of(reason, environment_.statistics);
  const std::string id(http::find_header(request.headers, environment_.names.request_id));
  // Another node can serve the request immediately.
  const Duration retry_after = reason == FailureReason::kStopping ? Duration() : kRetryAfterStart;
  FailureAnswer answer =
      make_failure_answer(reason, false, retry_after, {environment_.names.request_id, id});
  environment_.logger.write({logging::Level::kInfo,
                             "gateway",
                             "request ended",
                             {{"request_id", id},
                              {"path", request.path},
                              {"outcome", std::string(describe(reason))},
                              {"status", static_cast<std::uint64_t>(answer.status)}}});
  incoming.writer->respond(answer.status, std::move(answer.headers), answer.body);
}

}  // namespace ochrespring::gateway
