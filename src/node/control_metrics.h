// Turns the counters of the control loop's components into metrics.
#pragma once

#include "control_plane/control_plane.h"
#include "metrics/metrics.h"
#include "peer/tcp_transport.h"

namespace ochrespring::node {

void export_metrics(const control_plane::ControlPlaneStatistics& statistics,
                    metrics::SampleSink& sink);
void export_metrics(const peer::TransportStatistics& statistics, std::size_t queued_bytes,
                    metrics::SampleSink& sink);

}  // namespace ochrespring::node
