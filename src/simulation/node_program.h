// The program that runs on one simulated machine, as the world drives it, and what the world gives
// it.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "fleet/types.h"
#include "operator_api/fleet_admin.h"
#include "simulation/caller.h"
#include "simulation/engine_control_client.h"
#include "simulation/exchange.h"
#include "simulation/key_value_service.h"
#include "simulation/plant.h"
#include "simulation/process_runtime.h"
#include "simulation/surroundings.h"
#include "simulation/transport.h"
#include "standin/model/machine_table.h"

namespace ochrespring::simulation {

/// One machine's name and place.
struct NodeSite {
  NodeId node;
  ZoneName zone;
  RegionName region;
  Endpoint peer;
};

/// Back ends by the endpoint they listen on.
using BackendDirectory = std::map<Endpoint, BackendHost*>;

/// The platform and the other machines; outlive every program.
struct NodeWorld {
  Surroundings surroundings;
  PeerSwitch& peers;
  KeyValueService& key_value;
  standin::MachineTable& machines;
  const EngineDirectory& engines;
  const BackendDirectory& backends;
  const double& lost_engine_answers;
  std::vector<Endpoint> seeds;
  Plant plant = Plant::kNone;
};

/// A running process of the system. Destroyed when the process ends, however it ends.
class NodeProgram {
 public:
  virtual ~NodeProgram() = default;
  virtual void start() = 0;
  /// Whether callers' connections are accepted.
  virtual bool accepting() const = 0;
  /// A caller's request arrived.
  virtual void submit(const std::shared_ptr<CallerRecord>& caller) = 0;
  /// The caller of a request closed its connection.
  virtual void on_caller_gone(const RequestId& request) = 0;
  /// An operator's change.
  virtual void mutate(const fleet::Mutation& mutation,
                      operator_api::AdminCallback<operator_api::MutationOutcome> done) = 0;
  /// Document in force; null before the first.
  virtual std::shared_ptr<const fleet::FleetDocument> document() const = 0;
  /// Planned stop; `done` runs when the process may end.
  virtual void stop(std::function<void()> done) = 0;
};

/// Builds the program of one process.
std::unique_ptr<NodeProgram> make_node_program(const NodeSite& site, Incarnation incarnation,
                                               const std::shared_ptr<ProcessRuntime>& runtime,
                                               std::uint64_t seed, const NodeWorld& world);

}  // namespace ochrespring::simulation
