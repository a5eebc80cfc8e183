// The whole program of a node in the simulation: the daemon's control plane, router and proxy, with
// simulated clocks, network and platform.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "base/random.h"
#include "base/timer.h"
#include "control_plane/control_plane.h"
#include "logging/logger.h"
#include "proxy/proxy.h"
#include "router/goodput_router.h"
#include "simulation/backend_client.h"
#include "simulation/claim_link.h"
#include "simulation/key_value_client.h"
#include "simulation/machine_list_client.h"
#include "simulation/node_program.h"

namespace ochrespring::simulation {

/// Passes the peers' messages of one channel to the control plane.
class ChannelReceiver final : public peer::Receiver {
 public:
  ChannelReceiver(control_plane::ControlPlane& control_plane, peer::Channel channel);
  void on_message(const Endpoint& from, std::string_view payload) override;

 private:
  control_plane::ControlPlane& control_plane_;
  peer::Channel channel_;
};

/// Composes the same classes as ochrespringd. One proxy loop, which shares the control loop.
class SimulatedProgram final : public NodeProgram, private control_plane::FleetViewObserver {
 public:
  SimulatedProgram(const NodeSite& site, Incarnation incarnation,
                   const std::shared_ptr<ProcessRuntime>& runtime, std::uint64_t seed,
                   const NodeWorld& world);

  void start() override;
  bool accepting() const override;
  void submit(const std::shared_ptr<CallerRecord>& caller) override;
  void on_caller_gone(const RequestId& request) override;
  void mutate(const fleet::Mutation& mutation,
              operator_api::AdminCallback<operator_api::MutationOutcome> done) override;
  std::shared_ptr<const fleet::FleetDocument> document() const override;
  void stop(std::function<void()> done) override;

 private:
  void on_fleet_view(router::FleetViewPointer view) override;
  void on_cache_events(const EngineId& engine, Incarnation incarnation,
                       const std::vector<engine::CacheEvent>& events) override;
  void report();
  void report_to_control_plane();

  NodeSite site_;
  const NodeWorld& world_;
  std::shared_ptr<ProcessRuntime> runtime_;
  SeededRandom random_;
  logging::NullLogger logger_;
  SimulatedTransport transport_;
  KeyValueClient key_value_;
  MachineListClient machine_list_;
  EngineControlClient engine_control_;
  control_plane::ControlPlane control_plane_;
  router::GoodputRouter router_;
  SimulatedBackendClient backends_;
  ClaimLink claims_;
  proxy::Proxy proxy_;
  std::vector<std::unique_ptr<ChannelReceiver>> receivers_;
  std::map<RequestId, proxy::RequestTicket> tickets_;
  Timer report_timer_;
};

}  // namespace ochrespring::simulation
