#include "fleet_control/server_plan.h"

#include <algorithm>
#include <cmath>

namespace ochrespring::fleet_control {

namespace {

std::uint32_t round_up(double servers) {
  return static_cast<std::uint32_t>(std::ceil(servers));
}

/// Preemptible servers per zone, such that the headroom remains when any one zone is lost.
std::uint32_t preemptible_per_zone(std::uint32_t needed, std::size_t zones,
                                   const ServerPlanOptions& options) {
  return round_up(needed * options.headroom / static_cast<double>(zones - 1));
}

std::uint32_t total_preemptible(const ServersByZone& servers) {
  std::uint32_t sum = 0;
  for (const auto& [zone, present] : servers) {
    sum += present.preemptible;
  }
  return sum;
}

}  // namespace

bool preemptible_is_cheaper(const gateway::ServerScaling& market, std::size_t zones,
                            const ServerPlanOptions& options) {
  if (!market.preemptible_price || zones < 2) {
    return false;
  }
  const double spare_ratio = static_cast<double>(zones) / static_cast<double>(zones - 1);
  return *market.preemptible_price * options.headroom * spare_ratio < 1.0;
}

ServersByZone plan_servers(const gateway::ServerScaling& market, std::uint32_t needed,
                           const ServersByZone& present, const ServerPlanOptions& options) {
  ServersByZone plan;
  const std::size_t zones = present.size();
  const auto share = static_cast<std::uint32_t>(needed / std::max<std::size_t>(1, zones));
  if (!preemptible_is_cheaper(market, zones, options)) {
    return present;
  }
  // Shortfall of the preemptible servers, spread over the zones.
  const std::uint32_t missing = needed - std::min(needed, total_preemptible(present));
  const std::uint32_t min_regular =
      std::max(round_up(options.min_regular_ratio * share),
               round_up(static_cast<double>(missing) / static_cast<double>(zones)));
  for (const auto& [zone, servers] : present) {
    ZoneServers& wanted = plan[zone];
    wanted.regular = std::min(min_regular, market.max_servers);
    // Released regular servers occupy capacity until they have drained.
    const std::uint32_t occupied = std::max(wanted.regular, servers.regular);
    wanted.preemptible = std::min(preemptible_per_zone(needed, zones, options),
                                  market.max_servers - std::min(market.max_servers, occupied));
    if (wanted.regular + wanted.preemptible < market.min_servers) {
      wanted.regular = market.min_servers - wanted.preemptible;
    }
  }
  return plan;
}

}  // namespace ochrespring::fleet_control
