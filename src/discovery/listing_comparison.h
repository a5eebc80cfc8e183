// Computes the difference between a listing of the store and a node's current view.
#pragma once

#include <optional>
#include <set>
#include <vector>

#include "discovery/change_log.h"
#include "discovery/node_directory.h"
#include "discovery/view_update.h"
#include "gateway/fleet_state.h"
#include "shared_store/store.h"

namespace ochrespring::discovery {

/// If the store no longer keeps its history, the difference between a listing and the view replaces
/// the missing changes: broadcast like the result of any poll, it saves the other nodes a listing
/// of their own. Changes that the view received while the store was being listed are newer than the
/// listing and are kept. For a single use; performs no I/O.
class ListingComparison {
 public:
  /// The listing began at `listed_revision`; the view is complete up to `known_revision`, and `log`
  /// contains the changes received since the listing began.
  ListingComparison(shared_store::StoreRevision listed_revision,
                    shared_store::StoreRevision known_revision, const ChangeLog& log);

  /// Adds a listed back end last changed at `revision`. Returns whether it differs from the view.
  bool add_backend(const gateway::Backend& backend, shared_store::StoreRevision revision,
                   const gateway::FleetState& fleet);
  /// Adds a listed node. Without a record, as it could not be parsed, it is no difference.
  void add_node(const NodeId& id, shared_store::StoreRevision revision,
                std::optional<NodeRecord> record, const NodeDirectory& nodes);
  /// Returns all differences in order of revision; entries of the view that were not listed count
  /// as removed.
  std::vector<ViewChange> finish(const gateway::FleetState& fleet, const NodeDirectory& nodes);

 private:
  /// Returns the revision under which a difference is reported: `revision` if it lies between the
  /// known and the listed revision, otherwise the listed one. Nodes that have seen as much as this
  /// one therefore apply the difference.
  shared_store::StoreRevision reported_revision(shared_store::StoreRevision revision) const;

  shared_store::StoreRevision listed_revision_;
  shared_store::StoreRevision known_revision_;
  std::set<gateway::BackendId> newer_backends_;  ///< Received since the listing began.
  std::set<NodeId> newer_nodes_;
  std::set<gateway::BackendId> listed_backends_;
  std::set<NodeId> listed_nodes_;
  std::vector<ViewChange> changes_;
};

}  // namespace ochrespring::discovery
