#include "gateway/retry_limit.h"

namespace ochrespring::gateway {

std::string_view RepeatLimit::obstacle(const ServiceName& service, bool trial, Duration left) {
  if (trial) {
    return "trial";
  }
  if (is_last_attempt(true)) {
    return "attempts of the route";
  }
  if (left < kLeastTime) {
    return "no time left";
  }
  return spend(service) ? "" : "retry budget";
}

bool RepeatLimit::spend(const ServiceName& service) {
  if (paid_ != 0) {
    --paid_;
    return true;
  }
  const bool granted =
      environment_.budget.spend(service, environment_.node_count(), environment_.clock.now());
  ++(granted ? environment_.statistics.repeats : environment_.statistics.budget_denied);
  return granted;
}

}  // namespace ochrespring::gateway
