// Tells other nodes of work at engines: this node's own, or what a relay has been told.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <vector>

#include "base/timer.h"
#include "gateway/load_table.h"
#include "peer_load/types.h"

namespace ochrespring::peer_load {

/// Who announces, and how often.
struct WorkAnnouncerOptions {
  NodeId node;
  std::uint64_t incarnation = 0;  ///< Drawn at the node's start.
  /// All changes of this time go out in one report. A node's own work is told at once but for what
  /// one request changes in a row.
  Duration batch_window{std::chrono::milliseconds(1)};
  /// Whether work that goes on is told again by itself. A relay tells it when it is told.
  bool refresh = true;
};

/// Sends a report when work changes, with all changes of a short while in one, and repeats what is
/// not over, so that it stays believed. One loop.
class WorkAnnouncer {
 public:
  using Send = std::function<void(const WorkReport&)>;
  /// The work at an engine now.
  using WorkOf = std::function<gateway::EngineWorkload(const gateway::BackendId& engine)>;

  WorkAnnouncer(TimerService& timers, WorkAnnouncerOptions options, WorkOf work_of, Send send);

  /// The work at an engine has changed.
  void note_change(const gateway::BackendId& engine);
  /// A back end has fallen silent, or could not be reached.
  void note_silence(const gateway::BackendId& backend);
  /// An attempt at an engine has ended; told with the next report on it.
  void note_attempt_end(const gateway::BackendId& engine, bool failed) {
    note_attempt_ends(engine, 1, failed ? 1 : 0);
  }
  void note_attempt_ends(const gateway::BackendId& engine, std::uint32_t ended,
                         std::uint32_t failed);
  /// An engine reads shared prompt parts; told with the next report on it.
  void note_prefilled_parts(const gateway::BackendId& engine,
                            const std::vector<std::uint64_t>& keys);
  /// What a node told a relay: its engines have changed, and the rest goes out with the next
  /// report.
  void note_report(const WorkReport& report);
  /// Everything this node believes engines to keep, for a node that has just started.
  void send_cached_parts(const gateway::LoadTable& loads, MonotonicTime now, const Send& send);

 private:
  /// Work that goes on is told again after this time; see `PeerWork::kReportLifetime`.
  static constexpr Duration kRefreshInterval{std::chrono::milliseconds(1000)};

  /// A report with this many of both fits into a datagram: 10 and some 45 bytes each.
  static constexpr std::size_t kMaxParts = 400;
  static constexpr std::size_t kMaxEngines = 80;

  void announce();
  /// Adds to the report; what is too much for one goes out before.
  void append(EngineWork work, const Send& send);
  void flush(const Send& send);
  EngineWork work_at(const gateway::BackendId& engine) const;
  void refresh();

  Duration batch_window_;
  bool refreshes_;
  WorkOf work_of_;
  Send send_;
  WorkReport report_;  ///< Engines are filled in for each datagram.
  std::size_t parts_in_report_ = 0;
  std::set<gateway::BackendId> changed_;
  std::set<gateway::BackendId> busy_;
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
