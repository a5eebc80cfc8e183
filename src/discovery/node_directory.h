// The nodes to which callers may be directed.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "base/time.h"
#include "discovery/node_record.h"
#include "shared_store/store_revision.h"

namespace ochrespring::discovery {

/// Written from the store and read by lookups, on one event loop. This node is always listed until
/// it leaves.
class NodeDirectory {
 public:
  NodeDirectory(const Clock& clock, NodeRecord self)
      : clock_(clock), self_(std::move(self)), started_(clock.now()) {}

  /// Adds or updates a node, unless that registration has announced that it leaves: then the node
  /// is ignored, or deferred if `registration_revision` is zero (unknown). This node's own record
  /// reveals its last registration, whose answer from the store may have been lost.
  void put(const NodeRecord& record, shared_store::StoreRevision registration_revision = {});
  /// Removes a node that has left or whose lease has expired.
  void remove(const NodeId& node);
  /// Handles a node's notice that it accepts no more requests. The node is no longer advertised
  /// even if the store, unreachable or restored from an older copy, still lists the registration
  /// made at `registration_revision`. A later registration belongs to a process started since.
  void note_leaving(const NodeId& node, shared_store::StoreRevision registration_revision);
  /// Returns whether the registration belongs to a process that has announced that it leaves.
  bool has_left(const NodeId& node, shared_store::StoreRevision registration_revision) const;
  /// Whether the node's last known process has announced that it leaves.
  bool has_announced_leaving(const NodeId& node) const { return has_left(node, {}); }
  /// Replaces all nodes by those of a complete view that matched the store at `as_of`; zero if
  /// unknown.
  void replace(const std::vector<NodeRecord>& records, shared_store::StoreRevision as_of = {});
  /// Adds the deferred nodes whose leaving notice has expired. A complete view contains no
  /// registration revisions, so it cannot show earlier whether such a node belongs to a process
  /// started since.
  void add_deferred_nodes();
  void leave() {
    leaving_ = true;
    ++version_;
  }

  bool leaving() const { return leaving_; }

  /// Returns this node, unless it leaves, and the others.
  std::vector<NodeRecord> list() const;
  /// Returns up to `max_count` nodes to which a caller of this node is directed. The result is
  /// stable, so that callers keep their connections, and differs between nodes, so that together
  /// they use all nodes: when all of 985 nodes returned the first 64 by name, these served 6
  /// requests per second each and were always busy while the others served none.
  const std::vector<NodeRecord>& caller_targets(std::size_t max_count) const;
  const std::map<NodeId, NodeRecord>& others() const { return others_; }
  /// How long a result computed from recently_removed() may be kept: version() does not change when
  /// a removed node is no longer a recent one.
  static constexpr Duration kRecentlyRemovedMaxAge{std::chrono::seconds(2)};
  /// Returns the nodes whose registration was removed recently: they have terminated, or they have
  /// lost only the store and stay current through the updates of other nodes.
  std::vector<NodeRecord> recently_removed() const;
  std::uint32_t count() const { return static_cast<std::uint32_t>(others_.size()) + 1; }
  const NodeRecord& self() const { return self_; }
  /// Returns the newest known revision of this node's own registration; zero if unknown.
  shared_store::StoreRevision own_registration_revision() const {
    return own_registration_revision_;
  }
  /// Incremented with every change of the list.
  std::uint64_t version() const { return version_; }
  /// Returns an upper estimate of the number of nodes that use a shared resource. A node whose
  /// registration expired with the store may still be running, and a node that has just started
  /// does not know the others yet.
  std::uint32_t conservative_count() const;

 private:
  /// How long a node counts after its registration was removed. Exceeds the about 10 s for which
  /// the store may reject all calls of a single machine.
  static constexpr Duration kRemovedNodeRetention{std::chrono::seconds(15)};
  /// How long a leaving node is remembered: longer than its shutdown and its lease together (8 s
  /// and 3 s as deployed).
  static constexpr Duration kLeavingNodeRetention{std::chrono::seconds(15)};
  /// For this long after the start, at least `kMinCountAtStartup` nodes are assumed.
  static constexpr Duration kStartupPeriod{std::chrono::seconds(10)};
  static constexpr std::uint32_t kMinCountAtStartup = 8;

  const Clock& clock_;
  NodeRecord self_;
  MonotonicTime started_;
  std::map<NodeId, NodeRecord> others_;
  struct RemovedNode {
    NodeRecord record;
    MonotonicTime removed_at{};  ///< When the registration was removed.
  };
  std::map<NodeId, RemovedNode> removed_nodes_;
  /// Of other nodes; zero if unknown.
  std::map<NodeId, shared_store::StoreRevision> registration_revisions_;
  struct LeavingNode {
    shared_store::StoreRevision registration_revision;
    MonotonicTime until{};
  };
  std::map<NodeId, LeavingNode> leaving_nodes_;
  /// Nodes registered at an unknown revision after announcing that they leave.
  std::map<NodeId, NodeRecord> deferred_nodes_;
  shared_store::StoreRevision own_registration_revision_;
  bool leaving_ = false;
  std::uint64_t version_ = 1;
  mutable std::vector<NodeRecord> caller_targets_;
  /// `version_` from which `caller_targets_` was computed.
  mutable std::uint64_t caller_targets_version_ = 0;
  mutable std::size_t caller_targets_limit_ = 0;  ///< `max_count` for which it was computed.
};

}  // namespace ochrespring::discovery
