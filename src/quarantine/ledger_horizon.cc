#include "quarantine/ledger_horizon.h"

namespace ochrespring::quarantine {

void LedgerHorizon::receive(const HorizonReport& report, MonotonicTime now) {
  const MonotonicTime since = now - std::clamp(report.age, Duration::zero(), required_age_);
  const bool is_sufficient = report.age >= required_age_;
  if (!pending_ || is_sufficient || since < pending_->since) {
    pending_ = PendingReport{.since = since, .requests = report.requests};
  }
}

void LedgerHorizon::apply_pending_report(std::size_t suspect_count) {
  if (pending_ && suspect_count >= pending_->requests) {
    complete_since_ = std::min(complete_since_, pending_->since);
    pending_.reset();
  }
}

HorizonReport LedgerHorizon::report(std::size_t suspect_count, MonotonicTime now) const {
  return {.age = std::min(now - complete_since_, required_age_),
          .requests = static_cast<std::uint32_t>(suspect_count)};
}

}  // namespace ochrespring::quarantine
