// Difference between what operators configured for an engine and what it reports. Pure.
#pragma once

#include <optional>

#include "controller/change.h"
#include "fleet/types.h"

namespace ochrespring::controller {

/// Next change that brings the engine closer to its configuration, if it differs: model and version
/// first, then a pinned role, then adapters.
std::optional<WantedChange> next_configured_change(const fleet::Engine& engine,
                                                   const fleet::FleetDocument& document,
                                                   const engine::EngineStatus& status);

/// Whether the engine is a back end of an ordinary service, which takes no orders.
bool is_ordinary(const fleet::Engine& engine, const fleet::FleetDocument& document);

/// Drain limit of an engine's service.
Duration drain_limit(const fleet::Engine& engine, const fleet::FleetDocument& document);

}  // namespace ochrespring::controller
