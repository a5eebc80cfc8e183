// Exports the counters of a node as metrics.
#pragma once

#include "discovery/fleet_watcher.h"
#include "gateway/statistics.h"
#include "http/caller_guard.h"
#include "http/connection_relay.h"
#include "links/link_monitor.h"
#include "links/relaying_transport.h"
#include "metrics/metrics.h"

namespace ochrespring::gateway_node {

void add_gateway_metrics(const gateway::GatewayStatistics& statistics, metrics::SampleSink& sink);
void add_caller_guard_metrics(const http::CallerGuard& guard, metrics::SampleSink& sink);
void add_watcher_metrics(const discovery::FleetWatcher& watcher, metrics::SampleSink& sink);
void add_link_metrics(const links::LinkMonitor& links, const links::RelayingStatistics& transport,
                      const http::RelayStatistics& relay, metrics::SampleSink& sink);

}  // namespace ochrespring::gateway_node
