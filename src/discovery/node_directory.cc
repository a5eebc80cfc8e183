#include "discovery/node_directory.h"

namespace ochrespring::discovery {

void NodeDirectory::put(const NodeRecord& record) {
  if (record.node != self_.node) {
    others_[record.node] = record;
  }
}

void NodeDirectory::remove(const NodeId& node) {
  others_.erase(node);
}

void NodeDirectory::replace(const std::vector<NodeRecord>& records) {
  others_.clear();
  for (const NodeRecord& record : records) {
    put(record);
  }
}

std::vector<NodeRecord> NodeDirectory::list() const {
  std::vector<NodeRecord> nodes;
  if (!leaving_) {
    nodes.push_back(self_);
  }
  for (const auto& [node, record] : others_) {
    nodes.push_back(record);
  }
  return nodes;
}

}  // namespace ochrespring::discovery
