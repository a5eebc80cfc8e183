// What the controller reads of the rest of the node.
#pragma once

#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "config/config_service.h"
#include "control_plane/engine_poller.h"
#include "controller/shard_controller.h"
#include "digest/digest_service.h"

namespace ochrespring::control_plane {

/// Used on the control loop only; the components outlive it.
class ControllerObservations final : public controller::FleetObservations {
 public:
  ControllerObservations(const config::ConfigService& config, const digest::DigestService& digest,
                         const EnginePoller& engines)
      : config_(config), digest_(digest), engines_(engines) {}

  std::vector<planner::DemandSample> demand(const ServiceName& service) const override;
  std::optional<std::pair<engine::LoadReport, MonotonicTime>> load(
      const EngineId& engine) const override;
  bool in_service(const EngineId& engine) const override;

 private:
  const config::ConfigService& config_;
  const digest::DigestService& digest_;
  const EnginePoller& engines_;
};

}  // namespace ochrespring::control_plane
