// Applies changes from the store and from other nodes to this node's view of the fleet.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"
#include "discovery/change_log.h"
#include "discovery/entry_reader.h"
#include "discovery/fleet_codec.h"
#include "discovery/node_directory.h"
#include "discovery/view_transfer.h"
#include "discovery/view_update.h"
#include "gateway/fleet_state.h"
#include "logging/logger.h"
#include "shared_store/store.h"
#include "shared_store/store_position.h"

namespace ochrespring::discovery {

enum class UpdateOutcome : std::uint8_t {
  kApplied,
  /// Nothing was applied: the update begins after the revision this node has seen, or the transfer
  /// is not newer than the view or its configuration cannot be parsed.
  kSkipped,
  /// Applied, but the views differ: a change that was reverted between two polls of the other node
  /// may not be in its update. A listing is needed.
  kMismatch,
  kOutdated,  ///< From a store era that has ended; says nothing about the current state.
};

/// Tracks the revision up to which the view is complete and ignores changes that are not newer,
/// because the answer to a poll may arrive after a newer update of another node. When the store has
/// begun a new era, a full listing or a complete view replaces the state of the previous one, whose
/// revisions no longer determine what is old (StoreRevision). Used on one event loop.
class ViewWriter {
 public:
  ViewWriter(const Clock& clock, const FleetCodec& codec, logging::Logger& logger,
             gateway::FleetState& fleet, NodeDirectory& nodes)
      : clock_(clock),
        codec_(codec),
        logger_(logger),
        fleet_(fleet),
        nodes_(nodes),
        entries_(codec, logger) {}

  /// Called with the changed state of each key that is neither the configuration nor a back end or
  /// node; without a value, the key was removed.
  using OtherKey = std::function<void(const std::string&, const std::optional<std::string>&)>;
  void on_other_key(OtherKey callback) { other_key_callback_ = std::move(callback); }
  /// Sets the callback for a view that is replaced as a whole: what has come and gone since the
  /// former one is not in it.
  void on_replaced(std::function<void()> callback) { replaced_callback_ = std::move(callback); }

  /// Makes the view match the listing, except for changes that other nodes reported while the store
  /// was being listed. Returns false and changes nothing if the listing is of an ended era, or is
  /// older than the view and the change log does not reach back to it.
  bool apply_listing(const shared_store::Listing& listing);
  /// Adds the nodes found in a part of a listing, so that they can be asked for a view.
  void add_nodes(const std::vector<shared_store::Change>& items);
  void apply_changes(const shared_store::Changes& changes);
  /// Applies the configuration read separately at some time after `seen_revision()`.
  void apply_configuration_entry(const shared_store::Change& item);
  UpdateOutcome apply_update(const ViewUpdate& update);
  /// Returns the changes since `after` if they are known, otherwise the complete view; nullopt
  /// before there is a configuration.
  std::optional<ViewTransfer> make_transfer(std::optional<shared_store::StoreRevision> after);
  UpdateOutcome apply_transfer(const ViewTransfer& transfer);
  /// Marks the view as wrong: a complete view of another node is accepted even if it is no newer.
  void invalidate() { valid_ = false; }
  /// Returns keys that split the store into about `count` ranges of the same size, based on the
  /// known back ends.
  std::vector<std::string> range_boundaries(std::size_t count) const;

  /// Returns the revision up to which the view is complete; nullopt if a listing is needed.
  std::optional<shared_store::StoreRevision> seen_revision() const { return seen_revision_; }
  /// Returns the position of the change at `seen_revision()`, if known.
  std::optional<shared_store::StorePosition> position() const;
  /// Forgets the position, because the store no longer keeps its change.
  void forget_position();
  /// Records a position known to another node. Returns false if this node knows a different change
  /// at that revision, which means that one of the two has seen another store era; the reported
  /// position is then not recorded.
  bool record_position(const shared_store::StorePosition& reported);
  /// Returns the updates to broadcast after a poll that started `age` ago, in the order to send
  /// them.
  std::vector<ViewUpdate> make_updates(Duration age);
  /// Returns the document in force; empty if there is none yet.
  const std::string& configuration_in_force() const { return configuration_; }
  /// Returns the number of values that could not be parsed. The last valid configuration stays in
  /// force.
  std::uint64_t rejected_values() const { return entries_.rejected(); }

 private:
  std::uint64_t fingerprint();
  /// Writes a back end or its removal into the view, which held `known` (null if none). Returns
  /// whether anything changed.
  bool update_fleet(const BackendChange& change, const gateway::Backend* known);
  /// Logs one line for a whole batch, because thousands of back ends are added while a fleet
  /// starts.
  void log_added_backends();
  /// If `revision` is of a later era than the view, marks the back ends removed before as doubtful.
  /// Returns whether it is.
  bool enter_era(shared_store::StoreRevision revision);
  void note_replaced();
  void apply_first_listing(const shared_store::Listing& listing);
  /// Returns the differences between a listing and the view, in order of revision.
  std::vector<ViewChange> diff_listing(const shared_store::Listing& listing);
  void apply_other_keys(const shared_store::Listing& listing);
  void apply_view_changes(const std::vector<ViewChange>& changes,
                          shared_store::StoreRevision after);
  ViewSnapshot make_snapshot() const;
  UpdateOutcome apply_transferred(const ViewSnapshot& snapshot);
  UpdateOutcome apply_transferred(const ViewDelta& delta);
  /// Returns kMismatch if the view, now at `through`, is not the one that `fingerprint` was
  /// computed from.
  UpdateOutcome verify_fingerprint(shared_store::StoreRevision through, std::uint64_t fingerprint);
  void apply_stored_change(const shared_store::Change& change);
  void apply_backend_entry(const shared_store::Change& change);
  bool apply_configuration(const std::string& value, shared_store::StoreRevision revision);
  void apply_view_change(BackendChange change);
  void apply_view_change(NodeChange change);

  const Clock& clock_;
  const FleetCodec& codec_;
  logging::Logger& logger_;
  gateway::FleetState& fleet_;
  NodeDirectory& nodes_;
  EntryReader entries_;
  ChangeLog change_log_;
  std::optional<shared_store::StoreRevision> seen_revision_;
  std::optional<shared_store::StorePosition> position_;
  /// The newest position received from another node; the update up to there may arrive later.
  std::optional<shared_store::StorePosition> reported_position_;
  /// Sum over the back ends, updated with each change; nullopt if it has to be recomputed.
  std::optional<std::uint64_t> fingerprint_;
  std::uint64_t added_backends_ = 0;  ///< Added back ends that are not logged yet.
  /// Later pages of a listing contain newer states than the first. Up to this revision the view may
  /// contain changes after `seen_revision_` and is not compared with that of other nodes.
  shared_store::StoreRevision max_listed_revision_;
  /// Back ends whose listed state was newer than the start of the listing. Their change is found
  /// again by a poll and must still be broadcast, although it changes nothing here.
  std::set<gateway::BackendId> newer_than_listing_;
  bool valid_ = true;  ///< False from invalidate() until the view is replaced or listed again.
  std::string configuration_;  ///< The document in force.
  /// The newest revision at which it is known to be stored.
  shared_store::StoreRevision configuration_revision_;
  OtherKey other_key_callback_;
  std::function<void()> replaced_callback_;
};

}  // namespace ochrespring::discovery
