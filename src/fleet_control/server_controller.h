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
  std::string key_prefix;  ///< Prefix of the store keys; the service name follows.
  ServerPlanOptions plan{};
  Duration period{std::chrono::milliseconds(500)};  ///< Interval between checks of the fleet.
  /// A pool that still differs this long after its order plus the boot time is ordered again: the
  /// order may have been lost, or a delayed older order may have overridden it.
  Duration reorder_delay{std::chrono::seconds(3)};
  /// Delay after an order that failed or was refused for lack of servers. The provider does not
  /// announce when servers become available.
  Duration retry_delay{std::chrono::seconds(1)};
  /// How long a shortage must last before regular servers are ordered. Crashed servers and those of
  /// a lost zone mostly return sooner, and each server released again must drain.
  Duration shortage_grace_period{std::chrono::seconds(10)};
  /// Fraction of the needed servers that may be missing without counting as a shortage.
  double tolerated_shortage_ratio = 0.2;
  /// How long there must be no shortage before regular servers are released. Together
  /// with the grace period, this prevents servers from being released shortly after their order.
  /// Without both, 72 servers were released at once 7.5 s after their order, and a node cut off
  /// from the fleet, whose view was outdated, sent ten requests to them after the drain limit.
  Duration release_delay{std::chrono::seconds(30)};
  /// How long the need of a service must not have risen before regular servers are released. When
  /// all servers start at once, they register over some seconds.
  Duration need_settling_time{std::chrono::seconds(3)};
};

struct ServerControllerStatistics {
  std::uint64_t orders = 0;
  std::uint64_t failed = 0;   ///< Orders without effect or with an unknown effect.
  std::uint64_t refused = 0;  ///< Refused orders: no servers available, or a higher fence was seen.
};

/// Adjusts each service whose servers can be ordered to the result of plan_servers(). The need of a
/// service is the largest number of regular servers ever seen, which reflects the operators' own
/// sizing. It is kept in the store for the next holder. Runs on one loop.
///
/// 140 regular servers cost 0.157 to 0.174 of a day's credit. 210 preemptible ones, together with
/// the regular ones that they replace, cost 0.06 to 0.07, which saves 0.09 to 0.11 (seven days,
/// each run with and without).
class ServerController {
 public:
  /// The referenced objects must outlive the controller.
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
  /// This node has acquired the duties: state from an earlier tenure is discarded.
  void on_gained() { reset_pending_ = true; }
  const ServerControllerStatistics& statistics() const { return statistics_; }
  /// Known number of servers that each service needs.
  const std::map<ServiceName, std::uint32_t>& needed() const { return needed_; }

 private:
  /// Last order for a pool.
  struct Order {
    std::uint32_t desired = 0;
    MonotonicTime at{};
    bool call_pending = false;
    bool failed = false;
  };

  void step();
  void read_stored_needs(duties::Fence fence);
  /// Records the regular servers seen as the need of the service if it is higher than before.
  /// Returns whether the need is known and stored.
  bool ensure_need_stored(const ServiceName& service, const ServersByZone& present);
  ServersByZone count_servers(const gateway::Service& service) const;
  void adjust_service(duties::Fence fence, const gateway::Service& service);
  /// Number of regular servers a zone should have now: no increase for a short shortage, and no
  /// decrease before supply and need are stable.
  std::uint32_t regular_target(const ServiceName& service, std::uint32_t wanted,
                               std::uint32_t present) const;
  /// Updates whether the service is short of servers.
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
  bool store_call_pending_ = false;  ///< A store call about needs is pending.
  std::map<ServiceName, std::uint32_t> needed_;
  std::map<ServiceName, MonotonicTime> need_raised_at_;
  /// Supply of a service as observed by this holder.
  struct Supply {
    /// Start of the current shortage; empty if there is none.
    std::optional<MonotonicTime> shortage_since;
    /// When regular servers were last required, or may have been; they are not released soon after.
    std::optional<MonotonicTime> regular_required_at;
  };
  std::map<ServiceName, Supply> supplies_;
  std::map<ServerPool, Order> orders_;
  ServerControllerStatistics statistics_;
};

}  // namespace ochrespring::fleet_control
