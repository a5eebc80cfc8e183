// The simulated fleet as a whole: machines, engines, relays, platform, callers and operators, and
// everything that can be done to them.
#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "base/random.h"
#include "simulation/callers.h"
#include "simulation/fleet_layout.h"
#include "simulation/leaving_backends.h"
#include "simulation/network_faults.h"
#include "simulation/node_slot.h"
#include "simulation/operators.h"
#include "simulation/reachability.h"

namespace ochrespring::simulation {

struct WorldSettings {
  std::uint64_t seed = 1;
  FleetSize size;
  Plant plant = Plant::kNone;
};

/// Single-threaded; one per run. Everything in it is drawn from the seed.
class World {
 public:
  World(const WorldSettings& settings, oracle::ObservationSink& sink);
  ~World();
  World(const World&) = delete;
  World& operator=(const World&) = delete;

  /// Starts all nodes and installs the first configuration.
  void start();
  /// Runs until true time `end`.
  void run_until(MonotonicTime end) { time_.run_until(end); }
  /// Ends every fault: links healed, paused nodes woken, engines and nodes left to restart.
  void heal();

  VirtualTime& time() { return time_; }
  NodeSlots& nodes() { return nodes_; }
  NodeSlot& node(std::uint32_t index) { return *nodes_[index % nodes_.size()]; }
  SimulatedEngine& engine(std::uint32_t index) { return *engines_[index % engines_.size()]; }
  std::size_t engine_count() const { return engines_.size(); }
  std::size_t relay_count() const { return relays_.size(); }
  SimulatedRelay& relay(std::uint32_t index) { return *relays_[index % relays_.size()]; }
  Callers& callers() { return callers_; }
  Operators& operators() { return operators_; }
  NetworkFaults& network_faults() { return network_faults_; }
  Reachability& reachability() { return reachability_; }
  KeyValueService& key_value() { return key_value_; }
  FaultCounters& faults() { return faults_; }

  void kill_node(std::uint32_t index, Duration down);
  void pause_node(std::uint32_t index, Duration span);
  /// Kills the nodes of a zone and crashes its engines and relays.
  void lose_zone(std::uint32_t zone, Duration span);
  /// The platform announces that a server leaves, and takes that back after `span`.
  void announce_server_leaving(std::uint32_t index, Duration span);
  void lag_machine_list(Duration span);
  void lose_engine_answers(Duration span);
  void take_key_value_down(Duration span);

  std::uint64_t messages_delivered() const { return peers_.delivered(); }

 private:
  void tick();
  void build_backends(const WorldSettings& settings);
  void build_nodes(const WorldSettings& settings);

  WorldSettings settings_;
  VirtualTime time_;
  SeededRandom random_;
  FaultCounters faults_;
  Network network_;
  Surroundings surroundings_;
  PeerSwitch peers_;
  KeyValueService key_value_;
  standin::MachineTable machines_;
  LeavingBackends leaving_;
  double lost_engine_answers_ = 0;
  FaultWindow engine_answers_lost_;
  FaultWindow list_lags_;
  std::vector<std::unique_ptr<SimulatedEngine>> engines_;
  std::vector<std::unique_ptr<SimulatedRelay>> relays_;
  EngineDirectory engine_directory_;
  BackendDirectory backend_directory_;
  NodeSlots nodes_;
  Reachability reachability_;
  NetworkFaults network_faults_;
  Callers callers_;
  Operators operators_;
};

}  // namespace ochrespring::simulation
