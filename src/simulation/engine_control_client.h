// A process's client of the simulated engines' control interface.
#pragma once

#include <map>
#include <utility>
#include <vector>

#include "external/engine_control.h"
#include "simulation/engine.h"
#include "simulation/process_runtime.h"

namespace ochrespring::simulation {

/// Engines by the endpoint they listen on.
using EngineDirectory = std::map<Endpoint, SimulatedEngine*>;

/// Planted bugs of the client.
struct EngineControlTestingFaults {
  bool sends_orders_twice = false;
  bool hides_in_flight = false;  ///< Engines seem to have nothing in flight.
};

/// Each call takes a connection of its own; a connection does not outlive the engine's process.
class EngineControlClient final : public external::EngineControl {
 public:
  EngineControlClient(Surroundings surroundings, const EngineDirectory& engines,
                      ProcessRuntime& process, NodeId node, HostName self,
                      const double& lost_answer, EngineControlTestingFaults testing_faults = {})
      : surroundings_(surroundings),
        engines_(engines),
        process_(process),
        node_(std::move(node)),
        self_(std::move(self)),
        lost_answer_(lost_answer),
        testing_faults_(testing_faults) {}

  void status(const Endpoint& engine,
              external::ExternalCallback<engine::EngineStatus> done) override;
  void order(const Endpoint& engine, const engine::EngineOrder& order,
             external::ExternalCallback<engine::EngineStatus> done) override;
  void load(const Endpoint& engine,
            external::ExternalCallback<std::vector<engine::LoadReport>> done) override;
  void cache_events(const Endpoint& engine, std::uint64_t after,
                    external::ExternalCallback<external::CacheEventBatch> done) override;

 private:
  template <class T>
  void call(const Endpoint& endpoint,
            std::function<Result<T, external::ExternalError>(SimulatedEngine&)> effect,
            external::ExternalCallback<T> done);

  Surroundings surroundings_;
  const EngineDirectory& engines_;
  ProcessRuntime& process_;
  NodeId node_;
  HostName self_;
  const double& lost_answer_;  ///< Chance that an engine's answer is lost now.
  EngineControlTestingFaults testing_faults_;
};

}  // namespace ochrespring::simulation
