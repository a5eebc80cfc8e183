#include "gateway/retry_limit.h"

namespace ochrespring::gateway {

std::string_view RetryLimit::acquire(const ServiceName& service, bool trial, Duration left) {
  if (trial) {
    return "trial";
  }
  if (is_last_attempt(true)) {
    return "attempts of the route";
  }
  if (left < kMinAttemptTime) {
    return "no time left";
  }
  return spend(service) ? "" : "retry budget";
}

bool RetryLimit::spend(const ServiceName& service) {
  if (prepaid_ != 0) {
    --prepaid_;
    return true;
  }
  const bool granted =
      environment_.budget.spend(service, environment_.node_count(), environment_.clock.now());
  ++(granted ? environment_.statistics.retries : environment_.statistics.budget_denied);
  return granted;
}

}  // namespace ochrespring::gateway
