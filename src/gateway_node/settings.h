// Settings of one gateway node: flags, or keys of the settings file of the same names.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "admission_queue/service_queue.h"
#include "base/ids.h"
#include "base/time.h"
#include "fleet_control/server_plan.h"
#include "gateway/retry_budget.h"
#include "logging/logger.h"
#include "settings/node_settings.h"

namespace ochrespring::gateway_node {

struct Settings {
  NodeId node;
  ZoneName zone;
  Endpoint listen;              ///< Callers' requests.
  Endpoint ready_listen;        ///< The platform's readiness checks.
  Endpoint directory_listen;    ///< Callers' look-ups of nodes.
  Endpoint metrics_listen;      ///< Empty: no metrics.
  Endpoint peer_listen;         ///< Other nodes' datagrams.
  Endpoint view_listen;         ///< Other nodes' requests for this node's view; empty: none.
  std::vector<Endpoint> seeds;  ///< Nodes to ask for their view while the store is out.
  Endpoint store;               ///< The store all nodes share.
  gateway::RetryBudgetSettings retry_budget;
  /// Of requests that wait at this node for full back ends, for each service.
  admission_queue::QueueLimits queue;
  Duration stop_grace{std::chrono::seconds(8)};  ///< From the stop signal to the end by force.
  /// A back end that drains gets nothing new after this time.
  Duration drain_bound{std::chrono::milliseconds(2000)};
  /// A configuration is in force after this time.
  Duration configuration_bound{std::chrono::milliseconds(2000)};
  Duration node_lease{std::chrono::seconds(3)};
  std::uint32_t link_mbps = 0;  ///< Of this machine's network link; 0: not known.
  /// From this many nodes on, news between nodes goes by relays.
  std::uint32_t relay_from_nodes = 48;
  std::uint32_t replicate_resumable_streams = 0;  ///< 0 or 1.
  /// How long a relay gathers what it is told before it tells its zone.
  Duration relay_batch_window{std::chrono::milliseconds(10)};
  Endpoint cloud;  ///< Takes the calls of duties; empty: there are none.
  bool reports_usage = false;
  bool orders_servers = false;
  Duration usage_window{std::chrono::seconds(5)};  ///< Length of a window of usage.
  Duration usage_due{std::chrono::seconds(10)};    ///< From a window's end to its report.
  fleet_control::ServerPlanOptions server_plan;
  logging::Level log_level = logging::Level::kInfo;
  std::string file;  ///< The settings file, empty if none was given.
};

struct ParsedCommandLine {
  settings::Command command = settings::Command::kRun;
  Settings settings;
  std::string text;
};

/// Reads flags and the file named by --config; flags win. Keys of the file that are not known are
/// ignored: the file may gain fields. Every mistake is reported by its key.
Result<ParsedCommandLine, std::vector<settings::SettingsError>> parse_command_line(
    const std::vector<std::string>& arguments);

}  // namespace ochrespring::gateway_node
