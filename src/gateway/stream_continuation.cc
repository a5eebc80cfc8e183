#include "gateway/stream_continuation.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string_view>
#include <utility>

namespace ochrespring::gateway {

namespace {

/// How long callers take up a stream if they do not state how long they wait, in timeouts of its
/// route.
constexpr int kTimeoutsRecorded = 2;
/// Bounds what a caller states, which may be any number.
constexpr std::uint64_t kMaxStatedMilliseconds = 3'600'000;

}  // namespace

bool StreamContinuation::is_taken_up() const {
  return route_.kind == RequestKind::kStreaming &&
         !http::find_header(request_.headers, environment_.names.last_event).empty();
}

std::string_view StreamContinuation::first_attempt() const {
  const HeaderNames& names = environment_.names;
  return http::find_header(request_.headers,
                           is_taken_up() ? names.resumed_attempt : names.request_id);
}

std::optional<StreamKey> StreamContinuation::key() const {
  if (!route_.resumable || first_attempt().empty()) {
    return std::nullopt;
  }
  return make_stream_key(tenant_ != nullptr ? tenant_->name : TenantName(), first_attempt());
}

StreamQuery StreamContinuation::query(std::shared_ptr<const RouteTable> routes,
                                      MonotonicTime arrived) const {
  StreamQuery query{
      .stream = key(), .service = std::nullopt, .routes = std::move(routes), .arrived = arrived};
  if (route_.shares.size() == 1) {
    query.service = route_.shares.front().service;
  }
  return query;
}

Duration StreamContinuation::lifetime() const {
  const auto stated =
      http::parse_number(http::find_header(request_.headers, environment_.names.deadline));
  return stated ? Duration(std::chrono::milliseconds(std::min(*stated, kMaxStatedMilliseconds)))
                : kTimeoutsRecorded * route_.timeout;
}

FailureReason StreamContinuation::unknown_reason(OriginEvidence evidence) const {
  if (evidence == OriginEvidence::kOutdatedView) {
    return FailureReason::kViewOutdated;
  }
  return first_attempt().empty() ? FailureReason::kResumedAttemptNotNamed
                                 : FailureReason::kResumedAttemptUnknown;
}

std::optional<ServiceName> StreamContinuation::find_service() const {
  const FleetState& fleet = environment_.fleet;
  const auto accept = [&](const Backend& backend) {
    return !fleet.is_leaving(backend) && software_of(backend) == software_;
  };
  const auto found =
      std::find_if(route_.shares.begin(), route_.shares.end(), [&](const TrafficShare& share) {
        const BackendGroup* group = fleet.index().find(share.service, /*prefill=*/false);
        return share.weight != 0 && group != nullptr && !group->all(accept).empty();
      });
  return found == route_.shares.end() ? std::nullopt : std::optional(found->service);
}

void StreamContinuation::note_event(const ServiceName& service, SoftwareId software) {
  if (std::exchange(recorded_, true)) {
    return;
  }
  software_ = software;
  if (environment_.streams == nullptr || !route_.resumable) {
    return;
  }
  const Duration taken_up_for = lifetime();
  environment_.streams->note_stream(service, taken_up_for);
  if (const auto stream = key()) {
    environment_.streams->note_begun(*stream, software, taken_up_for);
  }
}

}  // namespace ochrespring::gateway
