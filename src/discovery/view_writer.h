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
  kTaken,
  kPassed,    ///< It begins after what this node has seen: nothing was taken.
  kDiffers,   ///< Taken, but the views differ: what changed and changed back between two looks of
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
  bool take_listing(const shared_store::Listing& listing);
  /// Nodes of a part of a listing: somebody to ask for a view.
  void learn_nodes(const std::vector<shared_store::Change>& items);
  void take_changes(const shared_store::Changes& changes);
  /// The configuration as it was read alone, at some time after `seen()`.
  void take_configuration_alone(const shared_store::Change& item);
  UpdateOutcome take_update(const ViewUpdate& update);
  /// What has changed since `after`, if this node can tell, or else the whole view; none before
  /// there is a configuration.
  std::optional<ViewTransfer> make_transfer(std::optional<shared_store::StoreRevision> after);
  UpdateOutcome take_transfer(const ViewTransfer& transfer);
  /// The view has turned out to be wrong: another node's whole view is taken even if it is no
  /// newer.
  void distrust() { trusted_ = false; }
  /// Keys that cut the store into about `count` ranges of the same size, as far as it is known.
  std::vector<std::string> split_points(std::size_t count) const;

  /// None: a listing is needed.
  std::optional<shared_store::StoreRevision> seen() const { return seen_; }
  /// The change that stands at `seen()`, if it is known.
  std::optional<shared_store::StorePosition> position() const;
  /// The store no longer tells it.
  void forget_position();
  /// Another node knows the change at a position. Returns false if it is another one than this node
  /// knows: one of the two has seen another life of the store.
  bool learn_position(const shared_store::StorePosition& told);
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
  bool write(const BackendChange& change, const gateway::Backend* known);
  /// Back ends that are new come by thousands while a fleet starts: one line for all of a batch.
  void log_added();
  bool begin_life(shared_store::StoreRevision told);
  void take_first_listing(const shared_store::Listing& listing);
  /// How a listing that began at `revision` differs from the view, in the order of revisions.
  std::vector<ViewChange> compare(const shared_store::Listing& listing);
  void take_other_keys(const shared_store::Listing& listing);
  void apply(const std::vector<ViewChange>& changes, shared_store::StoreRevision behind);
  ViewSnapshot make_snapshot() const;
  UpdateOutcome take(const ViewSnapshot& snapshot);
  UpdateOutcome take(const ViewDelta& delta);
  /// Whether the view, now at `through`, is the one that `fingerprint` was taken of.
  UpdateOutcome check(shared_store::StoreRevision through, std::uint64_t fingerprint);
  void take_stored(const shared_store::Change& change);
  void take_backend_entry(const shared_store::Change& change);
  bool take_configuration(const std::string& value, shared_store::StoreRevision told_at);
  void take(BackendChange change);
  void take(NodeChange change);

  const Clock& clock_;
  const FleetCodec& codec_;
  logging::Logger& logger_;
  gateway::FleetState& fleet_;
  NodeDirectory& nodes_;
  EntryReader entries_;
  ChangeLog log_;
  std::optional<shared_store::StoreRevision> seen_;
  std::optional<shared_store::StorePosition> position_;
  /// The newest that another node has told of; the update up to there may come later.
  std::optional<shared_store::StorePosition> told_position_;
  /// Sum over the back ends, kept up with each change; none: to be made anew.
  std::optional<std::uint64_t> fingerprint_;
  std::uint64_t added_ = 0;  ///< Back ends not logged yet.
  /// A listing in pages tells later pages as they are by then: up to this revision the view may
  /// hold more than `seen_` says, and is not compared with others'.
  shared_store::StoreRevision listed_through_;
  /// Back ends whose state in that listing was newer than its beginning. Their change comes again
  /// and, though nothing changes here any more, has to be told on.
  std::set<gateway::BackendId> listed_ahead_;
  bool trusted_ = true;
  std::string configuration_;                     ///< The document in force.
  shared_store::StoreRevision configuration_at_;  ///< The newest at which that is known.
  OtherKey other_key_;
};

}  // namespace ochrespring::discovery
