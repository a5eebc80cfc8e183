#include "quarantine/ledger_horizon.h"

namespace ochrespring::quarantine {

void LedgerHorizon::take(const HorizonReport& told, MonotonicTime now) {
  const MonotonicTime since = now - std::clamp(told.age, Duration::zero(), needed_);
  const bool reaches_far_enough = told.age >= needed_;
  if (!told_ || reaches_far_enough || since < told_->since) {
    told_ = Told{.since = since, .requests = told.requests};
  }
}

void LedgerHorizon::settle(std::size_t known) {
  if (told_ && known >= told_->requests) {
    since_ = std::min(since_, told_->since);
    told_.reset();
  }
}

HorizonReport LedgerHorizon::report(std::size_t known, MonotonicTime now) const {
  return {.age = std::min(now - since_, needed_), .requests = static_cast<std::uint32_t>(known)};
}

}  // namespace ochrespring::quarantine
