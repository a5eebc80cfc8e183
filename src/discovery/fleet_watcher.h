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
#include "discovery/fleet_lister.h"
#include "discovery/known_history.h"
#include "discovery/life_check.h"
#include "discovery/look_schedule.h"
#include "discovery/node_directory.h"
#include "discovery/refresh_waiters.h"
#include "discovery/view_fetcher.h"
#include "discovery/view_transfer.h"
#include "discovery/view_update.h"
#include "discovery/view_writer.h"
#include "gateway/fleet_state.h"
#include "logging/logger.h"
#include "shared_store/store.h"

namespace ochrespring::discovery {

struct FleetWatcherStatistics {
  std::uint64_t looks = 0;
  std::uint64_t failed_looks = 0;
  std::uint64_t listings = 0;
  std::uint64_t updates_taken = 0;     ///< Of other nodes, each instead of a look.
  std::uint64_t updates_passed = 0;    ///< Began after what this node had seen.
  std::uint64_t snapshots_taken = 0;   ///< Views taken over whole from another node.
  std::uint64_t deltas_taken = 0;      ///< What changed, fetched from another node.
  std::uint64_t updates_outdated = 0;  ///< Of a life of the store that has ended.
  std::uint64_t updates_differed = 0;  ///< Showed that a listing was needed.
  std::uint64_t histories_gone = 0;    ///< Looks that the store had forgotten the history of.
  std::uint64_t listings_passed = 0;   ///< Older than the view, by their revision.
  std::uint64_t eras_begun = 0;        ///< Views that were the first of a later life of the store.
  std::uint64_t lives_found = 0;       ///< Looks that met another change than was known.
};

/// Looks now and then for what has changed since the newest change it has seen, instead of holding
/// a watch open: each change of a back end's heartbeat would end the watch, and each call has its
/// price. An answer without changes never moves the point from which it goes on, so a store that
/// keeps changes back for a while is caught up with later; a store that has forgotten them is
/// listed anew.
///
/// Nodes share their looks: whoever has looked tells the others, who then put off their own. In a
/// small fleet each waits a different time, so mostly one node looks for all. In a large one a few
/// readers look and list, so that what the store is asked does not grow with the fleet: of 985
/// nodes that each listed 11,000 keys for themselves, once its history was gone, nobody came to an
/// end within the bound. No node depends on another: one that hears nothing asks a reader, and in
/// the end looks itself in time.
///
/// A look asks for the newest change that is known, too: if another one stands in its place, the
/// store has come back from an older copy and counted on. Where that change is not known, or has
/// been forgotten, a store that was out meanwhile is listed anew. After a look that failed all
/// changes known of the last seconds are asked for and compared, unless the store names its era:
/// one that has counted on may hold just the newest change again.
///
/// The configuration is small and read alone where the rest takes long. One loop.
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
  /// Calls back once the configuration is known to be current, or with false if that cannot be
  /// learnt soon; at once if the store has just not answered, or is being waited for for long.
  void refresh(std::function<void(bool current)> done);
  /// Another node has looked. `covered`, if given, is called once this node's view is no older than
  /// the update: at once, after a fetch, or never if a newer update comes before.
  void take_update(const ViewUpdate& update, std::function<void()> covered = {});
  /// Called now and then while this node has no view and the store is slow to give one: asks
  /// another node for its own.
  void on_lost_without_view(std::function<void(TransferCallback done)> callback) {
    ask_peer_ = std::move(callback);
  }
  /// Called to ask a node for its view or for what has changed in it.
  void on_unjoined(std::function<void(const ViewRequest&, TransferCallback done)> callback) {
    fetch_view_ = std::move(callback);
  }
  /// Asked for this node's part in reading; without it the node is an equal.
  void on_duty(std::function<ReadingDuty()> callback) { duty_ = std::move(callback); }
  /// For another node that has seen everything up to `after`, or has no view.
  std::optional<ViewTransfer> make_transfer(std::optional<shared_store::StoreRevision> after) {
    return writer_.make_transfer(after);
  }
  /// Called when the store is lost or regained by this node's own looks.
  void on_store_state(std::function<void(bool reachable)> callback) {
    store_state_ = std::move(callback);
  }
  /// Called with keys of the store that are not of the fleet's view, as this node's looks find
  /// them.
  void on_other_key(ViewWriter::OtherKey callback) { writer_.on_other_key(std::move(callback)); }
  /// Called when this node's first view is its own listing of the store, after on_other_key().
  void on_first_listing(std::function<void()> callback) { first_listing_ = std::move(callback); }
  /// Called with what this node's look found, for the others.
  void on_look(std::function<void(const ViewUpdate&)> callback) { share_ = std::move(callback); }
  /// Called, behind on_look(), with the place up to which this node's look has come.
  void on_position(std::function<void(const PositionNews&)> callback) {
    share_position_ = std::move(callback);
  }
  /// Another node has told of the place up to which its look has come.
  void take_position(const PositionNews& told);
  /// Called, behind on_position(), with the changes that this node's look has found.
  void on_history(std::function<void(const HistoryNews&)> callback) {
    share_history_ = std::move(callback);
  }
  /// Another node has told of the changes that its look has found.
  void take_history(const HistoryNews& told) { history_.note(told.span, world_.clock.now()); }
  /// Called when the view is the first one of a later life of the store: what this node wrote there
  /// may be lost.
  void on_new_era(std::function<void()> callback) { new_era_ = std::move(callback); }
  /// Called after each look that succeeded, and each update taken.
  void on_current(std::function<void()> callback) { current_ = std::move(callback); }
  /// The document as the store holds it; empty: none yet.
  const std::string& configuration_in_force() const { return writer_.configuration(); }
  const FleetWatcherStatistics& statistics() const { return statistics_; }
  std::uint64_t rejected_values() const { return writer_.rejected_values(); }

