// What the proxy loops tell the control loop.
#pragma once

#include <chrono>
#include <cstdint>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "planner/planner.h"

namespace ochrespring::control_plane {

/// Requests of one proxy loop in flight at one engine.
struct EngineInFlight {
  EngineId engine;
  std::uint32_t requests = 0;
};

/// State of one proxy loop: sent after every view it applied, and each kProxyReportInterval.
struct ProxyReport {
  std::uint32_t loop = 0;
  /// Newest view the loop dispatches under; no dispatch under an older one follows.
  std::uint64_t view_sequence = 0;
  std::vector<EngineInFlight> in_flight;  ///< Engines with none are left out.
  std::vector<planner::DemandSample> demand;
};

/// How often a proxy loop reports when nothing else makes it.
inline constexpr Duration kProxyReportInterval{std::chrono::milliseconds(250)};

}  // namespace ochrespring::control_plane
