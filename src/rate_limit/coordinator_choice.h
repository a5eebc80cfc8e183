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
class CoordinatorChoice {
 public:
  explicit CoordinatorChoice(const discovery::NodeDirectory& nodes) : nodes_(nodes) {}

  /// Null: this node itself.
  const discovery::NodeRecord* choose(const gateway::BackendId& backend, MonotonicTime now);
  /// A request that was sent to a node stays unanswered.
  void note_unanswered(const NodeId& node, MonotonicTime now);
  void note_answered(const NodeId& node) { silent_.erase(node); }
  void forget(const gateway::BackendId& backend) { chosen_.erase(backend); }

 private:
  /// A node that answers nothing for so long is passed over; single datagrams are lost.
  static constexpr Duration kSilenceBorne{std::chrono::milliseconds(300)};
  static constexpr Duration kFirstPass{std::chrono::seconds(3)};
  static constexpr Duration kMostPass{std::chrono::seconds(60)};

  struct Silence {
    MonotonicTime since{};
    MonotonicTime passed_over_until{};
    Duration next_pass{kFirstPass};
  };
  struct Chosen {
    std::uint64_t fleet_version = 0;
    MonotonicTime valid_until{};  ///< Then a node that was passed over is tried again.
    NodeId node;
  };

  Chosen rank(const gateway::BackendId& backend, MonotonicTime now) const;

  const discovery::NodeDirectory& nodes_;
  std::map<NodeId, Silence> silent_;
  std::map<gateway::BackendId, Chosen> chosen_;
};

}  // namespace ochrespring::rate_limit