 private:
  /// How a look ended.
  enum class LookResult : std::uint8_t {
    kCurrent,
    kBehind,     ///< The store answers, but the view could not be brought up to date.
    kStoreLost,  ///< No answer, or not the one that was asked for.
  };
  using ListingResult = Result<shared_store::Listing, shared_store::StoreError>;

  void look();
  void look_without_view();
  void find_peers(shared_store::ListPage first);
  void hold_listing();
  void list_rest();
  void list_all();
  void take_listing(const ListingResult& listing);
  void pass_listing(shared_store::StoreRevision listed);
  void ask_reader(const Endpoint& reader);
  void read_changes();
  void ask_for_changes(const std::optional<shared_store::StorePosition>& known);
  void take_changes(const std::optional<shared_store::StorePosition>& known,
                    shared_store::StoreRevision after, const shared_store::Changes& changes);
  void compare_history(shared_store::StoreRevision begin);
  /// `changes`: all after `after`, of the life that the view is of as far as anything tells.
  void take_known_life(shared_store::StoreRevision after, const shared_store::Changes& changes);
  void note_history(shared_store::StoreRevision after, const shared_store::Changes& changes);
  void begin_life();
  void forget_position();
  /// Whether nothing tells that the store which answers is the one that the view is of.
  bool may_be_another_life() const { return life_.is_pending() && !world_.store.names_era(); }
  void recover_history();
  void read_configuration_later();
  void read_configuration();
  /// `as_of`: when the store was as the view is now, after a look that succeeded.
  void look_ended(LookResult result, MonotonicTime as_of, std::string_view detail);
  void note_store_state(bool reachable, std::string_view detail);
  /// The view turned out to be wrong; `holder` has another one.
  void distrust_view(const Endpoint& holder);
  void ask_peer_later();
  void ask_peer();
  /// Returns whether another node's view, asked for at `asked`, was of use.
  bool take_transfer(const ViewTransfer& transfer, MonotonicTime asked);
  ReadingDuty duty() const { return duty_ ? duty_() : ReadingDuty{}; }
  void note_era();
  /// Tells the others what this node's look found, unless another node has just told them.
  void share_look();
  void share_position();
  /// Calls back whoever waits for the view to cover an update, if it does.
  void note_covered();
  /// The view is known to be as the store was at `at`.
  void note_current(MonotonicTime at);
  void note_configuration_current(MonotonicTime at);

  World world_;
  FleetWatcherSettings settings_;
  gateway::FleetState& fleet_;
  const NodeDirectory& nodes_;
  ViewWriter writer_;
  FleetLister lister_;
  ViewFetcher fetcher_;
  Timer timer_;
  Timer peer_timer_;
  Timer configuration_timer_;  ///< Of a follower, before it reads the configuration alone.
  std::optional<MonotonicTime> heard_at_;  ///< When another node's look was last heard of.
  /// Update that waits to be covered, and what is called then.
  struct Uncovered {
    shared_store::StoreRevision through;
    std::function<void()> covered;
  };
  std::optional<Uncovered> uncovered_;
  std::optional<MonotonicTime> configuration_at_;  ///< When it was last known to be the newest.
  std::uint32_t failed_in_row_ = 0;                ///< Looks.
  MonotonicTime look_began_{};
  bool looking_ = false;
  bool look_is_slow_ = false;  ///< Somebody has waited for it for as long as anybody does.
  bool relist_ = false;        ///< The view is wrong: the next look lists.
  LifeCheck life_;
  KnownHistory history_;
  std::optional<shared_store::HistorySpan> found_;  ///< By the last look, until it is told.
  std::optional<shared_store::StorePosition>
      shared_position_;  ///< The last that was told or heard.
  bool asking_peer_ = false;
  bool looked_again_ = false;  ///< For those waiting, the look before having taken too long.
  /// Of the first listing of a large fleet, while others are asked for theirs.
  std::optional<shared_store::ListPage> first_page_;
  std::optional<bool> connected_;              ///< How the last look ended; none before the first.
  std::optional<shared_store::StoreEra> era_;  ///< Of the view; none before the first.
  RefreshWaiters waiting_;
  std::function<void()> current_;
  std::function<void()> new_era_;
  std::function<void()> first_listing_;
  std::function<void(const ViewUpdate&)> share_;
  std::function<void(const PositionNews&)> share_position_;
  std::function<void(const HistoryNews&)> share_history_;
  std::function<void(bool)> store_state_;
  std::function<void(TransferCallback)> ask_peer_;
  std::function<void(const ViewRequest&, TransferCallback)> fetch_view_;
  std::function<ReadingDuty()> duty_;
  FleetWatcherStatistics statistics_;
};

}  // namespace ochrespring::discovery
