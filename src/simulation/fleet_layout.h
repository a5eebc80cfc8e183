// The fleet the simulation runs: its machines, engines, relays and first configuration.
#pragma once

#include <cstdint>
#include <vector>

#include "fleet/resource.h"
#include "simulation/engine.h"
#include "simulation/node_program.h"
#include "simulation/relay.h"

namespace ochrespring::simulation {

/// How large the simulated fleet is. Machines are spread over the zones in turn.
struct FleetSize {
  std::uint32_t zones = 3;
  std::uint32_t nodes = 9;
  std::uint32_t engines = 6;
  std::uint32_t relays = 3;
};

/// Names used by the simulated callers and operators.
inline constexpr char kModelService[] = "drafting-llm";
inline constexpr char kRelayService[] = "sms-relay";
inline constexpr char kModel[] = "drafter";
inline constexpr char kFirstVersion[] = "v1";
inline constexpr char kSecondVersion[] = "v2";
inline constexpr char kTenant[] = "clinics";

/// Requests end after this, so that a run can settle.
inline constexpr Duration kRequestDeadline = std::chrono::seconds(45);
/// How long claims of requests that may not be repeated are kept.
inline constexpr Duration kAttemptWindow = std::chrono::seconds(90);
/// Streams longer than this are moved by a drain.
inline constexpr Duration kDrainLimit = std::chrono::seconds(6);

ZoneName zone_name(std::uint32_t zone);
/// Server that hosts an engine or relay.
ServerId server_name(std::uint32_t index);
std::vector<NodeSite> node_sites(const FleetSize& size);
std::vector<EngineSite> engine_sites(const FleetSize& size);
std::vector<RelaySite> relay_sites(const FleetSize& size);
/// First configuration.
std::vector<fleet::Resource> first_resources(const FleetSize& size);

}  // namespace ochrespring::simulation
