#include "gateway/stream_continuation.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace ochrespring::gateway {

namespace {

/// Lifetime of a record, relative to the route's timeout: callers give up a stream that long after
/// they began it, and one that was taken up is recorded again.
constexpr int kTimeoutsRecorded = 2;

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

std::optional<SoftwareId> StreamContinuation::sole_software() const {
  if (environment_.streams == nullptr || route_.shares.size() != 1) {
    return std::nullopt;
  }
  return environment_.streams->sole_software(route_.shares.front().service,
                                             kTimeoutsRecorded * route_.timeout);
}

FailureReason StreamContinuation::unknown_reason() const {
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

void StreamContinuation::note_event(SoftwareId software) {
  if (std::exchange(recorded_, true)) {
    return;
  }
  software_ = software;
  if (const auto stream = key(); stream && environment_.streams != nullptr) {
    environment_.streams->note_begun(*stream, software, kTimeoutsRecorded * route_.timeout);
  }
}

}  // namespace ochrespring::gateway
