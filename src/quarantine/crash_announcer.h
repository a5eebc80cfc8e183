// Sends crash reports to other nodes.
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
  /// All changes within this period are sent together.
  Duration batch_window{std::chrono::milliseconds(3)};
  /// Delays after which a change is sent again. With 3 % of datagrams lost, two resends lose one
  /// change in 37,000. The first delay is shorter than the interval at which most callers retry,
  /// the second longer than most bursts of packet loss. If empty, changes are neither resent nor
  /// refreshed, as in a relay.
  std::vector<Duration> resend_delays{std::chrono::milliseconds(100),
                                      std::chrono::milliseconds(1300)};
  /// Quarantined requests that callers still send are reported periodically, for nodes that have
  /// started or were partitioned: at this interval, up to `max_refresh_reports` in turn.
  Duration refresh_interval{std::chrono::seconds(5)};
  std::size_t max_refresh_reports = 8;
  /// A request is no longer refreshed when no caller has sent it for this long.
  Duration refresh_lifetime{std::chrono::seconds(60)};
};

/// Broadcasts changes of the ledger in batches, resends them against packet loss and refreshes
/// quarantined requests periodically. Not thread-safe; used on one event loop.
class CrashAnnouncer {
 public:
  using Send = std::function<void(const CrashReportBatch&)>;

  CrashAnnouncer(const Clock& clock, TimerService& timers, const CrashLedger& ledger,
                 CrashAnnouncerOptions options, Send send);

  /// Schedules a report on the request, whose ledger entry has changed.
  void note_change(const gateway::RequestFingerprint& request);
  /// Sends reports on all suspected and quarantined requests, for a node that has just started.
  void send_all(const Send& send_to) const;

 private:
  /// A change that is to be sent again.
  struct Resend {
    MonotonicTime due{};
    std::size_t resent = 0;
  };

  void flush();
  void resend();
  void arm_resend_timer();
  void arm_refresh_timer();
  void refresh();
  void send(const std::set<gateway::RequestFingerprint>& requests, const Send& send_to) const;

  const Clock& clock_;
  const CrashLedger& ledger_;
  CrashAnnouncerOptions options_;
  Send send_;
  std::set<gateway::RequestFingerprint> unsent_;
  std::map<gateway::RequestFingerprint, Resend> resends_;
  std::set<gateway::RequestFingerprint> refresh_candidates_;
  gateway::RequestFingerprint last_refreshed_;  ///< The next refresh starts after this request.
  Timer batch_timer_;
  Timer resend_timer_;
  Timer refresh_timer_;
};

}  // namespace ochrespring::quarantine
