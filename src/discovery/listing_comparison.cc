#include "discovery/listing_comparison.h"

#include <algorithm>
#include <utility>

namespace ochrespring::discovery {

ListingComparison::ListingComparison(shared_store::StoreRevision listed_revision,
                                     shared_store::StoreRevision known_revision,
                                     const ChangeLog& log)
    : listed_revision_(listed_revision), known_revision_(known_revision) {
  if (listed_revision >= known_revision) {
    return;
  }
  for (const ViewChange& change : log.changes_since(listed_revision)) {
    if (const auto* backend = std::get_if<BackendChange>(&change)) {
      newer_backends_.insert(backend->id);
    } else {
      newer_nodes_.insert(std::get<NodeChange>(change).id);
    }
  }
}

shared_store::StoreRevision ListingComparison::reported_revision(
    shared_store::StoreRevision revision) const {
  return revision > known_revision_ ? std::min(revision, listed_revision_) : listed_revision_;
}

bool ListingComparison::add_backend(const gateway::Backend& backend,
                                    shared_store::StoreRevision revision,
                                    const gateway::FleetState& fleet) {
  listed_backends_.insert(backend.id);
  const gateway::Backend* known = fleet.find(backend.id);
  const bool same = known != nullptr && *known == backend;
  if (same || newer_backends_.contains(backend.id)) {
    return false;
  }
  changes_.emplace_back(BackendChange{reported_revision(revision), backend.id, backend});
  return true;
}

void ListingComparison::add_node(const NodeId& id, shared_store::StoreRevision revision,
                                 std::optional<NodeRecord> record, const NodeDirectory& nodes) {
  listed_nodes_.insert(id);
  const auto known = nodes.others().find(id);
  const bool same = !record || id == nodes.self().node || nodes.has_left(id, revision) ||
                    (known != nodes.others().end() && known->second == *record);
  if (!same && !newer_nodes_.contains(id)) {
    changes_.emplace_back(NodeChange{reported_revision(revision), id, std::move(record)});
  }
}

std::vector<ViewChange> ListingComparison::finish(const gateway::FleetState& fleet,
                                                  const NodeDirectory& nodes) {
  for (const auto& [id, backend] : fleet.backends()) {
    if (!listed_backends_.contains(id) && !newer_backends_.contains(id)) {
      changes_.emplace_back(BackendChange{listed_revision_, id, std::nullopt});
    }
  }
  for (const auto& [id, record] : nodes.others()) {
    if (!listed_nodes_.contains(id) && !newer_nodes_.contains(id)) {
      changes_.emplace_back(NodeChange{listed_revision_, id, std::nullopt});
    }
  }
  std::stable_sort(changes_.begin(), changes_.end(),
                   [](const ViewChange& left, const ViewChange& right) {
                     return revision_of(left) < revision_of(right);
                   });
  return std::move(changes_);
}

}  // namespace ochrespring::discovery
