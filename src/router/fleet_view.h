// What a proxy knows of the fleet: an immutable snapshot the control loop publishes.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "engine/types.h"
#include "fleet/types.h"

namespace ochrespring::router {

/// One engine as the router sees it.
struct EngineView {
  EngineId id;
  ServiceName service;
  ServerId server;
  ZoneName zone;
  RegionName region;
  Endpoint endpoint;
  fleet::EngineRole role = fleet::EngineRole::kMixed;
  ModelName model;
  VersionName version;
  std::vector<AdapterName> adapters;
  engine::EnginePhase phase = engine::EnginePhase::kServing;
  bool draining = false;             ///< No new work; in-flight work goes on.
  bool moving_streams = false;       ///< Draining, and streams in flight move to other engines.
  MonotonicTime dispatchable_until;  ///< Routing grant: nothing is dispatched at or after this.
  engine::LoadReport load;           ///< Latest known.
  MonotonicTime load_taken;          ///< When the figures in `load` were true.
};

/// Everything a routing decision reads besides the router's own counts. Immutable once published;
/// shared between loops by shared_ptr<const FleetView>.
struct FleetView {
  Revision revision;
  std::uint64_t sequence = 0;  ///< Grows with every published snapshot.
  std::vector<fleet::Service> services;
  std::vector<fleet::Model> models;
  std::vector<fleet::Tenant> tenants;
  fleet::Policy policy;
  std::vector<EngineView> engines;
};

using FleetViewPointer = std::shared_ptr<const FleetView>;

}  // namespace ochrespring::router
