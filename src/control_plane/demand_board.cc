#include "control_plane/demand_board.h"

#include <map>
#include <utility>

namespace ochrespring::control_plane {

void DemandBoard::on_report(const ProxyReport& report) {
  if (report.loop < loops_.size()) {
    loops_[report.loop] = report.demand;
  }
}

std::vector<planner::DemandSample> DemandBoard::total(MonotonicTime now) const {
  std::map<ModelName, planner::DemandSample> sums;
  for (const auto& samples : loops_) {
    for (const planner::DemandSample& sample : samples) {
      planner::DemandSample& sum = sums[sample.model];
      sum.model = sample.model;
      sum.taken = now;
      sum.requests_per_second += sample.requests_per_second;
      sum.prefill_tokens_per_second += sample.prefill_tokens_per_second;
      sum.decode_tokens_per_second += sample.decode_tokens_per_second;
      sum.queued_requests += sample.queued_requests;
    }
  }
  std::vector<planner::DemandSample> total;
  total.reserve(sums.size());
  for (auto& [model, sum] : sums) {
    total.push_back(std::move(sum));
  }
  return total;
}

}  // namespace ochrespring::control_plane
