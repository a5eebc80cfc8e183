// Keeps a node's view of the fleet up to date from the shared store.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "base/timer.h"
#include "discovery/fleet_codec.h"
#include "discovery/node_directory.h"
#include "discovery/view_snapshot.h"
#include "discovery/view_update.h"
#include "discovery/view_writer.h"
#include "gateway/fleet_state.h"
#include "logging/logger.h"
#include "shared_store/store.h"

namespace ochrespring::discovery {

struct FleetWatcherSettings {
  Duration period{std::chrono::milliseconds(1000)};  ///< Between two looks of any node, at least.
  Duration spread{std::chrono::milliseconds(450)};   ///< A node waits up to this much longer.
  Duration retry{std::chrono::milliseconds(300)};    ///< After a look that failed.
  /// The pause after failed looks in a row grows up to this, in a large fleet further up to
  /// `fresh_enough`: of many nodes one will soon succeed, and tell the others.
  Duration longest_retry{std::chrono::milliseconds(1200)};
  /// A node waits up to this long before it fetches a view that it cannot join: many may at once.
  Duration fetch_spread{std::chrono::milliseconds(100)};
  Duration peer_patience{std::chrono::milliseconds(250)};  ///< Before a peer is asked for a view.
  Duration relist_spread{std::chrono::milliseconds(200)};  ///< Before a listing out of turn.
  Duration fresh_enough{std::chrono::milliseconds(150)};   ///< Age at which refresh() asks again.
};

/// Settings by which each node's view is never older than `bound`, with time to spare for a slow
/// answer and a second try.
FleetWatcherSettings settings_within(Duration bound);

/// How much longer than the period a node waits, from a draw in [0, 1). Late draws are likelier the
/// more nodes there are, so that seldom two look before the first one's update has reached the
/// second: about the logarithm of `nodes` do, where even draws would let a share of all.
Duration spread_wait(Duration spread, std::uint32_t nodes, double uniform);

struct FleetWatcherStatistics {
  std::uint64_t looks = 0;
  std::uint64_t failed_looks = 0;
  std::uint64_t listings = 0;
  std::uint64_t updates_taken = 0;     ///< Of other nodes, each instead of a look.
  std::uint64_t updates_passed = 0;    ///< Began after what this node had seen.
  std::uint64_t snapshots_taken = 0;   ///< Views taken over whole from another node.
  std::uint64_t updates_differed = 0;  ///< Showed that a listing was needed.
};

/// Looks now and then for what has changed since the newest change it has seen, instead of holding
/// a watch open: each change of a back end's heartbeat would end the watch, and each call has its
/// price. An answer without changes never moves the point from which it goes on, so a store that
/// keeps changes back for a while is caught up with later; a store that has forgotten them is
/// listed anew.
///
/// Nodes share their looks: whoever has looked tells the others, who then put off their own. Each
/// waits a different time, so mostly one node looks for all. No node depends on another: one that
/// hears nothing looks itself in time. One loop.
class FleetWatcher {
 public:
  struct World {
    const Clock& clock;
    TimerService& timers;
    RandomSource& random;
    shared_store::SharedStore& store;
    const FleetCodec& codec;
    logging::Logger& logger;
  };

  FleetWatcher(World world, FleetWatcherSettings settings, gateway::FleetState& fleet,
               NodeDirectory& nodes);

  void start();
  /// Calls back once the view is known to be current, or with false if the store does not answer,
  /// at once if it has just not answered.
  void refresh(std::function<void(bool current)> done);
  /// Another node has looked. `covered`, if given, is called once this node's view is no older than
  /// the update: at once, after a fetch, or never if a newer update comes before.
  void take_update(const ViewUpdate& update, std::function<void()> covered = {});
  using SnapshotCallback = std::function<void(std::optional<ViewSnapshot> snapshot)>;
  /// Called now and then while this node has no view and the store is slow to give one: asks
  /// another node for its own.
  void on_lost_without_view(std::function<void(SnapshotCallback done)> callback) {
    ask_peer_ = std::move(callback);
  }
  /// Called to fetch another node's view from its address, when its update cannot be joined.
  void on_unjoined(std::function<void(const Endpoint&, SnapshotCallback done)> callback) {
    fetch_view_ = std::move(callback);
  }
  std::optional<ViewSnapshot> make_snapshot() const { return writer_.make_snapshot(); }
  /// Called when the store is lost or regained by this node's own looks.
  void on_store_state(std::function<void(bool reachable)> callback) {
    store_state_ = std::move(callback);
  }
  /// Called with keys of the store that are not of the fleet's view, as this node's looks find
  /// them.
  void on_other_key(ViewWriter::OtherKey callback) { writer_.on_other_key(std::move(callback)); }
  /// Called with what this node's look found, for the others.
  void on_look(std::function<void(const ViewUpdate&)> callback) { share_ = std::move(callback); }
  /// Called after each look that succeeded, and each update taken.
  void on_current(std::function<void()> callback) { current_ = std::move(callback); }
  const FleetWatcherStatistics& statistics() const { return statistics_; }
  std::uint64_t rejected_values() const { return writer_.rejected_values(); }

 private:
  void look();
  void list_all();
  void read_changes();
  void look_ended(bool success, std::string_view detail);
  /// The view turned out to lack something.
  void list_again();
  Duration random_part_of(Duration whole);
  void ask_peer_later();
  void ask_peer();
  void fetch_later(const Endpoint& holder);
  void fetch();
  /// Returns whether another node's view, asked for at `asked`, was taken.
  bool take_snapshot(const std::optional<ViewSnapshot>& snapshot, MonotonicTime asked);
  Duration retry_pause();
  /// Tells the others what this node's look found, unless another node has just told them.
  void share_look();
  /// Calls back whoever waits for the view to cover an update, if it does.
  void note_covered();
  /// The view is known to be as the store was at `at`.
  void note_current(MonotonicTime at);

  World world_;
  FleetWatcherSettings settings_;
  gateway::FleetState& fleet_;
  const NodeDirectory& nodes_;
  ViewWriter writer_;
  Timer timer_;
  Timer peer_timer_;
  Timer fetch_timer_;
  std::optional<MonotonicTime> heard_at_;  ///< When another node's look was last heard of.
  bool fetching_ = false;
  std::optional<MonotonicTime> fetched_at_;  ///< When the last fetch began.
  Endpoint view_holder_;                     ///< Of the newest update that could not be joined.
  /// Update that waits to be covered, and what is called then.
  struct Uncovered {
    shared_store::StoreRevision through;
    std::function<void()> covered;
  };
  std::optional<Uncovered> uncovered_;
  std::uint32_t failed_in_row_ = 0;  ///< Looks.
  MonotonicTime look_began_{};
  bool looking_ = false;
  bool looked_again_ = false;      ///< For those waiting, the look before having taken too long.
  std::optional<bool> connected_;  ///< How the last look ended; none before the first.
  std::vector<std::function<void(bool)>> waiting_;
  std::function<void()> current_;
  std::function<void(const ViewUpdate&)> share_;
  std::function<void(bool)> store_state_;
  std::function<void(SnapshotCallback)> ask_peer_;
  std::function<void(const Endpoint&, SnapshotCallback)> fetch_view_;
  FleetWatcherStatistics statistics_;
};

}  // namespace ochrespring::discovery
