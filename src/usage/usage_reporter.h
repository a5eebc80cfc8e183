// Reports each window's usage once, whoever holds the duties when it falls due.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "base/timer.h"
#include "duties/duty_lease.h"
#include "logging/logger.h"
#include "shared_store/store.h"
#include "usage/types.h"
#include "usage/usage_sink.h"
#include "usage/usage_tally.h"
#include "usage/wall_clock_estimate.h"

namespace ochrespring::usage {

struct UsageReporterOptions {
  std::string key_prefix;  ///< Of the store; a window's number follows.
  WindowLength windows;
  Duration report_deadline{
      std::chrono::seconds(10)};  ///< From a window's end; later reports are worth nothing.
  /// From a window's end to its adding up: reports of nodes are under way, and clocks differ.
  Duration settling_time{std::chrono::milliseconds(1200)};
  Duration period{std::chrono::milliseconds(250)};  ///< Between two looks at what is to be done.
  /// A node that has started is told of all windows kept within this time (UsageMeterOptions).
  Duration learning_time{std::chrono::milliseconds(2500)};
};

struct UsageReporterStatistics {
  std::uint64_t reported = 0;
  std::uint64_t missed = 0;   ///< Windows whose time ran out while this node held the duties.
  std::uint64_t refused = 0;  ///< For a higher fence.
};

/// Guards 0.27 of a day's credit, which missing reports cost on each of seven days; with it 0 or 1
/// window of 8 to 12 was missed.
///
/// Two reports of one window that differ are worse than none. So the sum of a window is written to
/// the store before it is told to anybody, on condition that this node still holds the duties and
/// that nobody has written one; whoever holds the duties after that tells what is written. One
/// loop.
class UsageReporter {
 public:
  /// References outlive the reporter.
  struct World {
    TimerService& timers;
    shared_store::SharedStore& store;
    logging::Logger& logger;
    const WallClockEstimate& wall;
    duties::DutyLease& lease;
    UsageTally& tally;
    UsageSink& sink;
  };

  UsageReporter(World world, UsageReporterOptions options);

  void start();
  /// This node has begun to hold the duties: what others have written is to be read first.
  void on_gained() { stored_is_current_ = false; }
  /// The store may have lost what was written down: it is written again as it was, by any node that
  /// knows, before another can write what it has heard, which may differ from what was told.
  void on_store_rolled_back();
  const UsageReporterStatistics& statistics() const { return statistics_; }

 private:
  void step();
  void read_stored(duties::Fence fence);
  void store_sum(WindowNumber window);
  void send_report(duties::Fence fence, WindowNumber window);
  bool is_due(WindowNumber window) const;
  bool is_expired(WindowNumber window) const;
  /// Windows of before this node's start may be its to report: the others tell it of them.
  void include_earlier_windows();
  /// Forgets the windows whose time has run out.
  void drop_expired(bool holding);
  /// The oldest window that is to be told and has not been; none: nothing to do now.
  std::optional<WindowNumber> window_to_report() const;
  std::string key_of(WindowNumber window) const;
  std::vector<std::string> keys_to_remove() const;
  void log(std::string_view message, WindowNumber window, std::string_view detail);

  World world_;
  UsageReporterOptions options_;
  Timer timer_;
  WallTime started_;
  bool call_pending_ = false;       ///< One call at a time.
  bool stored_is_current_ = false;  ///< Whether `stored_` holds what the store holds.
  std::map<WindowNumber, TenantCounts> stored_;
  std::set<WindowNumber> reported_;
  WindowNumber next_window_;  ///< The time of all windows before this one has run out.
  UsageReporterStatistics statistics_;
};

}  // namespace ochrespring::usage
