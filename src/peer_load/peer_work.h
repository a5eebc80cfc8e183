// What the other nodes do at engines, as far as they have told.
#pragma once

#include <functional>
#include <map>
#include <utility>

#include "base/time.h"
#include "gateway/peer_view.h"
#include "peer_load/types.h"

namespace ochrespring::peer_load {

/// Knows the work of others in two ways: by the reports of each node (direct), and by the sums over
/// all nodes that a relay sends (relayed). Either may be incomplete while relays change, so the
/// larger one counts.
///
/// Pure; one loop. A report counts until a newer one of the same node names the engine, or for
/// `kReportLifetime`: a node that died or was cut off tells no end of its work.
class PeerWork final : public gateway::PeerView {
 public:
  /// Two and a half times the period at which work that goes on is told again.
  static constexpr Duration kReportLifetime{std::chrono::milliseconds(2500)};

  /// This node's own work at an engine, which the sums of relays include.
  using OwnWork = std::function<gateway::EngineWorkload(const gateway::BackendId& engine)>;

  /// Without `own`, nothing is taken off relayed sums.
  explicit PeerWork(OwnWork own = {}) : own_(std::move(own)) {}

  void apply(const WorkReport& report, MonotonicTime now);
  /// A relay has told sums over all nodes.
  void apply_relayed(const WorkReport& sums, MonotonicTime now);
  /// The engine has gone; its id is not used again.
  void forget(const gateway::BackendId& engine);
  gateway::EngineWorkload work_at(const gateway::BackendId& engine,
                                  MonotonicTime now) const override;
  /// The sum of what other nodes themselves have told this one.
  gateway::EngineWorkload direct_work_at(const gateway::BackendId& engine, MonotonicTime now) const;

 private:
  struct NodeReport {
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    gateway::EngineWorkload work;
    MonotonicTime received_at{};
  };

  /// What all nodes have told of one engine. The sum is kept up to date, so that neither a report
  /// nor a placement walks over all nodes.
  struct Engine {
    std::map<NodeId, NodeReport> nodes;
    gateway::EngineWorkload sum;
    MonotonicTime oldest_report_at{};  ///< No entry is older.
  };

  struct RelayedSum {
    gateway::EngineWorkload work;
    MonotonicTime received_at{};
  };

  static void drop_expired(Engine& engine, MonotonicTime now);
  gateway::EngineWorkload relayed_work_at(const gateway::BackendId& engine,
                                          MonotonicTime now) const;

  OwnWork own_;
  std::map<gateway::BackendId, Engine> direct_;
  std::map<gateway::BackendId, RelayedSum> relayed_;
};

}  // namespace ochrespring::peer_load
