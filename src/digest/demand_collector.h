// Sums demand up the group's tree: each node adds its own demand to that of the nodes below it and
// tells its parent, so that no node hears from more than a logarithm of the group.
#pragma once

#include <map>
#include <vector>

#include "base/time.h"
#include "digest/messages.h"
#include "planner/planner.h"

namespace ochrespring::digest {

/// Adds demand model by model.
std::vector<ModelDemand> sum_demand(const std::vector<const std::vector<ModelDemand>*>& parts);

/// Demand as messages carry it.
std::vector<ModelDemand> to_model_demand(const std::vector<planner::DemandSample>& samples);

/// Used on the control loop only.
class DemandCollector {
 public:
  /// Replaces this node's own demand.
  void set_own(std::vector<ModelDemand> demand) { own_ = std::move(demand); }
  /// A node below this one reported.
  void take(const Endpoint& child, const DemandReport& report, MonotonicTime now);
  /// Demand of this node and of all below it that reported within `expiry`.
  std::vector<ModelDemand> total(MonotonicTime now, Duration expiry);
  std::size_t children() const { return children_.size(); }

 private:
  struct Child {
    std::vector<ModelDemand> demand;
    MonotonicTime reported;
  };
  std::vector<ModelDemand> own_;
  std::map<Endpoint, Child> children_;
};

}  // namespace ochrespring::digest
