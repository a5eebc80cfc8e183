// Sends reports on the work at engines to other nodes: this node's own work, or a relay's sums.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <vector>

#include "base/timer.h"
#include "gateway/load_table.h"
#include "peer_load/types.h"

namespace ochrespring::peer_load {

/// The sender's identity and the timing of its reports.
struct WorkAnnouncerOptions {
  NodeId node;
  std::uint64_t incarnation = 0;  ///< Drawn at random when the node starts.
  /// All changes within this period are sent in one report. The short default sends a node's own
  /// work almost at once, but combines the changes that one request makes in a row.
  Duration batch_window{std::chrono::milliseconds(1)};
  /// Whether ongoing work is reported again periodically. A relay doesn't need this: it sends sums
  /// whenever it receives a report.
  bool refresh = true;
};

/// Sends a report when work changes, with all changes within a short period in one report, and
/// repeats ongoing work before receivers expire it. Not thread-safe; used on one event loop.
class WorkAnnouncer {
 public:
  using Send = std::function<void(const WorkReport&)>;
  /// Returns the current work at an engine.
  using WorkOf = std::function<gateway::EngineWorkload(const gateway::BackendId& engine)>;

  WorkAnnouncer(TimerService& timers, WorkAnnouncerOptions options, WorkOf work_of, Send send);

  /// Schedules a report on the engine, because the work there has changed.
  void note_change(const gateway::BackendId& engine);
  /// Schedules a report that the engine is unresponsive or cannot be reached.
  void note_unresponsive(const gateway::BackendId& engine);
  /// Counts an attempt at an engine that has ended; included in the next report on the engine.
  void note_attempt_end(const gateway::BackendId& engine, bool failed) {
    note_attempt_ends(engine, 1, failed ? 1 : 0);
  }
  /// As note_attempt_end(), for `ended` attempts of which `failed` have failed.
  void note_attempt_ends(const gateway::BackendId& engine, std::uint32_t ended,
                         std::uint32_t failed);
  /// Schedules a report that an engine prefills shared prompt parts.
  void note_prefilled_parts(const gateway::BackendId& engine,
                            const std::vector<std::uint64_t>& keys);
  /// As a relay, schedules reports on the engines in a node's report, including its attempts and
  /// prompt parts.
  void note_report(const WorkReport& report);
  /// Sends all prompt parts that engines are assumed to have cached, for a node that has just
  /// started.
  void send_cached_parts(const gateway::LoadTable& loads, MonotonicTime now, const Send& send);

 private:
  /// Ongoing work is reported again at this interval; see `PeerWork::kReportLifetime`.
  static constexpr Duration kRefreshInterval{std::chrono::milliseconds(1000)};

  /// Limits for one report, so that it fits into a datagram: a part takes 10 bytes, an engine about
  /// 45.
  static constexpr std::size_t kMaxPartsPerReport = 400;
  static constexpr std::size_t kMaxEnginesPerReport = 80;

  void announce();
  /// Adds to the report, and sends it whenever it is full.
  void append(EngineWork work, const Send& send);
  void flush(const Send& send);
  EngineWork work_at(const gateway::BackendId& engine) const;
  void refresh();

  Duration batch_window_;
  bool refreshes_;
  WorkOf work_of_;
  Send send_;
  WorkReport report_;  ///< `engines` is filled for each datagram.
  std::size_t parts_in_report_ = 0;
  std::set<gateway::BackendId> changed_;
  /// Engines whose last report had ongoing work; refreshed.
  std::set<gateway::BackendId> engines_in_use_;
  std::set<gateway::BackendId> unresponsive_;
  struct AttemptEnds {
    std::uint32_t ended = 0;
    std::uint32_t failed = 0;
  };
  std::map<gateway::BackendId, AttemptEnds> attempt_ends_;
  std::map<gateway::BackendId, std::vector<std::uint64_t>> prefilled_parts_;
  Timer batch_timer_;
  Timer refresh_timer_;
};

}  // namespace ochrespring::peer_load
