#include "proxy/retry_policy.h"

#include <algorithm>

namespace ochrespring::proxy {

namespace {

/// Beyond this the longest wait has been reached with any sensible setting.
constexpr std::uint32_t kMostDoublings = 20;

}  // namespace

void RetryBudget::deposit() {
  balance_ = std::min(kReserve, balance_ + fraction_);
}

bool RetryBudget::withdraw() {
  if (balance_ < 1) {
    return false;
  }
  balance_ -= 1;
  return true;
}

Duration backoff_delay(const BackoffSettings& settings, std::uint32_t retry, RandomSource& random) {
  const Duration grown = settings.first * (1U << std::min(retry, kMostDoublings));
  const Duration ceiling = std::min(settings.longest, grown);
  return from_seconds(to_seconds(ceiling) * random.unit());
}

}  // namespace ochrespring::proxy
