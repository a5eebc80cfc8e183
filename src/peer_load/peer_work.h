// The work of other nodes at engines, as reported by them.
#pragma once

#include <functional>
#include <map>
#include <utility>

#include "base/time.h"
#include "gateway/peer_view.h"
#include "peer_load/types.h"

namespace ochrespring::peer_load {

/// Estimates the work of other nodes at each engine from two sources: the reports of each node
/// (direct), and the sums over all nodes that a relay sends (relayed). Either may be incomplete
/// while relays change, so the larger value is used.
///
/// A report is valid until a newer one of the same node names the engine, or for `kReportLifetime`,
/// because a node that terminated or was partitioned does not report the end of its work.
///
/// Performs no I/O. Not thread-safe.
class PeerWork final : public gateway::PeerView {
 public:
  /// 2.5 times WorkAnnouncer::kRefreshInterval.
  static constexpr Duration kReportLifetime{std::chrono::milliseconds(2500)};

  /// Returns this node's own work at an engine, which the sums of relays include.
  using OwnWork = std::function<gateway::EngineWorkload(const gateway::BackendId& engine)>;

  /// Without `own_work`, nothing is subtracted from relayed sums.
  explicit PeerWork(OwnWork own_work = {}) : own_work_(std::move(own_work)) {}

  void apply(const WorkReport& report, MonotonicTime now);
  /// Applies the sums over all nodes that a relay has sent.
  void apply_relayed(const WorkReport& sums, MonotonicTime now);
  /// Drops the data of an engine that was removed; its id is not used again.
  void forget(const gateway::BackendId& engine);
  gateway::EngineWorkload work_at(const gateway::BackendId& engine,
                                  MonotonicTime now) const override;
  /// Returns the sum of the reports that this node received from the other nodes directly.
  gateway::EngineWorkload direct_work_at(const gateway::BackendId& engine, MonotonicTime now) const;

 private:
  struct NodeReport {
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    gateway::EngineWorkload work;
    MonotonicTime received_at{};
  };

  /// The reports of all nodes on one engine. The sum is kept up to date, so that neither applying a
  /// report nor choosing an engine iterates over all nodes.
  struct Engine {
    std::map<NodeId, NodeReport> reports_by_node;
    gateway::EngineWorkload sum;
    MonotonicTime oldest_report_at{};  ///< Lower bound of `received_at` of all entries.
  };

  struct RelayedSum {
    gateway::EngineWorkload work;
    MonotonicTime received_at{};
  };

  static void drop_expired(Engine& engine, MonotonicTime now);
  gateway::EngineWorkload relayed_work_at(const gateway::BackendId& engine,
                                          MonotonicTime now) const;

  OwnWork own_work_;
  std::map<gateway::BackendId, Engine> direct_;
  std::map<gateway::BackendId, RelayedSum> relayed_;
};

}  // namespace ochrespring::peer_load
