// The nodes that callers may be sent to.
#pragma once

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "discovery/node_record.h"

namespace ochrespring::discovery {

/// Written from the store, read by look-ups; one loop. This node is always part of it, until it
/// stops.
class NodeDirectory {
 public:
  explicit NodeDirectory(NodeRecord self) : self_(std::move(self)) {}

  void put(const NodeRecord& record);
  /// Takes a node out that has said goodbye or whose lease has lapsed.
  void remove(const NodeId& node);
  /// Keeps only the nodes of a fresh listing.
  void replace(const std::vector<NodeRecord>& records);
  void leave() { leaving_ = true; }

  /// This node, unless it leaves, and the others.
  std::vector<NodeRecord> list() const;
  const std::map<NodeId, NodeRecord>& others() const { return others_; }
  std::uint32_t count() const { return static_cast<std::uint32_t>(others_.size()) + 1; }

 private:
  NodeRecord self_;
  std::map<NodeId, NodeRecord> others_;
  bool leaving_ = false;
};

}  // namespace ochrespring::discovery
