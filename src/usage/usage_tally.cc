#include "usage/usage_tally.h"

#include <algorithm>

namespace ochrespring::usage {

void UsageTally::take(const UsageReport& report) {
  for (const WindowCounts& told : report.windows) {
    TenantCounts& known = windows_[told.window][{report.node, report.life}];
    for (const auto& [tenant, runs] : told.counts) {
      std::uint32_t& kept = known[tenant];
      kept = std::max(kept, runs);
    }
  }
}

TenantCounts UsageTally::sum(WindowNumber window) const {
  TenantCounts sum;
  const auto found = windows_.find(window);
  if (found == windows_.end()) {
    return sum;
  }
  for (const auto& [life, counts] : found->second) {
    for (const auto& [tenant, runs] : counts) {
      sum[tenant] += runs;
    }
  }
  return sum;
}

std::optional<WindowNumber> UsageTally::oldest() const {
  return windows_.empty() ? std::nullopt : std::optional(windows_.begin()->first);
}

void UsageTally::forget_before(WindowNumber window) {
  windows_.erase(windows_.begin(), windows_.lower_bound(window));
}

}  // namespace ochrespring::usage
