#include "usage/usage_meter.h"

#include <utility>

namespace ochrespring::usage {

namespace {

/// How long after its end a window can still change: runs are counted when they are observed.
constexpr Duration kMaxCountingDelay = std::chrono::milliseconds(1500);

}  // namespace

UsageMeter::UsageMeter(const WallClockEstimate& wall, TimerService& timers,
                       UsageMeterOptions options, Send send)
    : wall_(wall), options_(std::move(options)), send_(std::move(send)), timer_(timers) {}

void UsageMeter::note_run(const TenantName& tenant, Duration age) {
  ++windows_[options_.windows.at(wall_.now() - age)][tenant];
}

void UsageMeter::arm() {
  timer_.arm(options_.period, [this] {
    send_report(++reports_sent_ % options_.full_report_interval == 0);
    arm();
  });
}

void UsageMeter::flush() {
  send_report(true);
}

void UsageMeter::send_report(bool full) {
  const WallTime now = wall_.now();
  std::erase_if(windows_, [&](const auto& entry) {
    return options_.windows.end_of(entry.first) + options_.retention < now;
  });
  UsageReport report{.node = options_.node, .incarnation = options_.incarnation, .windows = {}};
  for (const auto& [window, counts] : windows_) {
    if (full || options_.windows.end_of(window) + kMaxCountingDelay >= now) {
      report.windows.push_back({window, counts});
    }
  }
  if (!report.windows.empty()) {
    send_(report);
  }
}

}  // namespace ochrespring::usage
