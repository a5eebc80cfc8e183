// Writes what the store and other nodes tell into this node's view of the fleet.
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
  kSkipped,   ///< It begins after what this node has seen: nothing was taken.
  kMismatch,  ///< Taken, but the views differ: what changed and changed back between two looks of
              ///< the other node is not in its update. A listing is needed.
  kOutdated,  ///< Of a life of the store that has ended: it says nothing of now.
};

/// Knows the revision up to which the view is complete. What is not newer than that is passed over:
/// a look's answer may arrive after another node's update that is newer. Once the store has begun
/// another life, what was known of the one before is replaced by a whole listing or view, and says
/// nothing of which numbers are old (StoreRevision). One loop.
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

  /// Called with keys that are neither the configuration nor of a back end or a node, as they are
  /// since some change; without a value: removed.
  using OtherKey = std::function<void(const std::string&, const std::optional<std::string>&)>;
  void on_other_key(OtherKey callback) { other_key_ = std::move(callback); }

  /// Makes the view what the listing says. Other nodes' updates go on to be taken while the store
  /// is being listed: what they have told since is kept. Returns whether the listing was of use.
  bool apply_listing(const shared_store::Listing& listing);
  /// Nodes of a part of a listing: somebody to ask for a view.
  void add_nodes(const std::vector<shared_store::Change>& items);
  void apply_changes(const shared_store::Changes& changes);
  /// The configuration as it was read alone, at some time after `seen()`.
  void apply_configuration_entry(const shared_store::Change& item);
  UpdateOutcome apply_update(const ViewUpdate& update);
  /// What has changed since `after`, if this node can tell, or else the whole view; none before
  /// there is a configuration.
  std::optional<ViewTransfer> make_transfer(std::optional<shared_store::StoreRevision> after);
  UpdateOutcome apply_transfer(const ViewTransfer& transfer);
  /// The view has turned out to be wrong: another node's whole view is taken even if it is no
  /// newer.
  void invalidate() { valid_ = false; }
  /// Keys that cut the store into about `count` ranges of the same size, as far as it is known.
  std::vector<std::string> split_points(std::size_t count) const;

  /// None: a listing is needed.
  std::optional<shared_store::StoreRevision> seen_revision() const { return seen_revision_; }
  /// The change that stands at `seen()`, if it is known.
  std::optional<shared_store::StorePosition> position() const;
  /// The store no longer tells it.
  void forget_position();
  /// Another node knows the change at a position. Returns false if it is another one than this node
  /// knows: one of the two has seen another life of the store.
  bool record_position(const shared_store::StorePosition& told);
  /// What the others are told after a look that began `age` ago, in the order to send it.
  std::vector<ViewUpdate> make_updates(Duration age);
  /// The document in force; empty: none yet.
  const std::string& configuration() const { return configuration_; }
  /// Values that could not be understood. Of the configuration the last good one stays.
  std::uint64_t rejected_values() const { return entries_.rejected(); }

 private:
  std::uint64_t fingerprint();
  /// Writes one back end, or its end, into the view, where it was `known` or null; returns whether
  /// that changed anything.
  bool update_fleet(const BackendChange& change, const gateway::Backend* known);
  /// Back ends that are new come by thousands while a fleet starts: one line for all of a batch.
  void log_added_backends();
  bool enter_era(shared_store::StoreRevision told);
  void apply_first_listing(const shared_store::Listing& listing);
  /// How a listing that began at `revision` differs from the view, in the order of revisions.
  std::vector<ViewChange> diff_listing(const shared_store::Listing& listing);
  void apply_other_keys(const shared_store::Listing& listing);
  void apply(const std::vector<ViewChange>& changes, shared_store::StoreRevision after);
  ViewSnapshot make_snapshot() const;
  UpdateOutcome apply(const ViewSnapshot& snapshot);
  UpdateOutcome apply(const ViewDelta& delta);
  /// Whether the view, now at `through`, is the one that `fingerprint` was taken of.
  UpdateOutcome verify_fingerprint(shared_store::StoreRevision through, std::uint64_t fingerprint);
  void apply_stored_change(const shared_store::Change& change);
  void apply_backend_entry(const shared_store::Change& change);
  bool apply_configuration(const std::string& value, shared_store::StoreRevision reported_revision);
  void apply(BackendChange change);
  void apply(NodeChange change);

  const Clock& clock_;
  const FleetCodec& codec_;
  logging::Logger& logger_;
  gateway::FleetState& fleet_;
  NodeDirectory& nodes_;
  EntryReader entries_;
  ChangeLog log_;
  std::optional<shared_store::StoreRevision> seen_revision_;
  std::optional<shared_store::StorePosition> position_;
  /// The newest that another node has told of; the update up to there may come later.
  std::optional<shared_store::StorePosition> reported_position_;
  /// Sum over the back ends, kept up with each change; none: to be made anew.
  std::optional<std::uint64_t> fingerprint_;
  std::uint64_t added_backends_ = 0;  ///< Back ends not logged yet.
  /// A listing in pages tells later pages as they are by then: up to this revision the view may
  /// hold more than `seen_revision_` says, and is not compared with others'.
  shared_store::StoreRevision max_listed_revision_;
  /// Back ends whose state in that listing was newer than its beginning. Their change comes again
  /// and, though nothing changes here any more, has to be told on.
  std::set<gateway::BackendId> newer_than_listing_;
  bool valid_ = true;
  std::string configuration_;                           ///< The document in force.
  shared_store::StoreRevision configuration_revision_;  ///< The newest at which that is known.
  OtherKey other_key_;
};

}  // namespace ochrespring::discovery
