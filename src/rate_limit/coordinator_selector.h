// Which node coordinates the sends of all nodes to one limited back end.
#pragma once

#include <cstdint>
#include <map>

#include "base/ids.h"
#include "base/time.h"
#include "discovery/node_directory.h"
#include "gateway/types.h"

namespace ochrespring::rate_limit {

/// Ranks nodes by rendezvous hash: all that know the same fleet name the same coordinator, and the
/// back ends spread over the nodes. A node that does not answer (gone but still registered, cut
/// off, or of a build that knows no permits) is passed over for a while, and each time for twice as
/// long. Pure; one loop.
class CoordinatorSelector {
 public:
  explicit CoordinatorSelector(const discovery::NodeDirectory& nodes) : nodes_(nodes) {}

  /// Null: this node itself.
  const discovery::NodeRecord* select(const gateway::BackendId& backend, MonotonicTime now);
  /// A request that was sent to a node stays unanswered.
  void note_unanswered(const NodeId& node, MonotonicTime now);
  void note_answered(const NodeId& node) { unresponsive_.erase(node); }
  void forget(const gateway::BackendId& backend) { selections_.erase(backend); }

 private:
  /// A node that answers nothing for so long is passed over; single datagrams are lost.
  static constexpr Duration kUnansweredTolerance{std::chrono::milliseconds(300)};
  static constexpr Duration kFirstSkip{std::chrono::seconds(3)};
  static constexpr Duration kMaxSkip{std::chrono::seconds(60)};

  struct Unresponsive {
    MonotonicTime since{};
    MonotonicTime skipped_until{};
    Duration next_skip{kFirstSkip};
  };
  struct Selection {
    std::uint64_t fleet_version = 0;
    MonotonicTime valid_until{};  ///< Then a node that was passed over is tried again.
    NodeId node;
  };

  Selection compute_selection(const gateway::BackendId& backend, MonotonicTime now) const;

  const discovery::NodeDirectory& nodes_;
  std::map<NodeId, Unresponsive> unresponsive_;
  std::map<gateway::BackendId, Selection> selections_;
};

}  // namespace ochrespring::rate_limit
