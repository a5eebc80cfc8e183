// Reports the usage of each window once, from whichever node holds the duties when it is due.
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
  std::string key_prefix;  ///< Prefix of the store keys; the window number follows.
  WindowLength windows;
  /// Measured from the end of the window; later reports have no value.
  Duration report_deadline{std::chrono::seconds(10)};
  /// Delay from the end of a window until its counts are summed. Covers reports in transit and
  /// clock differences between nodes.
  Duration settling_time{std::chrono::milliseconds(1200)};
  Duration period{std::chrono::milliseconds(250)};  ///< Interval between checks for due windows.
  /// Delay after the start before this node reports. By then it has received all retained windows
  /// of the other nodes (see UsageMeterOptions::full_report_interval).
  Duration startup_delay{std::chrono::milliseconds(2500)};
};

struct UsageReporterStatistics {
  std::uint64_t reported = 0;
  std::uint64_t missed = 0;   ///< Windows whose deadline passed while this node held the duties.
  std::uint64_t refused = 0;  ///< Reports refused because a higher fence was seen.
};

/// Stores the sum of each usage window and reports it to the UsageSink while this node holds the
/// duties. Missing reports cost 0.27 of a day's credit on each of seven days; with this reporter
/// 0 or 1 of 8 to 12 windows was missed.
///
/// Two conflicting reports of one window are worse than a missing one. The sum of a window is
/// therefore written to the store before it is reported, on condition that this node still holds
/// the duties and that no sum is stored yet. Later holders report the stored sum. Runs on one loop.
class UsageReporter {
 public:
  /// The referenced objects must outlive the reporter.
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
  /// This node has acquired the duties: the stored sums are read again first.
  void on_gained() { stored_is_current_ = false; }
  /// A rollback may have removed stored sums. Every node that knows them writes them back
  /// unchanged, before another node can store a sum that conflicts with a report already sent.
  void on_store_rolled_back();
  const UsageReporterStatistics& statistics() const { return statistics_; }

 private:
  void step();
  void read_stored(duties::Fence fence);
  void store_sum(WindowNumber window);
  void send_report(duties::Fence fence, WindowNumber window);
  bool is_due(WindowNumber window) const;
  bool is_expired(WindowNumber window) const;
  /// Moves `next_window_` back to windows before this node's start that other nodes have reported
  /// to it and that are not expired.
  void include_earlier_windows();
  /// Skips the windows whose deadline has passed and discards their counts. With `holding`, counts
  /// the unreported ones as missed.
  void drop_expired(bool holding);
  /// The oldest due window not yet reported; empty if there is none.
  std::optional<WindowNumber> window_to_report() const;
  std::string key_of(WindowNumber window) const;
  std::vector<std::string> keys_to_remove() const;
  void log(std::string_view message, WindowNumber window, std::string_view detail);

  World world_;
  UsageReporterOptions options_;
  Timer timer_;
  WallTime started_;
  bool call_pending_ = false;       ///< Only one call runs at a time.
  bool stored_is_current_ = false;  ///< Whether `stored_` matches the store.
  std::map<WindowNumber, TenantCounts> stored_;
  std::set<WindowNumber> reported_;
  WindowNumber next_window_;  ///< The deadline of all earlier windows has passed.
  UsageReporterStatistics statistics_;
};

}  // namespace ochrespring::usage
