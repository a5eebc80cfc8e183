// Pages for probes and monitoring: /healthz, /readyz, /metrics.
#pragma once

#include <string>
#include <string_view>

#include "base/ids.h"
#include "http/server.h"
#include "metrics/metrics.h"

namespace ochrespring::node {

enum class NodePhase : std::uint8_t {
  kStarting,  ///< No configuration yet, or not joined.
  kReady,
  kStopping,  ///< Takes no new requests.
};

std::string_view phase_name(NodePhase phase);

/// What /readyz shows.
struct ReadinessReport {
  NodePhase phase = NodePhase::kStarting;
  NodeId node;
  Revision revision;
  std::size_t members = 0;
  Endpoint callers;
  Endpoint operators;
  Endpoint admin;
  Endpoint peers;
};

/// JSON of the report, one line.
std::string render_readiness(const ReadinessReport& report);

/// Adds the pages to a server; `report` and `registry` are read on the server's loop.
void add_admin_pages(http::Server& server, std::function<ReadinessReport()> report,
                     const metrics::MetricsRegistry& registry);

}  // namespace ochrespring::node
