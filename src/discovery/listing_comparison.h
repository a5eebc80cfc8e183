// How a listing of the store differs from the view that a node already has.
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

/// A store that has forgotten its history tells no changes any more. The difference of a listing to
/// the view stands in for them: told to the others as any look's news, it spares each of them a
/// listing of its own. What the view learnt while the store was being listed is newer than the
/// listing and stays. One use; pure.
class ListingComparison {
 public:
  /// The listing began at `listed`; the view is complete up to `known`, and `log` has what it was
  /// told since the listing began.
  ListingComparison(shared_store::StoreRevision listed, shared_store::StoreRevision known,
                    const ChangeLog& log);

  /// A back end that is listed, last changed at `revision`. Returns whether it differs from the
  /// view.
  bool add_backend(const gateway::Backend& backend, shared_store::StoreRevision revision,
                   const gateway::FleetState& fleet);
  void add_node(const NodeId& id, shared_store::StoreRevision revision,
                std::optional<NodeRecord> record, const NodeDirectory& nodes);
  /// All that differs, in the order of revisions: what is in the view and was not listed has gone.
  std::vector<ViewChange> finish(const gateway::FleetState& fleet, const NodeDirectory& nodes);

 private:
  /// The revision as of which a difference is told. It lies in what the listing adds to the view:
  /// whoever has seen as much as this node takes it.
  shared_store::StoreRevision reported_revision(shared_store::StoreRevision revision) const;

  shared_store::StoreRevision listed_;
  shared_store::StoreRevision known_;
  std::set<gateway::BackendId> newer_backends_;  ///< Told since the listing began.
  std::set<NodeId> newer_nodes_;
  std::set<gateway::BackendId> listed_backends_;
  std::set<NodeId> listed_nodes_;
  std::vector<ViewChange> changes_;
};

}  // namespace ochrespring::discovery
