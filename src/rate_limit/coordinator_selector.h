// Selects the node that coordinates the sends of all nodes to one rate-limited back end.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "base/ids.h"
#include "base/time.h"
#include "discovery/node_directory.h"
#include "gateway/types.h"

namespace ochrespring::rate_limit {

/// Ranks nodes by rendezvous hash: all nodes that know the same fleet and skip the same nodes
/// select the same coordinator, and back ends are distributed over the nodes. A node that does not
/// answer (terminated but still registered, isolated, or running a version that does not support
/// permits) is skipped for a while, twice as long each time. A node whose registration was removed
/// recently is ranked on unless it has announced that it leaves: registrations of running nodes
/// lapse together while the store is out of reach. Performs no I/O and uses no timers; must be used
/// from one event loop.
class CoordinatorSelector {
 public:
  explicit CoordinatorSelector(const discovery::NodeDirectory& nodes) : nodes_(nodes) {}

  /// Returns null if this node itself is the coordinator. Valid until the next call.
  const discovery::NodeRecord* select(const gateway::BackendId& backend, MonotonicTime now);
  /// A request to the node remained unanswered.
  void note_unanswered(const NodeId& node, MonotonicTime now);
  void note_answered(const NodeId& node) { unresponsive_.erase(node); }
  void forget(const gateway::BackendId& backend) { selections_.erase(backend); }

 private:
  /// A node is skipped once it has not answered for this long; single datagrams may be lost.
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
    MonotonicTime valid_until{};  ///< A skipped node may be tried again, or a removed one be gone.
    std::optional<discovery::NodeRecord> coordinator;  ///< None: this node.
  };

  Selection compute_selection(const gateway::BackendId& backend, MonotonicTime now) const;

  const discovery::NodeDirectory& nodes_;
  std::map<NodeId, Unresponsive> unresponsive_;
  std::map<gateway::BackendId, Selection> selections_;
};

}  // namespace ochrespring::rate_limit
