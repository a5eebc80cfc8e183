#include "usage/usage_tally.h"

#include <algorithm>

namespace ochrespring::usage {

void UsageTally::add(const UsageReport& report) {
  for (const WindowCounts& reported : report.windows) {
    TenantCounts& known = windows_[reported.window][{report.node, report.incarnation}];
    for (const auto& [tenant, runs] : reported.counts) {
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
  for (const auto& [incarnation, counts] : found->second) {
    for (const auto& [tenant, runs] : counts) {
      sum[tenant] += runs;
    }
  }
  return sum;
}

std::optional<WindowNumber> UsageTally::oldest() const {
  return windows_.empty() ? std::nullopt : std::optional(windows_.begin()->first);
}

void UsageTally::discard_before(WindowNumber window) {
  windows_.erase(windows_.begin(), windows_.lower_bound(window));
}

}  // namespace ochrespring::usage
