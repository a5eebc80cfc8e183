#include "discovery/node_directory.h"

#include <algorithm>

#include "base/hash.h"

namespace ochrespring::discovery {

void NodeDirectory::put(const NodeRecord& record, shared_store::StoreRevision registered) {
  if (record == self_) {
    own_registered_ = std::max(own_registered_, registered);
  }
  if (record.node == self_.node) {
    return;
  }
  if (has_left(record.node, registered)) {
    if (registered == shared_store::StoreRevision()) {
      passed_over_[record.node] = record;
    }
    return;
  }
  passed_over_.erase(record.node);
  leaving_nodes_.erase(record.node);
  registered_[record.node] = registered;
  gone_.erase(record.node);
  NodeRecord& known = others_[record.node];
  if (known != record) {
    known = record;
    ++version_;
  }
}

void NodeDirectory::admit_passed_over() {
  for (const auto& [node, record] : std::exchange(passed_over_, {})) {
    put(record);
  }
}

void NodeDirectory::remove(const NodeId& node) {
  passed_over_.erase(node);
  std::erase_if(gone_,
                [this](const auto& entry) { return clock_.now() - entry.second.at >= kMayGoOn; });
  registered_.erase(node);
  auto known = others_.extract(node);
  if (!known.empty()) {
    gone_[node] = {std::move(known.mapped()), clock_.now()};
    ++version_;
  }
}

void NodeDirectory::note_leaving(const NodeId& node, shared_store::StoreRevision registered) {
  const auto known = registered_.find(node);
  const bool started_since = known != registered_.end() && known->second > registered;
  if (started_since || node == self_.node) {
    return;
  }
  std::erase_if(leaving_nodes_,
                [this](const auto& entry) { return entry.second.until <= clock_.now(); });
  // Words overtake each other: an older one says less.
  LeavingNode& leaving = leaving_nodes_[node];
  leaving.registered = std::max(leaving.registered, registered);
  leaving.until = clock_.now() + kLeaves;
  remove(node);
}

bool NodeDirectory::has_left(const NodeId& node, shared_store::StoreRevision registered) const {
  const auto leaving = leaving_nodes_.find(node);
  return leaving != leaving_nodes_.end() && registered <= leaving->second.registered &&
         clock_.now() < leaving->second.until;
}

void NodeDirectory::replace(const std::vector<NodeRecord>& records,
                            shared_store::StoreRevision as_of) {
  ++version_;
  for (auto& [node, record] : std::exchange(others_, {})) {
    gone_[node] = {std::move(record), clock_.now()};
  }
  registered_.clear();
  passed_over_.clear();
  for (const NodeRecord& record : records) {
    put(record, record == self_ ? as_of : shared_store::StoreRevision());
  }
}

std::uint32_t NodeDirectory::cautious_count() const {
  const MonotonicTime now = clock_.now();
  std::uint32_t nodes = count();
  for (const auto& [node, gone] : gone_) {
    nodes += now - gone.at < kMayGoOn ? 1 : 0;
  }
  return now - started_ < kStart ? std::max(nodes, kAssumedAtStart) : nodes;
}

std::vector<NodeRecord> NodeDirectory::recently_gone() const {
  std::vector<NodeRecord> nodes;
  for (const auto& [node, gone] : gone_) {
    if (clock_.now() - gone.at < kMayGoOn) {
      nodes.push_back(gone.record);
    }
  }
  return nodes;
}

const std::vector<NodeRecord>& NodeDirectory::named(std::size_t most) const {
  if (named_at_ == version_ && named_most_ == most) {
    return named_;
  }
  named_at_ = version_;
  named_most_ = most;
  named_ = list();
  if (named_.size() > most) {
    const auto weight = [&](const NodeRecord& record) {
      return rendezvous_weight(self_.node.value(), record.node.value());
    };
    std::nth_element(named_.begin(), named_.begin() + static_cast<std::ptrdiff_t>(most),
                     named_.end(), [&](const NodeRecord& left, const NodeRecord& right) {
                       return weight(left) > weight(right);
                     });
    named_.resize(most);
  }
  return named_;
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
