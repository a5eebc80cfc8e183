// Which nodes can be expected to hear of news in time; told to the oracle.
#pragma once

#include <cstdint>
#include <vector>

#include "simulation/callers.h"
#include "simulation/surroundings.h"

namespace ochrespring::simulation {

/// Counts what stands in the way of each node; a node is reachable while nothing does.
class Reachability {
 public:
  Reachability(Surroundings surroundings, NodeSlots& nodes)
      : surroundings_(surroundings), nodes_(nodes) {}

  /// One thing more that keeps a node from the others, until `span` from now.
  void disturb(std::uint32_t node, Duration span);
  /// The same for all nodes.
  void disturb_all(Duration span);
  /// Reports changes; called regularly.
  void refresh();
  /// Forgets all disturbances.
  void clear();

 private:
  Surroundings surroundings_;
  NodeSlots& nodes_;
  std::vector<MonotonicTime> disturbed_until_;
  std::vector<bool> reported_reachable_;
};

}  // namespace ochrespring::simulation
