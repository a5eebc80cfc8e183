// Builds the snapshot proxies route by, from the configuration and what is known of engines.
#pragma once

#include <functional>
#include <optional>

#include "control_plane/engine_poller.h"
#include "digest/load_table.h"
#include "fleet/types.h"
#include "grants/grant_table.h"
#include "router/fleet_view.h"

namespace ochrespring::control_plane {

/// What the builder reads. Pure: nothing is kept.
struct FleetViewInput {
  const fleet::FleetDocument& document;
  std::uint64_t sequence = 0;
  /// Latest observation of an engine, or null.
  std::function<const EngineObservation*(const EngineId&)> observation;
  /// Freshest load of an engine, if anything recent is known.
  std::function<std::optional<digest::LoadReading>(const fleet::Engine&)> load;
  /// Leave to dispatch, as the shard's holder gave it.
  std::function<grants::EngineGrant(const EngineId&)> grant;
  /// Whether the platform says the server is leaving.
  std::function<bool(const ServerId&)> leaving;
};

router::FleetViewPointer build_fleet_view(const FleetViewInput& input);

}  // namespace ochrespring::control_plane
