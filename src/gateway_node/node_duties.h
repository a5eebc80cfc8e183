// What one node of the fleet does for all: its lease, the usage it reports, the servers it orders.
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
  std::string key_prefix;  ///< Of the store.
  NodeId node;
  Duration lease{std::chrono::milliseconds(3000)};
  usage::WindowLength usage_windows;
  Duration usage_due{std::chrono::seconds(10)};
  fleet_control::ServerPlanOptions server_plan{};
};

/// Every node counts its own usage and is ready to take the duties over. Does no input or output
/// itself; one loop.
class NodeDuties {
 public:
  /// References outlive it.
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
    duties::DutyLease::Fitness eligibility;  ///< By what this node knows of the others.
    usage::UsageMeter::Send send_usage;  ///< Tells this node's usage to those that may report it.
  };

  NodeDuties(Dependencies deps, const NodeDutiesOptions& options, const Peers& peers);

  void start();
  /// A request of this node has begun to run.
  void note_run(const TenantName& tenant, Duration ago);
  /// Another node's usage.
  void receive_usage(const usage::UsageReport& report) { tally_.take(report); }
  /// This node takes no more requests.
  void leave();
  /// The store has come back from an older copy.
  void on_store_rolled_back();
  /// The process is about to end.
  void finish() { flush_usage(); }
  void add_metrics(metrics::SampleSink& sink) const;

 private:
  bool may_claim(const std::function<bool()>& first_choice) const;
  void flush_usage();

  Dependencies deps_;
  MonotonicTime started_;
  std::optional<usage::WallClockEstimate> wall_;  ///< With the meter: it samples all the time.
  usage::UsageTally tally_;
  std::optional<usage::UsageMeter> meter_;
  duties::DutyLease lease_;
  std::optional<usage::UsageReporter> reporter_;
  std::optional<fleet_control::ServerController> servers_;
};

}  // namespace ochrespring::gateway_node
