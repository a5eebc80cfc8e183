#include "discovery/node_directory.h"

#include <algorithm>

#include "base/hash.h"

namespace ochrespring::discovery {

void NodeDirectory::put(const NodeRecord& record,
                        shared_store::StoreRevision registration_revision) {
  if (record == self_) {
    own_registration_revision_ = std::max(own_registration_revision_, registration_revision);
  }
  if (record.node == self_.node) {
    return;
  }
  if (has_left(record.node, registration_revision)) {
    if (registration_revision == shared_store::StoreRevision()) {
      deferred_nodes_[record.node] = record;
    }
    return;
  }
  deferred_nodes_.erase(record.node);
  leaving_nodes_.erase(record.node);
  registration_revisions_[record.node] = registration_revision;
  removed_nodes_.erase(record.node);
  NodeRecord& known = others_[record.node];
  if (known != record) {
    known = record;
    ++version_;
  }
}

void NodeDirectory::add_deferred_nodes() {
  for (const auto& [node, record] : std::exchange(deferred_nodes_, {})) {
    put(record);
  }
}

void NodeDirectory::remove(const NodeId& node) {
  deferred_nodes_.erase(node);
  std::erase_if(removed_nodes_, [this](const auto& entry) {
    return clock_.now() - entry.second.removed_at >= kRemovedNodeRetention;
  });
  registration_revisions_.erase(node);
  auto known = others_.extract(node);
  if (!known.empty()) {
    removed_nodes_[node] = {std::move(known.mapped()), clock_.now()};
    ++version_;
  }
}

void NodeDirectory::note_leaving(const NodeId& node,
                                 shared_store::StoreRevision registration_revision) {
  const auto known = registration_revisions_.find(node);
  const bool restarted =
      known != registration_revisions_.end() && known->second > registration_revision;
  if (restarted || node == self_.node) {
    return;
  }
  std::erase_if(leaving_nodes_,
                [this](const auto& entry) { return entry.second.until <= clock_.now(); });
  // Notices may arrive out of order; the one with the newest registration counts.
  LeavingNode& leaving = leaving_nodes_[node];
  leaving.registration_revision = std::max(leaving.registration_revision, registration_revision);
  leaving.until = clock_.now() + kLeavingNodeRetention;
  remove(node);
}

bool NodeDirectory::has_left(const NodeId& node,
                             shared_store::StoreRevision registration_revision) const {
  const auto leaving = leaving_nodes_.find(node);
  return leaving != leaving_nodes_.end() &&
         registration_revision <= leaving->second.registration_revision &&
         clock_.now() < leaving->second.until;
}

void NodeDirectory::replace(const std::vector<NodeRecord>& records,
                            shared_store::StoreRevision as_of) {
  ++version_;
  for (auto& [node, record] : std::exchange(others_, {})) {
    removed_nodes_[node] = {std::move(record), clock_.now()};
  }
  registration_revisions_.clear();
  deferred_nodes_.clear();
  for (const NodeRecord& record : records) {
    put(record, record == self_ ? as_of : shared_store::StoreRevision());
  }
}

std::uint32_t NodeDirectory::conservative_count() const {
  const MonotonicTime now = clock_.now();
  std::uint32_t nodes = count();
  for (const auto& [node, removed] : removed_nodes_) {
    nodes += now - removed.removed_at < kRemovedNodeRetention ? 1 : 0;
  }
  return now - started_ < kStartupPeriod ? std::max(nodes, kMinCountAtStartup) : nodes;
}

std::vector<NodeRecord> NodeDirectory::recently_removed() const {
  std::vector<NodeRecord> nodes;
  for (const auto& [node, removed] : removed_nodes_) {
    if (clock_.now() - removed.removed_at < kRemovedNodeRetention) {
      nodes.push_back(removed.record);
    }
  }
  return nodes;
}

const std::vector<NodeRecord>& NodeDirectory::caller_targets(std::size_t max_count) const {
  if (caller_targets_version_ == version_ && caller_targets_limit_ == max_count) {
    return caller_targets_;
  }
  caller_targets_version_ = version_;
  caller_targets_limit_ = max_count;
  caller_targets_ = list();
  if (caller_targets_.size() > max_count) {
    const auto weight = [&](const NodeRecord& record) {
      return rendezvous_weight(self_.node.value(), record.node.value());
    };
    std::nth_element(caller_targets_.begin(),
                     caller_targets_.begin() + static_cast<std::ptrdiff_t>(max_count),
                     caller_targets_.end(), [&](const NodeRecord& left, const NodeRecord& right) {
                       return weight(left) > weight(right);
                     });
    caller_targets_.resize(max_count);
  }
  return caller_targets_;
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
