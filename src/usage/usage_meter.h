// Counts the runs of one node's requests and reports them periodically.
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
  std::uint64_t incarnation = 0;  ///< Random number drawn when the node starts.
  WindowLength windows;
  /// Interval between reports. A killed node loses what it counted since its last report: at 250
  /// ms, about 2.5% of a 5 s window if all nodes are killed at once.
  Duration period{std::chrono::milliseconds(250)};
  /// How long after its end a window stays in full reports: until it has been reported for all
  /// nodes.
  Duration retention{std::chrono::seconds(12)};
  /// Every n-th report contains all retained windows; the others contain only windows that may have
  /// changed recently.
  std::uint32_t full_report_interval = 8;
};

/// Counts the requests of this node per tenant and window, and sends the counts periodically. Sends
/// no report while there are no counts. Runs on one loop.
class UsageMeter {
 public:
  using Send = std::function<void(const UsageReport&)>;

  UsageMeter(const WallClockEstimate& wall, TimerService& timers, UsageMeterOptions options,
             Send send);

  void start() { arm(); }
  /// Counts a request of `tenant` that began to run `age` before now.
  void note_run(const TenantName& tenant, Duration age);
  /// Sends a full report immediately, because the node is about to stop.
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
