// Writes what the store and other nodes tell into this node's view of the fleet.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"
#include "discovery/change_log.h"
#include "discovery/fleet_codec.h"
#include "discovery/node_directory.h"
#include "discovery/view_snapshot.h"
#include "discovery/view_update.h"
#include "gateway/fleet_state.h"
#include "logging/logger.h"
#include "shared_store/store.h"

namespace ochrespring::discovery {

enum class UpdateOutcome : std::uint8_t {
  kTaken,
  kPassed,   ///< It begins after what this node has seen: nothing was taken.
  kDiffers,  ///< Taken, but the views differ: what changed and changed back between two looks of
             ///< the other node is not in its update. A listing is needed.
};

/// Knows the revision up to which the view is complete. What is not newer than that is passed over:
/// a look's answer may arrive after another node's update that is newer. One loop.
class ViewWriter {
 public:
  ViewWriter(const Clock& clock, const FleetCodec& codec, logging::Logger& logger,
             gateway::FleetState& fleet, NodeDirectory& nodes)
      : clock_(clock), codec_(codec), logger_(logger), fleet_(fleet), nodes_(nodes) {}

  /// Called with keys that are neither the configuration nor of a back end or a node, as they are
  /// since some change; without a value: removed.
  using OtherKey = std::function<void(const std::string&, const std::optional<std::string>&)>;
  void on_other_key(OtherKey callback) { other_key_ = std::move(callback); }

  /// Replaces the view.
  void take_listing(const shared_store::Listing& listing);
  void take_changes(const shared_store::Changes& changes);
  UpdateOutcome take_update(const ViewUpdate& update);
  /// The whole view; none before there is a configuration.
  std::optional<ViewSnapshot> make_snapshot() const;
  /// Takes another node's view if it is newer than this one's; returns whether it was.
  bool take_snapshot(const ViewSnapshot& snapshot);
  /// The history was lost: the next listing starts anew.
  void forget_history() { seen_.reset(); }

  /// None: a listing is needed.
  std::optional<shared_store::StoreRevision> seen() const { return seen_; }
  /// What the others are told after a look that began `age` ago, in the order to send it.
  std::vector<ViewUpdate> make_updates(Duration age);
  /// Values that could not be understood; the last good one stays.
  std::uint64_t rejected_values() const { return rejected_values_; }

 private:
  std::uint64_t fingerprint();
  void take_stored(const shared_store::Change& change);
  bool take_configuration(const std::string& value);
  void take(BackendChange change);
  void take(NodeChange change);
  std::optional<gateway::Backend> read_backend(const shared_store::Change& change);
  std::optional<NodeRecord> read_node(const shared_store::Change& change);
  void reject(const std::string& key, const std::string& reason);

  const Clock& clock_;
  const FleetCodec& codec_;
  logging::Logger& logger_;
  gateway::FleetState& fleet_;
  NodeDirectory& nodes_;
  ChangeLog log_;
  std::optional<shared_store::StoreRevision> seen_;
  std::optional<std::uint64_t> fingerprint_;  ///< None: the back ends have changed since.
  /// A listing in pages tells later pages as they are by then: up to this revision the view may
  /// hold more than `seen_` says, and is not compared with others'.
  shared_store::StoreRevision listed_through_;
  std::string configuration_;  ///< The document in force.
  OtherKey other_key_;
  std::uint64_t rejected_values_ = 0;
};

}  // namespace ochrespring::discovery
