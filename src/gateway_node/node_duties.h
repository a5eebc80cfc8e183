// The duties that one node performs for the fleet: reporting usage and ordering servers.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "duties/duty_lease.h"
#include "fleet_control/server_controller.h"
#include "gateway/fleet_state.h"
#include "logging/logger.h"
#include "metrics/metrics.h"
#include "usage/usage_meter.h"
#include "usage/usage_reporter.h"
#include "usage/usage_tally.h"
#include "usage/wall_clock_estimate.h"

namespace ochrespring::gateway_node {

struct NodeDutiesOptions {
  std::string key_prefix;  ///< Of the duties' keys in the store.
  NodeId node;
  /// Time after which the lease of the duties expires if it is not renewed.
  Duration lease{std::chrono::milliseconds(3000)};
  usage::WindowLength usage_windows;
  Duration usage_due{std::chrono::seconds(10)};  ///< From the end of a usage window to its report.
  fleet_control::ServerPlanOptions server_plan{};
};

/// Counts the usage of this node, and performs the duties while this node holds their lease. Every
/// node is ready to take over. Performs no input or output itself. Not thread-safe; used on one
/// event loop.
class NodeDuties {
 public:
  /// The referenced objects must outlive the NodeDuties.
  struct Dependencies {
    const Clock& clock;
    TimerService& timers;
    RandomSource& random;
    shared_store::SharedStore& store;
    logging::Logger& logger;
    const gateway::FleetState& fleet;
    usage::UsageSink* usage_sink;                    ///< Null: no usage is reported.
    fleet_control::ServerProvider* server_provider;  ///< Null: no servers are ordered.
  };
  struct Peers {
    /// Whether this node may claim and hold the lease, according to its directory.
    duties::DutyLease::Eligibility eligibility;
    usage::UsageMeter::Send send_usage;  ///< To the nodes that may hold the duties.
  };

  NodeDuties(Dependencies deps, const NodeDutiesOptions& options, const Peers& peers);

  void start();
  /// Counts a request that this node started running `ago`.
  void note_run(const TenantName& tenant, Duration ago);
  /// Receives the usage of another node.
  void receive_usage(const usage::UsageReport& report) { tally_.add(report); }
  /// Called when the planned stop begins, while requests are still served. Sends the usage counted
  /// so far and stops holding the lease.
  void leave();
  /// Called when the store was restored from an older copy.
  void on_store_rolled_back();
  /// Called before the process ends. Sends the remaining usage.
  void finish() { flush_usage(); }
  void add_metrics(metrics::SampleSink& sink) const;

 private:
  /// Returns whether this node's view is recent and was current after all nodes had time to
  /// register, and `is_first_choice` returns true.
  bool may_claim(const std::function<bool()>& is_first_choice) const;
  void flush_usage();

  Dependencies deps_;
  MonotonicTime started_;
  /// Set only with the meter, because it samples the clocks all the time.
  std::optional<usage::WallClockEstimate> wall_clock_;
  usage::UsageTally tally_;
  std::optional<usage::UsageMeter> meter_;
  duties::DutyLease lease_;
  std::optional<usage::UsageReporter> reporter_;
  std::optional<fleet_control::ServerController> servers_;
};

}  // namespace ochrespring::gateway_node
