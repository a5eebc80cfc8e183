// Tells the other nodes of this node's work at engines.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <vector>

#include "base/timer.h"
#include "gateway/load_table.h"
#include "peer_load/types.h"

namespace ochrespring::peer_load {

/// Sends a report when work changes, with all changes of a short while in one, and repeats what is
/// not over, so that it stays believed. One loop.
class WorkAnnouncer {
 public:
  using Send = std::function<void(const WorkReport&)>;

  WorkAnnouncer(TimerService& timers, const gateway::LoadTable& loads, NodeId node,
                std::uint64_t life, Send send);

  /// The work at an engine has changed.
  void note_change(const gateway::BackendId& engine);
  /// A back end has fallen silent, or could not be reached.
  void note_silence(const gateway::BackendId& backend);
  /// An attempt at an engine has ended; told with the next report on it.
  void note_end(const gateway::BackendId& engine, bool failed);
  /// An engine reads shared prompt parts; told with the next report on it.
  void note_parts(const gateway::BackendId& engine, const std::vector<std::uint64_t>& keys);
  /// Everything this node believes engines to keep, for a node that has just started.
  void tell_all(MonotonicTime now, const Send& send);

 private:
  static constexpr Duration kGather{std::chrono::milliseconds(1)};
  static constexpr Duration kRepeat{std::chrono::milliseconds(1000)};

  /// A report with this many parts fits into a datagram.
  static constexpr std::size_t kMostParts = 500;

  void announce();
  /// Adds to the report; what is too much for one goes out before.
  void append(EngineWork work, const Send& send);
  void flush(const Send& send);
  EngineWork work_at(const gateway::BackendId& engine) const;
  void repeat();

  const gateway::LoadTable& loads_;
  Send send_;
  WorkReport report_;  ///< Engines are filled in for each datagram.
  std::size_t parts_in_report_ = 0;
  std::set<gateway::BackendId> changed_;
  std::set<gateway::BackendId> busy_;
  std::set<gateway::BackendId> silent_;
  struct Ends {
    std::uint32_t ended = 0;
    std::uint32_t failed = 0;
  };
  std::map<gateway::BackendId, Ends> ends_;
  std::map<gateway::BackendId, std::vector<std::uint64_t>> parts_;
  Timer gather_;
  Timer repeat_;
};

}  // namespace ochrespring::peer_load
