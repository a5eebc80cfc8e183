// Settings of a gateway node, given as flags or as keys of the same names in the settings file.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "admission_queue/service_queue.h"
#include "base/ids.h"
#include "base/time.h"
#include "fleet_control/server_plan.h"
#include "gateway/retry_budget.h"
#include "http/caller_guard.h"
#include "logging/logger.h"
#include "settings/node_settings.h"

namespace ochrespring::gateway_node {

struct Settings {
  NodeId node;
  ZoneName zone;
  Endpoint listen;              ///< For callers' requests.
  Endpoint ready_listen;        ///< For the platform's readiness checks.
  Endpoint directory_listen;    ///< For callers' lookups of nodes.
  Endpoint metrics_listen;      ///< For metrics; empty if none are served.
  Endpoint peer_listen;         ///< For other nodes' datagrams.
  Endpoint view_listen;         ///< For other nodes' requests for this node's view; may be empty.
  std::vector<Endpoint> seeds;  ///< Nodes to ask for a view while this node has none.
  Endpoint store;               ///< The shared store.
  gateway::RetryBudgetSettings retry_budget;
  /// Limits per service for requests that wait at this node for full back ends.
  admission_queue::QueueLimits queue;
  /// Limits on what clients can make this node hold, over all listeners.
  http::CallerLimits callers;
  /// Time that a planned stop may take. Remaining requests are ended 0.5 s earlier, or 0.5 s after
  /// the stop signal if the grace period is shorter than 1 s.
  Duration stop_grace{std::chrono::seconds(8)};
  /// Time after which a draining back end receives no new requests.
  Duration drain_bound{std::chrono::milliseconds(2000)};
  /// Time after which a new configuration is in force.
  Duration configuration_bound{std::chrono::milliseconds(2000)};
  Duration node_lease{std::chrono::seconds(3)};
  std::uint32_t link_mbps = 0;  ///< Speed of this machine's network link; 0 if unknown.
  /// Minimum number of nodes in the fleet at which broadcasts between nodes are relayed.
  std::uint32_t relay_from_nodes = 48;
  /// 1: streams that may be resumed are replicated to a second engine; 0: they are not.
  std::uint32_t replicate_resumable_streams = 0;
  /// Time for which a relay combines reports before it sends them to its zone.
  Duration relay_batch_window{std::chrono::milliseconds(10)};
  Endpoint cloud;  ///< Receives the calls of the duties; empty if there are no duties.
  bool reports_usage = false;
  bool orders_servers = false;
  Duration usage_window{std::chrono::seconds(5)};  ///< Length of a usage window.
  Duration usage_due{std::chrono::seconds(10)};  ///< From the end of a usage window to its report.
  fleet_control::ServerPlanOptions server_plan;
  logging::Level log_level = logging::Level::kInfo;
  std::string file;  ///< The settings file, empty if none was given.
};

struct ParsedCommandLine {
  settings::Command command = settings::Command::kRun;
  Settings settings;
  std::string text;  ///< Help or version text to print if the command is kHelp.
};

/// Parses flags and the file given by --config. Flags take precedence. Unknown keys of the file are
/// ignored, so that files may contain keys of later versions. Returns all errors, each with its
/// key.
Result<ParsedCommandLine, std::vector<settings::SettingsError>> parse_command_line(
    const std::vector<std::string>& arguments);

}  // namespace ochrespring::gateway_node
