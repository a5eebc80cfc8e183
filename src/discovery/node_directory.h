// The nodes that callers may be sent to.
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

/// Written from the store, read by look-ups; one loop. This node is always part of it, until it
/// stops.
class NodeDirectory {
 public:
  NodeDirectory(const Clock& clock, NodeRecord self)
      : clock_(clock), self_(std::move(self)), started_(clock.now()) {}

  /// `registered`: when the record was written; zero: not known. This node's own record tells when
  /// it was last registered, which it may not have heard from the store.
  void put(const NodeRecord& record, shared_store::StoreRevision registered = {});
  /// Takes a node out that has said goodbye or whose lease has lapsed.
  void remove(const NodeId& node);
  /// A node tells that it takes no more requests: it is caller_targets no longer, even while the
  /// store, out or set back, goes on listing the registration that it wrote at `registered`. A
  /// later one is of a process that has started since.
  void note_leaving(const NodeId& node, shared_store::StoreRevision registered);
  /// Whether a registration is one that its node has left.
  bool has_left(const NodeId& node, shared_store::StoreRevision registered) const;
  /// Keeps only the nodes of a fresh view, which was the store's at `as_of`; zero: not known.
  void replace(const std::vector<NodeRecord>& records, shared_store::StoreRevision as_of = {});
  /// Takes in nodes of a whole view that had told they leave: such a view does not tell when they
  /// were registered, and once the word is too old to be of their last process they count again.
  void readmit_deferred();
  void leave() {
    leaving_ = true;
    ++version_;
  }

  bool leaving() const { return leaving_; }

  /// This node, unless it leaves, and the others.
  std::vector<NodeRecord> list() const;
  /// The nodes that a caller who asks this one is sent to, `max_count` at max_count. Each node
  /// names others, the same ones from one answer to the next: callers keep their connections, and
  /// all together they use all nodes. Of 985 nodes that all caller_targets the first 64 in the
  /// order of their names, these took 6 requests a second each and were busy throughout, the others
  /// none.
  const std::vector<NodeRecord>& caller_targets(std::size_t max_count) const;
  const std::map<NodeId, NodeRecord>& others() const { return others_; }
  /// Nodes whose registration has gone a short while ago: they have ended, or are cut off from the
  /// store only and live on what others tell them.
  std::vector<NodeRecord> recently_removed() const;
  std::uint32_t count() const { return static_cast<std::uint32_t>(others_.size()) + 1; }
  const NodeRecord& self() const { return self_; }
  /// When this node's own record was written last, as far as anybody has told; zero: not known.
  shared_store::StoreRevision own_registration_revision() const {
    return own_registration_revision_;
  }
  /// Rises with every change of the list.
  std::uint64_t version() const { return version_; }
  /// How many nodes may be drawing on what all share: errs high. A node whose registration lapsed
  /// with the store may well go on, and a node that has just started does not know the others yet.
  std::uint32_t conservative_count() const;

 private:
  /// How long a node counts after its registration has gone: longer than the store turns single
  /// machines away on an ordinary bad day (some 10 s).
  static constexpr Duration kRemovedNodeRetention{std::chrono::seconds(15)};
  /// How long a node that leaves is remembered: longer than its stop and its lease together (8 and
  /// 3 s as deployed).
  static constexpr Duration kLeavingNodeRetention{std::chrono::seconds(15)};
  /// For this long after the start at least so many nodes are assumed.
  static constexpr Duration kStartupPeriod{std::chrono::seconds(10)};
  static constexpr std::uint32_t kMinCountAtStartup = 8;

  const Clock& clock_;
  NodeRecord self_;
  MonotonicTime started_;
  std::map<NodeId, NodeRecord> others_;
  struct RemovedNode {
    NodeRecord record;
    MonotonicTime removed_at{};  ///< When the registration went.
  };
  std::map<NodeId, RemovedNode> removed_nodes_;
  std::map<NodeId, shared_store::StoreRevision> registered_;  ///< Of others, where it is known.
  struct LeavingNode {
    shared_store::StoreRevision registered;
    MonotonicTime until{};
  };
  std::map<NodeId, LeavingNode> leaving_nodes_;
  std::map<NodeId, NodeRecord> deferred_;  ///< Registered at no known time, after they had left.
  shared_store::StoreRevision own_registration_revision_;
  bool leaving_ = false;
  std::uint64_t version_ = 1;
  mutable std::vector<NodeRecord> caller_targets_;
  mutable std::uint64_t caller_targets_version_ =
      0;  ///< `version_` that `caller_targets_` was made of.
  mutable std::size_t caller_targets_limit_ = 0;  ///< And for how many.
};

}  // namespace ochrespring::discovery
