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
  const std::uint32_t nodes = environment_.node_count();
  const MonotonicTime now = environment_.clock.now();
  const bool granted = environment_.budget.spend(service, nodes, now);
  ++(granted ? environment_.statistics.retries : environment_.statistics.budget_denied);
  log_.note_retry_charge(granted, service, environment_.budget.use(service, nodes, now), nodes);
  return granted;
}

}  // namespace ochrespring::gateway
