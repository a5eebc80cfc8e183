// Who provides servers, by order.
#pragma once

#include <compare>
#include <cstdint>

#include "base/ids.h"
#include "duties/errc.h"
#include "duties/types.h"

namespace ochrespring::fleet_control {

/// One kind of servers of a service in a zone: what an order sets the number of.
struct ServerPool {
  ServiceName service;
  ZoneName zone;
  bool preemptible = false;

  auto operator<=>(const ServerPool&) const = default;
};

class ServerProvider {
 public:
  virtual ~ServerProvider() = default;
  /// How many servers the pool is to have. kRefused: none can be had now, or a higher fence was
  /// seen.
  virtual void order_servers(duties::Fence fence, const ServerPool& pool, std::uint32_t desired,
                             duties::DutyCallback done) = 0;
};

}  // namespace ochrespring::fleet_control
