// Test fleet of engines of one service.
#pragma once

#include <chrono>
#include <string>

#include "gateway/fleet_state.h"

namespace ochrespring::engine_profiles::testing {

inline const ServiceName kChat("chat");
inline constexpr std::uint32_t kTokensPerEvent = 75;
/// Time per output token of a normal test engine: 0.54 ms, which is the
/// simulated engine at 1.2 times its nominal speed.
inline constexpr Duration kOutputTokenTime = std::chrono::microseconds(540);

/// Returns an id of the same length as those of real engines.
inline gateway::BackendId engine_id(int i) {
  return gateway::BackendId("i-7f3a" + std::to_string(10'000 + i) + "@1787834510949");
}

/// Creates a fleet in which every fourth engine is a prefill engine.
inline gateway::FleetState make_fleet(int engines) {
  gateway::FleetState fleet;
  gateway::Service service{.name = kChat};
  service.engine = gateway::EngineShape{.slots = 6, .tokens_per_event = kTokensPerEvent};
  gateway::Configuration configuration;
  configuration.version = gateway::ConfigurationVersion(1);
  configuration.services.push_back(service);
  fleet.apply(configuration);
  for (int i = 0; i != engines; ++i) {
    gateway::Backend engine;
    engine.id = engine_id(i);
    engine.service = kChat;
    engine.role = i % 4 == 3 ? gateway::EngineRole::kPrefill : gateway::EngineRole::kDecode;
    fleet.put(engine);
  }
  return fleet;
}

}  // namespace ochrespring::engine_profiles::testing
