#include "simulation/reachability.h"

#include <algorithm>

namespace ochrespring::simulation {

void Reachability::disturb(std::uint32_t node, Duration span) {
  disturbed_until_.resize(nodes_.size());
  reported_reachable_.resize(nodes_.size(), true);
  MonotonicTime& until = disturbed_until_[node % nodes_.size()];
  until = std::max(until, surroundings_.time.now() + span);
  refresh();
}

void Reachability::disturb_all(Duration span) {
  for (std::uint32_t i = 0; i < nodes_.size(); ++i) {
    disturb(i, span);
  }
}

void Reachability::refresh() {
  for (std::size_t i = 0; i < disturbed_until_.size(); ++i) {
    const bool reachable = disturbed_until_[i] <= surroundings_.time.now();
    if (reachable != reported_reachable_[i]) {
      reported_reachable_[i] = reachable;
      surroundings_.observe(oracle::NodeReachable{nodes_[i]->site().node, reachable});
    }
  }
}

void Reachability::clear() {
  std::ranges::fill(disturbed_until_, surroundings_.time.now());
  refresh();
}

}  // namespace ochrespring::simulation
