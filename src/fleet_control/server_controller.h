// Orders servers while this node holds the duties.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/time.h"
#include "base/timer.h"
#include "duties/duty_lease.h"
#include "fleet_control/server_plan.h"
#include "fleet_control/server_provider.h"
#include "gateway/fleet_state.h"
#include "logging/logger.h"
#include "shared_store/store.h"

namespace ochrespring::fleet_control {

struct ServerControllerOptions {
  std::string key_prefix;  ///< Of the store; a service's name follows.
  ServerPlanOptions plan{};
  Duration period{std::chrono::milliseconds(500)};  ///< Between two looks at the fleet.
  /// A pool that still differs this long after its order and its servers' boot is ordered again:
  /// the order, or an older one carried out late, may have gone wrong.
  Duration reorder_delay{std::chrono::seconds(3)};
  /// After an order that failed, or was refused because none can be had: when some can is not told.
  Duration retry_delay{std::chrono::seconds(1)};
  /// Regular servers are ordered only for what lacks this long: crashed servers and those of a lost
  /// zone mostly come back sooner, and each server that is given up again drains.
  Duration shortage_grace_period{std::chrono::seconds(10)};
  /// Part of the servers needed that may lack meanwhile.
  double tolerated_shortage_ratio = 0.2;
  /// After servers lacked, regular ones are given up only once none has for this long. Guards the
  /// bound of drains: ordered at once and without this, 72 servers were given up at the same moment
  /// 7.5 s after their order, and a node that was cut off sent ten requests to such servers beyond
  /// the bound (one day of eight, played once).
  Duration release_delay{std::chrono::seconds(30)};
  /// Regular servers are given up once the service's need has not risen for this long: when all
  /// start at once, servers register over some seconds.
  Duration need_settling_time{std::chrono::seconds(3)};
};

struct ServerControllerStatistics {
  std::uint64_t orders = 0;
  std::uint64_t failed = 0;   ///< Without effect, or with an unknown one.
  std::uint64_t refused = 0;  ///< None to be had.
};

/// Brings each service whose servers can be ordered to what plan_servers() says. The most servers
/// that were ever seen to be regular is what a service needs: the operators' own sizing, kept in
/// the store for whoever holds the duties next. One loop.
///
/// Saves 0.09 to 0.11 of a day's credit: 140 regular servers cost 0.157 to 0.174 of it, 210 that
/// may be taken away 0.06 to 0.07 with those they replace (seven days, each played before and
/// after).
class ServerController {
 public:
  /// References outlive the controller.
  struct World {
    const Clock& clock;
    TimerService& timers;
    shared_store::SharedStore& store;
    logging::Logger& logger;
    const gateway::FleetState& fleet;
    duties::DutyLease& lease;
    ServerProvider& provider;
  };

  ServerController(World world, ServerControllerOptions options);

  void start();
  /// This node has begun to hold the duties: nothing of an earlier time counts.
  void on_gained() { reset_pending_ = true; }
  const ServerControllerStatistics& statistics() const { return statistics_; }
  /// Servers that each service needs, as far as known.
  const std::map<ServiceName, std::uint32_t>& needed() const { return needed_; }

 private:
  /// What was last ordered of a pool.
  struct Order {
    std::uint32_t desired = 0;
    MonotonicTime at{};
    bool call_pending = false;
    bool failed = false;
  };

  void step();
  void read_stored_needs(duties::Fence fence);
  /// Returns whether what the service needs is known and written down.
  bool ensure_need_stored(const ServiceName& service, const ServersByZone& present);
  ServersByZone count_servers(const gateway::Service& service) const;
  void adjust_service(duties::Fence fence, const gateway::Service& service);
  /// How many regular servers a zone is to have now: not more for what lacks for a short time only,
  /// not fewer before the need is sure.
  std::uint32_t regular_target(const ServiceName& service, std::uint32_t wanted,
                               std::uint32_t present) const;
  /// Notes whether servers lack.
  void update_supply(const ServiceName& service, const ServersByZone& present);
  void order(duties::Fence fence, const ServerPool& pool, std::uint32_t desired,
             std::uint32_t present, Duration boot);
  void on_order_completed(const ServerPool& pool, const duties::DutyResult& result);
  void log_store_failure(std::string_view message, std::string_view detail);
  void log(std::string_view message, const ServerPool& pool, std::uint32_t desired,
           std::uint32_t present, std::string_view detail);

  World world_;
  ServerControllerOptions options_;
  Timer timer_;
  bool reset_pending_ = true;
  bool store_call_pending_ = false;  ///< The store, for what is needed.
  std::map<ServiceName, std::uint32_t> needed_;
  std::map<ServiceName, MonotonicTime> need_raised_at_;
  /// What this holder has seen of a service's servers.
  struct Supply {
    std::optional<MonotonicTime> shortage_since;  ///< Since when too many lack; none: they do not.
    /// When regular servers last had to stand in, or may have: then they are not given up soon.
    std::optional<MonotonicTime> regular_required_at;
  };
  std::map<ServiceName, Supply> supplies_;
  std::map<ServerPool, Order> orders_;
  ServerControllerStatistics statistics_;
};

}  // namespace ochrespring::fleet_control
