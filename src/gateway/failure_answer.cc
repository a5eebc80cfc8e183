#include "gateway/failure_answer.h"

#include <algorithm>
#include <chrono>

namespace ochrespring::gateway {

namespace {

/// Lower bound of Retry-After, so that callers do not retry in a busy loop. An earlier retry at the
/// same node would find the same state.
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(20);

std::uint16_t status_of(FailureReason reason, bool may_have_run) {
  if (reason == FailureReason::kNoRoute) {
    return 404;
  }
  if (reason == FailureReason::kUnknownKey) {
    return 401;
  }
  if (!may_have_run) {
    return 503;
  }
  return reason == FailureReason::kTimeout ? 504 : 502;
}

}  // namespace

std::string_view describe(FailureReason reason) {
  switch (reason) {
    case FailureReason::kNoConfiguration:
      return "no-configuration";
    case FailureReason::kNoRoute:
      return "no-route";
    case FailureReason::kUnknownKey:
      return "unknown-key";
    case FailureReason::kNoBackend:
      return "no-backend";
    case FailureReason::kUnreachable:
      return "unreachable";
    case FailureReason::kRefused:
      return "refused";
    case FailureReason::kBroken:
      return "broken";
    case FailureReason::kTimeout:
      return "timeout";
    case FailureReason::kQuarantined:
      return "quarantined";
    case FailureReason::kRateLimited:
      return "rate-limited";
    case FailureReason::kBackingOff:
      return "backing-off";
    case FailureReason::kStopping:
      return "stopping";
    case FailureReason::kOverloaded:
      return "overloaded";
    case FailureReason::kResumedAttemptNotNamed:
      return "resumed-attempt-not-named";
    case FailureReason::kResumedAttemptUnknown:
      return "resumed-attempt-unknown";
    case FailureReason::kViewOutdated:
      return "view-outdated";
    case FailureReason::kVersionUnavailable:
      return "version-unavailable";
  }
  return "";
}

FailureAnswer make_failure_answer(FailureReason reason, bool may_have_run, Duration retry_after,
                                  const http::Header& id) {
  FailureAnswer answer;
  answer.status = status_of(reason, may_have_run);
  answer.headers.push_back({"content-type", "application/json"});
  if (answer.status == 503) {
    const double seconds = to_seconds(std::max(retry_after, kMinRetryAfter));
    answer.headers.push_back({"retry-after", std::to_string(seconds)});
  }
  if (answer.status == 401) {
    answer.headers.push_back({"www-authenticate", "Token"});
  }
  if (!id.value.empty()) {
    answer.headers.push_back(id);
  }
  answer.body = "{\"error\":\"" + std::string(describe(reason)) + "\"}\n";
  return answer;
}

}  // namespace ochrespring::gateway
