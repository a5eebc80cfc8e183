// Interface for ordering servers from the platform.
#pragma once

#include <compare>
#include <cstdint>

#include "base/ids.h"
#include "duties/errc.h"
#include "duties/types.h"

namespace ochrespring::fleet_control {

/// Servers of one kind in one service and zone; an order sets their number.
struct ServerPool {
  ServiceName service;
  ZoneName zone;
  bool preemptible = false;

  auto operator<=>(const ServerPool&) const = default;
};

class ServerProvider {
 public:
  virtual ~ServerProvider() = default;
  /// Sets the desired number of servers in the pool. Fails with kRefused if none are available now,
  /// or if a higher fence was seen.
  virtual void order_servers(duties::Fence fence, const ServerPool& pool, std::uint32_t desired,
                             duties::DutyCallback done) = 0;
};

}  // namespace ochrespring::fleet_control
