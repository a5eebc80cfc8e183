// Turns the counters of the proxy loops into metrics.
#pragma once

#include <cstdint>

#include "metrics/metrics.h"
#include "node/proxy_worker.h"

namespace ochrespring::node {

void export_metrics(const WorkerReport& report, metrics::SampleSink& sink);

}  // namespace ochrespring::node
