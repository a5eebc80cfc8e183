#include "digest/demand_collector.h"

#include <cmath>

#include "base/hash.h"

namespace ochrespring::digest {

namespace {

constexpr double kDeci = 10;

std::uint64_t whole(double figure) {
  return figure > 0 ? static_cast<std::uint64_t>(std::llround(figure)) : 0;
}

}  // namespace

std::vector<ModelDemand> sum_demand(const std::vector<const std::vector<ModelDemand>*>& parts) {
  std::map<std::uint32_t, ModelDemand> sums;
  for (const std::vector<ModelDemand>* part : parts) {
    for (const ModelDemand& demand : *part) {
      ModelDemand& sum = sums[demand.model];
      sum.model = demand.model;
      sum.deci_requests_per_second += demand.deci_requests_per_second;
      sum.prefill_tokens_per_second += demand.prefill_tokens_per_second;
      sum.decode_tokens_per_second += demand.decode_tokens_per_second;
      sum.queued_requests += demand.queued_requests;
    }
  }
  std::vector<ModelDemand> models;
  models.reserve(sums.size());
  for (const auto& [model, sum] : sums) {
    models.push_back(sum);
  }
  return models;
}

std::vector<ModelDemand> to_model_demand(const std::vector<planner::DemandSample>& samples) {
  std::vector<ModelDemand> models;
  for (const planner::DemandSample& sample : samples) {
    ModelDemand demand;
    demand.model = static_cast<std::uint32_t>(stable_hash(sample.model.value()));
    demand.deci_requests_per_second = whole(sample.requests_per_second * kDeci);
    demand.prefill_tokens_per_second = whole(sample.prefill_tokens_per_second);
    demand.decode_tokens_per_second = whole(sample.decode_tokens_per_second);
    demand.queued_requests = whole(sample.queued_requests);
    models.push_back(demand);
  }
  return sum_demand({&models});
}

void DemandCollector::take(const Endpoint& child, const DemandReport& report, MonotonicTime now) {
  children_[child] = {report.models, now};
}

std::vector<ModelDemand> DemandCollector::total(MonotonicTime now, Duration expiry) {
  std::erase_if(children_, [&](const auto& entry) { return now - entry.second.reported > expiry; });
  std::vector<const std::vector<ModelDemand>*> parts{&own_};
  for (const auto& [endpoint, child] : children_) {
    parts.push_back(&child.demand);
  }
  return sum_demand(parts);
}

}  // namespace ochrespring::digest
