#include "gateway_node/node_duties.h"

#include <utility>

namespace ochrespring::gateway_node {

namespace {

/// All nodes may start at the same time and register within this time. A view from before then may
/// lack nodes.
constexpr Duration kRegistrationTime = std::chrono::milliseconds(1000);
/// A view of the fleet older than this says nothing about which other nodes are running.
constexpr Duration kMaxViewAge = std::chrono::seconds(5);

}  // namespace

NodeDuties::NodeDuties(Dependencies deps, const NodeDutiesOptions& options, const Peers& peers)
    : deps_(deps),
      started_(deps.clock.now()),
      lease_({deps.clock, deps.timers, deps.random, deps.store, deps.logger},
             {.holder_key = options.key_prefix + "holder",
              .history_key = options.key_prefix + "history",
              .offset_key = options.key_prefix + "fence-offset",
              .node = options.node,
              .incarnation = deps.random.next(),
              .time_to_live = options.lease},
             {.to_claim = [this, first = peers.eligibility.to_claim] { return may_claim(first); },
              .to_hold = peers.eligibility.to_hold}) {
  if (deps.usage_sink != nullptr) {
    wall_clock_.emplace(deps.clock, deps.timers);
    meter_.emplace(*wall_clock_, deps.timers,
                   usage::UsageMeterOptions{.node = options.node,
                                            .incarnation = deps.random.next(),
                                            .windows = options.usage_windows,
                                            .retention = options.usage_due},
                   [this, send_usage = peers.send_usage](const usage::UsageReport& report) {
                     tally_.add(report);
                     send_usage(report);
                   });
    reporter_.emplace(usage::UsageReporter::World{deps.timers, deps.store, deps.logger,
                                                  *wall_clock_, lease_, tally_, *deps.usage_sink},
                      usage::UsageReporterOptions{.key_prefix = options.key_prefix + "usage/",
                                                  .windows = options.usage_windows,
                                                  .report_deadline = options.usage_due});
  }
  if (deps.server_provider != nullptr) {
    servers_.emplace(
        fleet_control::ServerController::World{deps.clock, deps.timers, deps.store, deps.logger,
                                               deps.fleet, lease_, *deps.server_provider},
        fleet_control::ServerControllerOptions{.key_prefix = options.key_prefix + "servers/",
                                               .plan = options.server_plan});
  }
  lease_.on_gained([this] {
    if (reporter_) {
      reporter_->on_gained();
    }
    if (servers_) {
      servers_->on_gained();
    }
  });
}

void NodeDuties::start() {
  if (!reporter_ && !servers_) {
    return;
  }
  lease_.start();
  if (reporter_) {
    meter_->start();
    reporter_->start();
  }
  if (servers_) {
    servers_->start();
  }
}

bool NodeDuties::may_claim(const std::function<bool()>& is_first_choice) const {
  const MonotonicTime now = deps_.clock.now();
  const auto current_at = deps_.fleet.current_at();
  const bool knows_fleet =
      current_at && *current_at - started_ >= kRegistrationTime && now - *current_at < kMaxViewAge;
  return knows_fleet && is_first_choice();
}

void NodeDuties::note_run(const TenantName& tenant, Duration ago) {
  if (meter_) {
    meter_->note_run(tenant, ago);
  }
}

void NodeDuties::flush_usage() {
  if (meter_) {
    meter_->flush();
  }
}

void NodeDuties::leave() {
  flush_usage();
  lease_.stop();
}

void NodeDuties::on_store_rolled_back() {
  lease_.on_store_rolled_back();
  if (reporter_) {
    reporter_->on_store_rolled_back();
  }
}

void NodeDuties::add_metrics(metrics::SampleSink& sink) const {
  sink.gauge({"duties_held", "Whether this node may perform the duties of the fleet"},
             lease_.fence() ? 1 : 0);
  sink.counter({"duties_gained", "Times this node acquired the lease of the duties"},
               static_cast<double>(lease_.times_gained()));
  if (reporter_) {
    const usage::UsageReporterStatistics& counts = reporter_->statistics();
    sink.counter({"usage_windows_reported", "Usage windows reported"},
                 static_cast<double>(counts.reported));
    sink.counter({"usage_windows_missed", "Usage windows not reported in time"},
                 static_cast<double>(counts.missed));
    sink.counter({"usage_reports_refused", "Usage reports refused because of a higher fence"},
                 static_cast<double>(counts.refused));
  }
  if (servers_) {
    const fleet_control::ServerControllerStatistics& counts = servers_->statistics();
    sink.counter({"server_orders", "Server orders sent"}, static_cast<double>(counts.orders));
    sink.counter({"server_orders_failed", "Server orders without an answer or an effect"},
                 static_cast<double>(counts.failed));
    sink.counter({"server_orders_refused", "Server orders refused"},
                 static_cast<double>(counts.refused));
    for (const auto& [service, needed] : servers_->needed()) {
      sink.gauge({"servers_needed", "Servers needed by the service"}, needed,
                 {{"service", service.value()}});
    }
  }
}

}  // namespace ochrespring::gateway_node
