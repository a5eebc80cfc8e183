// Tells other nodes what is known of requests under which backends have ended.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <vector>

#include "base/time.h"
#include "base/timer.h"
#include "quarantine/crash_ledger.h"

namespace ochrespring::quarantine {

struct CrashAnnouncerOptions {
  /// All changes of this time go out together.
  Duration batch_window{std::chrono::milliseconds(3)};
  /// After which pauses a change is told again: of datagrams that are lost 3 in 100 times, one
  /// change in 37,000 is lost with two repeats. The first is shorter than most callers' pause
  /// between two tries, the second longer than most bursts of losses.
  std::vector<Duration> resend_delays{std::chrono::milliseconds(100),
                                      std::chrono::milliseconds(1300)};
  /// Quarantined requests that still come are told again and again, for nodes that have started or
  /// were cut off: so many, in turn, each time.
  Duration refresh_interval{std::chrono::seconds(5)};
  std::size_t max_refresh_reports = 8;
  /// Not told any more once nobody has sent the request for this long.
  Duration refresh_lifetime{std::chrono::seconds(60)};
};

/// One loop.
class CrashAnnouncer {
 public:
  using Send = std::function<void(const CrashReportBatch&)>;

  CrashAnnouncer(const Clock& clock, TimerService& timers, const CrashLedger& ledger,
                 CrashAnnouncerOptions options, Send send);

  /// Something has changed that this node is to tell.
  void note_change(const gateway::RequestFingerprint& request);
  /// All that is held against any request, for a node that has started.
  void send_all(const Send& send) const;

 private:
  /// Of a change that is to be told again.
  struct Resend {
    MonotonicTime due{};
    std::size_t resent = 0;
  };

  void flush();
  void resend();
  void arm_resend_timer();
  void arm_refresh_timer();
  void refresh();
  void send(const std::set<gateway::RequestFingerprint>& requests, const Send& send) const;

  const Clock& clock_;
  const CrashLedger& ledger_;
  CrashAnnouncerOptions options_;
  Send send_;
  std::set<gateway::RequestFingerprint> due_;
  std::map<gateway::RequestFingerprint, Resend> resends_;
  std::set<gateway::RequestFingerprint> refreshed_;
  gateway::RequestFingerprint last_refreshed_;  ///< The turn goes on behind it.
  Timer batch_timer_;
  Timer resend_timer_;
  Timer refresh_timer_;
};

}  // namespace ochrespring::quarantine
