#include "gateway_node/node_metrics.h"

#include <cstdint>
#include <string>

#include "metrics/counter_table.h"

namespace ochrespring::gateway_node {

namespace {

using gateway::GatewayStatistics;
constexpr metrics::CounterRow<GatewayStatistics> kGatewayCounters[] = {
    {"requests", "Requests received", &GatewayStatistics::requests},
    {"requests_answered", "Requests ended with a back end's complete answer",
     &GatewayStatistics::answered},
    {"answers_ended_by_close",
     "Complete answers of back ends that gave neither a length nor chunks",
     &GatewayStatistics::answers_ended_by_close},
    {"requests_refused", "Requests refused or failed without having been run",
     &GatewayStatistics::refused},
    {"requests_unknown", "Requests ended without the gateway knowing whether a back end ran them",
     &GatewayStatistics::unknown},
    {"streams_broken", "Streams aborted after their head was sent", &GatewayStatistics::broken},
    {"attempts_stalled", "Attempts whose back ends sent nothing for the progress timeout",
     &GatewayStatistics::attempts_stalled},
    {"requests_ended_after_stall",
     "Requests ended before their deadline without a complete answer after an attempt stalled",
     &GatewayStatistics::ended_after_stall},
    {"answers_released_early",
     "Answers that were not held until they were whole, because too much was held of others",
     &GatewayStatistics::answers_released_early},
    {"callers_gone", "Requests whose caller disconnected", &GatewayStatistics::caller_gone},
    {"requests_without_route", "Requests without a route", &GatewayStatistics::no_route},
    {"requests_with_unknown_key", "Requests without a known API key",
     &GatewayStatistics::unknown_key},
    {"attempts", "Attempts sent to back ends", &GatewayStatistics::attempts},
    {"repeats", "Retries charged to the retry budget", &GatewayStatistics::retries},
    {"repeats_denied", "Retries denied by the retry budget", &GatewayStatistics::budget_denied},
    {"sends_unanswered", "Sends given up without an answer, which back ends may still receive",
     &GatewayStatistics::sends_unanswered},
    {"cache_fetches", "Attempts that fetch shared prompt parts from a cache",
     &GatewayStatistics::cache_fetches},
    {"requests_quarantined",
     "Requests ended because they were quarantined after crashes of back ends",
     &GatewayStatistics::quarantined},
    {"requests_rate_limited", "Requests ended because the rate limits of back ends were used up",
     &GatewayStatistics::rate_limited},
    {"requests_backing_off", "Requests ended because back ends had asked this node to back off",
     &GatewayStatistics::backing_off},
    {"sends_withdrawn", "Sends cancelled by a back-off of the back end before connecting",
     &GatewayStatistics::withdrawn},
    {"sends_without_caller", "Sends cancelled because the caller had disconnected",
     &GatewayStatistics::sends_without_caller},
    {"streams_resumed", "Started streams resumed at another back end",
     &GatewayStatistics::started_streams_retried},
    {"streams_taken_up", "Requests of callers that take up a stream",
     &GatewayStatistics::streams_taken_up},
    {"streams_taken_up_unknown", "Streams not taken up because their software was not known",
     &GatewayStatistics::taken_up_unknown},
    {"streams_taken_up_unavailable",
     "Streams not taken up because no back end with their software was in service",
     &GatewayStatistics::taken_up_unavailable},
    {"streams_replicated", "Attempts sent with a backup engine for their stream",
     &GatewayStatistics::streams_replicated},
    {"streams_continued", "Failed streams resumed at their backup engine",
     &GatewayStatistics::resume_attempts},
    {"streams_continued_whole", "Resumed streams completed by their backup engine",
     &GatewayStatistics::resumes_completed},
    {"stream_copies_missing", "Resumed streams refused by their backup engine",
     &GatewayStatistics::resumes_refused},
    {"streams_not_continued", "Failed streams whose backup engine could not be used",
     &GatewayStatistics::streams_not_resumed},
};

using discovery::FleetWatcherStatistics;
constexpr metrics::CounterRow<FleetWatcherStatistics> kWatcherCounters[] = {
    {"store_looks", "Polls of the store", &FleetWatcherStatistics::polls},
    {"store_looks_failed", "Failed polls of the store", &FleetWatcherStatistics::failed_polls},
    {"view_listings", "Full listings of the store", &FleetWatcherStatistics::listings},
    {"view_updates_taken", "Updates of other nodes that were applied",
     &FleetWatcherStatistics::updates_taken},
    {"view_updates_passed",
     "Updates of other nodes skipped because they began after the revision seen here",
     &FleetWatcherStatistics::updates_skipped},
    {"view_snapshots_taken", "Complete views received from another node",
     &FleetWatcherStatistics::snapshots_taken},
    {"view_changes_fetched", "Changes fetched from another node",
     &FleetWatcherStatistics::deltas_taken},
    {"store_histories_gone", "Polls for which the store no longer kept the history",
     &FleetWatcherStatistics::histories_unavailable},
    {"store_listings_passed",
     "Full listings skipped because their revision was older than the view",
     &FleetWatcherStatistics::listings_skipped},
    {"store_eras_begun", "Store eras begun by a restore from an older copy",
     &FleetWatcherStatistics::eras_begun},
    {"store_lives_found", "Polls that found a different change at an already known revision",
     &FleetWatcherStatistics::unannounced_eras},
    {"view_updates_outdated", "Updates of other nodes from a store era that has ended",
     &FleetWatcherStatistics::updates_outdated},
    {"view_updates_differed",
     "Updates and views of other nodes whose fingerprint did not match this node's view",
     &FleetWatcherStatistics::updates_mismatched},
};

using links::LinkStatistics;
constexpr metrics::CounterRow<LinkStatistics> kLinkCounters[] = {
    {"link_probes", "Connections opened to check links to back ends", &LinkStatistics::probes},
    {"links_cut", "Links to back ends found to be cut", &LinkStatistics::links_cut},
    {"partitions", "Times at which no back end could be reached", &LinkStatistics::partitions},
};

using links::RelayingStatistics;
constexpr metrics::CounterRow<RelayingStatistics> kRelayingCounters[] = {
    {"exchanges_relayed", "Exchanges with back ends through other nodes",
     &RelayingStatistics::relayed},
    {"exchanges_without_path", "Exchanges that no other node could relay",
     &RelayingStatistics::without_path},
};

using http::RelayStatistics;
constexpr metrics::CounterRow<RelayStatistics> kRelayCounters[] = {
    {"relayed_connections", "Connections relayed for other nodes", &RelayStatistics::connected},
    {"relayed_connections_unreachable", "Back ends that could not be reached for other nodes",
     &RelayStatistics::unreachable},
    {"relayed_connections_refused", "Connections not relayed for other nodes",
     &RelayStatistics::refused},
    {"relayed_bytes", "Bytes passed on for other nodes", &RelayStatistics::bytes},
};

using http::CallerGuardStatistics;
constexpr metrics::CounterRow<CallerGuardStatistics> kCallerGuardCounters[] = {
    {"caller_requests_rejected", "Complete requests rejected at the limit of callers' memory",
     &CallerGuardStatistics::requests_rejected},
    {"caller_requests_evicted", "Incomplete requests ended at the limit of callers' memory",
     &CallerGuardStatistics::requests_evicted},
    {"caller_answers_abandoned", "Connections reset because their answers were not read",
     &CallerGuardStatistics::answers_abandoned},
    {"caller_connections_closed", "Connections closed to make room for others",
     &CallerGuardStatistics::connections_closed},
    {"caller_connections_refused", "New connections closed because all others were busy",
     &CallerGuardStatistics::connections_refused},
};

/// Names and HELP texts of the samples of a histogram.
struct HistogramRow {
  metrics::MetricName bucket;
  metrics::MetricName count;
  metrics::MetricName sum;
};

const HistogramRow kFirstByte{
    {"first_byte_seconds_bucket", "Answers whose first byte took at most `le` seconds"},
    {"first_byte_seconds_count", "Answers whose time to the first byte was measured"},
    {"first_byte_seconds_sum", "Total time to the first byte of answers, in seconds"}};
const HistogramRow kReadDelay{
    {"read_delay_seconds_bucket", "Requests that waited at most `le` seconds to be read"},
    {"read_delay_seconds_count", "Requests whose time until they were read was measured"},
    {"read_delay_seconds_sum", "Total time until requests were read, in seconds"}};

void add_histogram(const HistogramRow& row, const gateway::LatencyHistogram& latency,
                   metrics::SampleSink& sink) {
  for (std::size_t i = 0; i != gateway::LatencyHistogram::kBounds.size(); ++i) {
    sink.counter(row.bucket, static_cast<double>(latency.counts()[i]),
                 {{"le", std::to_string(gateway::LatencyHistogram::kBounds[i])}});
  }
  sink.counter(row.count, static_cast<double>(latency.count()));
  sink.counter(row.sum, latency.sum());
}

}  // namespace

void add_gateway_metrics(const GatewayStatistics& statistics, metrics::SampleSink& sink) {
  metrics::add_counters(kGatewayCounters, statistics, sink);
  add_histogram(kFirstByte, statistics.first_byte, sink);
  add_histogram(kReadDelay, statistics.read_delay, sink);
}

void add_caller_guard_metrics(const http::CallerGuard& guard, metrics::SampleSink& sink) {
  metrics::add_counters(kCallerGuardCounters, guard.statistics(), sink);
  sink.gauge({"caller_memory_bytes", "Bytes held for callers"},
             static_cast<double>(guard.account().total()));
  sink.gauge({"caller_memory_limit_bytes", "Limit of the bytes held for callers"},
             static_cast<double>(guard.account().limit()));
  sink.gauge({"caller_connections", "Connections from callers"},
             static_cast<double>(guard.connections()));
  sink.gauge({"caller_connections_limit", "Limit of the connections from callers"},
             static_cast<double>(guard.max_connections()));
}

void add_link_metrics(const links::LinkMonitor& links, const links::RelayingStatistics& transport,
                      const http::RelayStatistics& relay, metrics::SampleSink& sink) {
  metrics::add_counters(kLinkCounters, links.statistics(), sink);
  metrics::add_counters(kRelayingCounters, transport, sink);
  metrics::add_counters(kRelayCounters, relay, sink);
  sink.gauge({"links_cut_now", "Back ends whose links count as cut"},
             static_cast<double>(links.cut_count()));
}

void add_watcher_metrics(const discovery::FleetWatcher& watcher, metrics::SampleSink& sink) {
  metrics::add_counters(kWatcherCounters, watcher.statistics(), sink);
  sink.counter({"store_values_rejected", "Values from the store that could not be parsed"},
               static_cast<double>(watcher.rejected_values()));
}

}  // namespace ochrespring::gateway_node
