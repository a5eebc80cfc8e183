#include "control_plane/in_flight_tracker.h"

#include <algorithm>

namespace ochrespring::control_plane {

void InFlightTracker::on_view(const router::FleetView& view) {
  std::map<EngineId, std::uint64_t> restricted;
  for (const router::EngineView& engine : view.engines) {
    if (!engine.draining) {
      continue;
    }
    const auto known = restricted_since_.find(engine.id);
    restricted[engine.id] = known == restricted_since_.end() ? view.sequence : known->second;
  }
  restricted_since_ = std::move(restricted);
}

void InFlightTracker::on_report(const ProxyReport& report) {
  if (report.loop >= loops_.size()) {
    return;
  }
  Loop& loop = loops_[report.loop];
  loop.view_sequence = report.view_sequence;
  loop.requests.clear();
  for (const EngineInFlight& entry : report.in_flight) {
    loop.requests[entry.engine] = entry.requests;
  }
}

std::uint32_t InFlightTracker::in_flight(const EngineId& engine) const {
  const auto restricted = restricted_since_.find(engine);
  std::uint32_t total = 0;
  for (const Loop& loop : loops_) {
    const auto found = loop.requests.find(engine);
    const std::uint32_t counted = found == loop.requests.end() ? 0 : found->second;
    const bool may_dispatch =
        restricted == restricted_since_.end() || loop.view_sequence < restricted->second;
    total += may_dispatch ? std::max(counted, std::uint32_t{1}) : counted;
  }
  return total;
}

}  // namespace ochrespring::control_plane
