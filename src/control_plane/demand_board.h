// Demand of the node: the latest samples of its proxy loops, added up by model.
#pragma once

#include <cstdint>
#include <vector>

#include "control_plane/proxy_report.h"
#include "planner/planner.h"

namespace ochrespring::control_plane {

/// Pure.
class DemandBoard {
 public:
  explicit DemandBoard(std::uint32_t loops) : loops_(loops) {}

  void on_report(const ProxyReport& report);
  /// Sum over the loops, one sample a model.
  std::vector<planner::DemandSample> total(MonotonicTime now) const;

 private:
  std::vector<std::vector<planner::DemandSample>> loops_;
};

}  // namespace ochrespring::control_plane
