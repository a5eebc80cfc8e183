// The fleets the emulator runs: their places, services, engines and delays. docs/EMULATOR.md gives
// the source of each figure.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "engine_model/engine_model.h"
#include "fleet/types.h"

namespace ochrespring::emulator {

/// Ordinary back ends: a fixed time a request, a few at once, a queue.
struct OrdinaryParameters {
  Duration service_time{std::chrono::milliseconds(40)};
  std::uint32_t concurrency = 16;
};

/// Everything of a run that is neither workload nor policy.
struct Deployment {
  std::string name;
  std::vector<ZoneName> zones;
  fleet::Service model_service;
  fleet::Model model;
  fleet::Service ordinary_service;
  std::uint32_t engines_per_zone = 3;
  std::uint32_t ordinary_per_zone = 1;
  std::uint32_t proxies_per_zone = 2;
  fleet::Policy policy;
  engine_model::EngineParameters engine;
  OrdinaryParameters ordinary;

  Duration own_zone_delay{std::chrono::microseconds(50)};  ///< One way, proxy to engine.
  Duration other_zone_delay{};                             ///< One way between zones.
  Duration client_delay{std::chrono::milliseconds(3)};     ///< One way, caller to proxy.

  Duration report_interval{std::chrono::milliseconds(500)};  ///< Between load reports.
  Duration report_lag{std::chrono::milliseconds(500)};  ///< From a report's figures to a proxy.
  Duration cache_event_lag{std::chrono::seconds(1)};
  double cache_event_loss = 0;  ///< Share of cache events that never arrive.
  Duration control_lag{std::chrono::milliseconds(300)};    ///< From a decision to every proxy.
  Duration view_interval{std::chrono::milliseconds(250)};  ///< Between a proxy's snapshots.
  Duration plan_interval{std::chrono::seconds(1)};
  Duration failure_detection{std::chrono::seconds(2)};  ///< Until a silent engine is given up.
};

/// The fleets of docs/EMULATOR.md by name, gateway or auction; empty for any other name.
std::optional<Deployment> find_deployment(const std::string& name);

}  // namespace ochrespring::emulator
