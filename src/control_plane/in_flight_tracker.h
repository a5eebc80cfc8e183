// Requests in flight at each engine over the node's proxy loops, counted so that an acknowledgement
// of a restriction never precedes its effect.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "base/ids.h"
#include "control_plane/proxy_report.h"
#include "router/fleet_view.h"

namespace ochrespring::control_plane {

/// Pure. A view takes time to reach the proxy loops, which run on threads of their own. Until a
/// loop has reported that it dispatches under a view that restricts the engine, it may still send
/// to it, so it is counted as having a request there.
class InFlightTracker {
 public:
  explicit InFlightTracker(std::uint32_t loops) : loops_(loops) {}

  /// A view was handed to the loops.
  void on_view(const router::FleetView& view);
  /// A loop reported.
  void on_report(const ProxyReport& report);
  /// Requests at an engine, at least one for each loop that may still dispatch to it.
  std::uint32_t in_flight(const EngineId& engine) const;

 private:
  struct Loop {
    std::uint64_t view_sequence = 0;
    std::map<EngineId, std::uint32_t> requests;
  };

  std::vector<Loop> loops_;
  std::map<EngineId, std::uint64_t> restricted_since_;  ///< First view of the restriction.
};

}  // namespace ochrespring::control_plane
