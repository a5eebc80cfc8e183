// A proxy's client of the simulated back ends.
#pragma once

#include <memory>

#include "proxy/backend.h"
#include "simulation/node_program.h"

namespace ochrespring::simulation {

/// Starts exchanges over the simulated network. Planted bugs of the transport to back ends are in
/// here: each breaks one rule of BackendClient's contract.
class SimulatedBackendClient final : public proxy::BackendClient {
 public:
  SimulatedBackendClient(const NodeWorld& world, const std::shared_ptr<ProcessRuntime>& runtime,
                         const NodeSite& site)
      : world_(world), runtime_(runtime), site_(site) {}

  std::unique_ptr<proxy::Attempt> start(proxy::BackendRequest request,
                                        proxy::AttemptObserver& observer) override;

 private:
  const NodeWorld& world_;
  std::weak_ptr<ProcessRuntime> runtime_;
  NodeSite site_;
};

}  // namespace ochrespring::simulation
