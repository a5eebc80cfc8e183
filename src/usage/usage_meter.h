// Counts the runs that one node's requests begin, and tells them again and again.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>

#include "base/timer.h"
#include "usage/types.h"
#include "usage/wall_clock_estimate.h"

namespace ochrespring::usage {

struct UsageMeterOptions {
  NodeId node;
  std::uint64_t incarnation = 0;  ///< Drawn at the node's start.
  WindowLength windows;
  /// Between two reports. What a killed node has counted since its last is lost: with 250 ms some
  /// 2.5% of a window of 5 s if all nodes die at once.
  Duration period{std::chrono::milliseconds(250)};
  /// How long after its end a window is told: until it has been reported for all nodes.
  Duration retention{std::chrono::seconds(12)};
  /// Of so many reports one tells all windows kept; the others tell those that changed lately.
  std::uint32_t full_report_interval = 8;
};

/// Tells nothing while there is nothing to tell. One loop.
class UsageMeter {
 public:
  using Send = std::function<void(const UsageReport&)>;

  UsageMeter(const WallClockEstimate& wall, TimerService& timers, UsageMeterOptions options,
             Send send);

  void start() { arm(); }
  /// A request of `tenant` began to run `ago`.
  void note_run(const TenantName& tenant, Duration ago);
  /// Tells everything now: the node is about to stop.
  void flush();

 private:
  void arm();
  void send_report(bool full);

  const WallClockEstimate& wall_;
  UsageMeterOptions options_;
  Send send_;
  Timer timer_;
  std::map<WindowNumber, TenantCounts> windows_;
  std::uint32_t reports_sent_ = 0;
};

}  // namespace ochrespring::usage
