#include "control_plane/controller_observations.h"

#include <algorithm>

namespace ochrespring::control_plane {

std::vector<planner::DemandSample> ControllerObservations::demand(
    const ServiceName& service) const {
  const auto document = config_.document();
  std::vector<planner::DemandSample> samples;
  for (const planner::DemandSample& sample : digest_.demand()) {
    const bool offered = std::any_of(
        document->models.begin(), document->models.end(), [&](const fleet::Model& model) {
          return model.name == sample.model && model.service == service;
        });
    if (offered) {
      samples.push_back(sample);
    }
  }
  return samples;
}

std::optional<std::pair<engine::LoadReport, MonotonicTime>> ControllerObservations::load(
    const EngineId& engine) const {
  const auto document = config_.document();
  const auto found =
      std::find_if(document->engines.begin(), document->engines.end(),
                   [&](const fleet::Engine& candidate) { return candidate.id == engine; });
  if (found == document->engines.end()) {
    return std::nullopt;
  }
  const std::optional<digest::LoadReading> reading = digest_.load(*found);
  if (!reading || reading->aggregated) {
    return std::nullopt;
  }
  return std::pair(reading->report, reading->taken);
}

bool ControllerObservations::in_service(const EngineId& engine) const {
  const EngineObservation* observation = engines_.find(engine);
  return observation != nullptr && observation->failures == 0 && observation->status &&
         observation->status->phase == engine::EnginePhase::kServing;
}

}  // namespace ochrespring::control_plane
