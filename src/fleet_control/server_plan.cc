#include "fleet_control/server_plan.h"

#include <algorithm>
#include <cmath>

namespace ochrespring::fleet_control {

namespace {

std::uint32_t round_up(double servers) {
  return static_cast<std::uint32_t>(std::ceil(servers));
}

/// Preemptible servers of each zone, so that those of all but one have the head room.
std::uint32_t preemptible_per_zone(std::uint32_t needed, std::size_t zones,
                                   const ServerPlanOptions& options) {
  return round_up(needed * options.head_room / static_cast<double>(zones - 1));
}

std::uint32_t preemptible_in_all(const ServersByZone& servers) {
  std::uint32_t sum = 0;
  for (const auto& [zone, present] : servers) {
    sum += present.preemptible;
  }
  return sum;
}

}  // namespace

bool preemptible_pays(const gateway::ServerScaling& market, std::size_t zones,
                      const ServerPlanOptions& options) {
  if (!market.preemptible_price || zones < 2) {
    return false;
  }
  const double spares = static_cast<double>(zones) / static_cast<double>(zones - 1);
  return *market.preemptible_price * options.head_room * spares < 1.0;
}

ServersByZone plan_servers(const gateway::ServerScaling& market, std::uint32_t needed,
                           const ServersByZone& present, const ServerPlanOptions& options) {
  ServersByZone plan;
  const std::size_t zones = present.size();
  const auto share = static_cast<std::uint32_t>(needed / std::max<std::size_t>(1, zones));
  if (!preemptible_pays(market, zones, options)) {
    return present;
  }
  // What the preemptible servers do not make up for, spread over the zones.
  const std::uint32_t missing = needed - std::min(needed, preemptible_in_all(present));
  const std::uint32_t regular_least =
      std::max(round_up(options.regular_part * share),
               round_up(static_cast<double>(missing) / static_cast<double>(zones)));
  for (const auto& [zone, servers] : present) {
    ZoneServers& wanted = plan[zone];
    wanted.regular = std::min(regular_least, market.max_servers);
    // Regular servers that are given up make room only once they have gone.
    const std::uint32_t taken = std::max(wanted.regular, servers.regular);
    wanted.preemptible = std::min(preemptible_per_zone(needed, zones, options),
                                  market.max_servers - std::min(market.max_servers, taken));
    if (wanted.regular + wanted.preemptible < market.min_servers) {
      wanted.regular = market.min_servers - wanted.preemptible;
    }
  }
  return plan;
}

}  // namespace ochrespring::fleet_control
