#include "gateway_node/node_metrics.h"

#include <cstdint>
#include <string>

#include "metrics/counter_table.h"

namespace ochrespring::gateway_node {

namespace {

using gateway::GatewayStatistics;
constexpr metrics::CounterRow<GatewayStatistics> kGatewayCounters[] = {
    {"requests", "Requests taken", &GatewayStatistics::requests},
    {"requests_answered", "Ended with a back end's whole answer", &GatewayStatistics::answered},
    {"requests_refused", "Ended as not run", &GatewayStatistics::refused},
    {"requests_unknown", "Ended without knowing whether they ran", &GatewayStatistics::unknown},
    {"streams_broken", "Streams cut after their head", &GatewayStatistics::broken},
    {"callers_gone", "Requests whose caller went away", &GatewayStatistics::caller_gone},
    {"requests_without_route", "Requests without a route", &GatewayStatistics::no_route},
    {"requests_with_unknown_key", "Requests without a key that is known",
     &GatewayStatistics::unknown_key},
    {"attempts", "Attempts at back ends", &GatewayStatistics::attempts},
    {"repeats", "Attempts from the retry budget", &GatewayStatistics::retries},
    {"repeats_denied", "Attempts that the retry budget did not allow",
     &GatewayStatistics::budget_denied},
    {"cache_fetches", "Attempts told to fetch cached parts", &GatewayStatistics::cache_fetches},
    {"requests_quarantined", "Ended as requests under which back ends have ended",
     &GatewayStatistics::quarantined},
    {"requests_rate_limited", "Ended since back ends had as much as the rates they had named",
     &GatewayStatistics::rate_limited},
    {"requests_backing_off", "Ended since back ends had asked this node to back off",
     &GatewayStatistics::backing_off},
    {"sends_withdrawn", "Sends kept back since the back end asked for nothing more meanwhile",
     &GatewayStatistics::withdrawn},
    {"streams_resumed", "Streams taken up at another back end",
     &GatewayStatistics::started_streams_retried},
    {"streams_replicated", "Runs sent with a backup engine",
     &GatewayStatistics::streams_replicated},
    {"streams_continued", "Broken streams sent on to their backup engine",
     &GatewayStatistics::resume_attempts},
    {"streams_continued_whole", "Continued streams answered to their end by the backup engine",
     &GatewayStatistics::resumes_completed},
    {"stream_copies_missing", "Continued streams turned away by the backup engine",
     &GatewayStatistics::resumes_refused},
    {"streams_not_continued", "Broken streams whose backup engine could not be used",
     &GatewayStatistics::streams_not_resumed},
};

using discovery::FleetWatcherStatistics;
constexpr metrics::CounterRow<FleetWatcherStatistics> kWatcherCounters[] = {
    {"store_looks", "Looks at the store", &FleetWatcherStatistics::looks},
    {"store_looks_failed", "Looks that failed", &FleetWatcherStatistics::failed_looks},
    {"view_listings", "Listings of the whole store", &FleetWatcherStatistics::listings},
    {"view_updates_taken", "Looks of other nodes taken over",
     &FleetWatcherStatistics::updates_taken},
    {"view_updates_passed", "Looks of other nodes that could not be joined",
     &FleetWatcherStatistics::updates_passed},
    {"view_snapshots_taken", "Views taken over whole from another node",
     &FleetWatcherStatistics::snapshots_taken},
    {"view_changes_fetched", "Changes fetched from another node",
     &FleetWatcherStatistics::deltas_taken},
    {"store_histories_gone", "Looks that the store had forgotten the history of",
     &FleetWatcherStatistics::histories_gone},
    {"store_listings_passed", "Listings older than the view, by their revision",
     &FleetWatcherStatistics::listings_passed},
    {"store_eras_begun", "Times the store was found to have come back from an older copy",
     &FleetWatcherStatistics::eras_begun},
    {"store_lives_found", "Looks that found another change in the store than was known there",
     &FleetWatcherStatistics::lives_found},
    {"view_updates_outdated", "Looks of other nodes from before the store came back",
     &FleetWatcherStatistics::updates_outdated},
    {"view_updates_differed", "Looks of other nodes that showed a listing to be needed",
     &FleetWatcherStatistics::updates_differed},
};

void add_histogram(const gateway::LatencyHistogram& latency, metrics::SampleSink& sink) {
  for (std::size_t i = 0; i != gateway::LatencyHistogram::kBounds.size(); ++i) {
    sink.counter({"first_byte_seconds_bucket", "Time to the first byte of an answer"},
                 static_cast<double>(latency.counts()[i]),
                 {{"le", std::to_string(gateway::LatencyHistogram::kBounds[i])}});
  }
  sink.counter({"first_byte_seconds_count", "Answers counted"},
               static_cast<double>(latency.count()));
  sink.counter({"first_byte_seconds_sum", "Seconds to the first byte, added up"}, latency.sum());
}

}  // namespace

void add_gateway_metrics(const GatewayStatistics& counts, metrics::SampleSink& sink) {
  metrics::add_counters(kGatewayCounters, counts, sink);
  add_histogram(counts.first_byte, sink);
}

void add_watcher_metrics(const discovery::FleetWatcher& watcher, metrics::SampleSink& sink) {
  metrics::add_counters(kWatcherCounters, watcher.statistics(), sink);
  sink.counter({"store_values_rejected", "Values not understood"},
               static_cast<double>(watcher.rejected_values()));
}

}  // namespace ochrespring::gateway_node
