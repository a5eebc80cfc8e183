#include "gateway/stream_continuation.h"

#include <algorithm>
#include <string_view>
#include <utility>
#include <vector>

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

std::string_view StreamContinuation::resumed_attempt() const {
  return http::find_header(request_.headers, environment_.names.resumed_attempt);
}

std::optional<FailureReason> StreamContinuation::lookup_obstacle() const {
  if (resumed_attempt().empty()) {
    return FailureReason::kResumedAttemptNotNamed;
  }
  return environment_.streams == nullptr || !route_.resumable
             ? std::optional(FailureReason::kResumedAttemptUnknown)
             : std::nullopt;
}

StreamKey StreamContinuation::key() const {
  return make_stream_key(tenant_ != nullptr ? tenant_->name : TenantName(),
                         is_taken_up()
                             ? resumed_attempt()
                             : http::find_header(request_.headers, environment_.names.request_id));
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
  const bool has_id =
      is_taken_up() || !http::find_header(request_.headers, environment_.names.request_id).empty();
  if (environment_.streams != nullptr && route_.resumable && has_id) {
    environment_.streams->note_begun(key(), software, kTimeoutsRecorded * route_.timeout);
  }
}

}  // namespace ochrespring::gateway
