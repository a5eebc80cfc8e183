// Keeps a node's view of the fleet up to date from the shared store.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "base/timer.h"
#include "discovery/era_check.h"
#include "discovery/fleet_codec.h"
#include "discovery/fleet_lister.h"
#include "discovery/known_history.h"
#include "discovery/node_directory.h"
#include "discovery/poll_schedule.h"
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
  std::uint64_t polls = 0;
  std::uint64_t failed_polls = 0;
  std::uint64_t listings = 0;
  std::uint64_t updates_taken = 0;          ///< Of other nodes, each instead of a poll.
  std::uint64_t updates_skipped = 0;        ///< Began after what this node had seen.
  std::uint64_t snapshots_taken = 0;        ///< Views taken over whole from another node.
  std::uint64_t deltas_taken = 0;           ///< What changed, fetched from another node.
  std::uint64_t updates_outdated = 0;       ///< Of a life of the store that has ended.
  std::uint64_t updates_mismatched = 0;     ///< Showed that a listing was needed.
  std::uint64_t histories_unavailable = 0;  ///< Looks that the store had forgotten the history of.
  std::uint64_t listings_skipped = 0;       ///< Older than the view, by their revision.
  std::uint64_t eras_begun = 0;        ///< Views that were the first of a later life of the store.
  std::uint64_t unannounced_eras = 0;  ///< Looks that met another change than was known.
};

/// Looks now and then for what has changed since the newest change it has seen, instead of holding
/// a watch open: each change of a back end's heartbeat would end the watch, and each call has its
/// price. An answer without changes never moves the point from which it goes on, so a store that
/// keeps changes back for a while is caught up with later; a store that has forgotten them is
/// listed anew.
///
/// Nodes share their polls: whoever has looked tells the others, who then put off their own. In a
/// small fleet each waits a different time, so mostly one node polls for all. In a large one a few
/// readers poll and list, so that what the store is requested_at does not grow with the fleet: of
/// 985 nodes that each listed 11,000 keys for themselves, once its history was gone, nobody came to
/// an end within the bound. No node depends on another: one that hears nothing asks a reader, and
/// in the end polls itself in time.
///
/// A poll asks for the newest change that is known, too: if another one stands in its place, the
/// store has come back from an older copy and counted on. Where that change is not known, or has
/// been forgotten, a store that was out meanwhile is listed anew. After a poll that failed all
/// changes known of the last seconds are requested_at for and compared, unless the store names its
/// era: one that has counted on may hold just the newest change again.
///
/// The configuration is small and read alone where the rest takes long. One loop.
class FleetWatcher {
 public:
  struct Dependencies {
    const Clock& clock;
    TimerService& timers;
    RandomSource& random;
    shared_store::SharedStore& store;
    const FleetCodec& codec;
    logging::Logger& logger;
  };

  FleetWatcher(Dependencies deps, FleetWatcherSettings settings, gateway::FleetState& fleet,
               NodeDirectory& nodes);

  void start();
  /// Calls back once the configuration is known to be current, or with false if that cannot be
  /// learnt soon; at once if the store has just not answered, or is being waited for for long.
  void refresh(std::function<void(bool current)> done);
  /// Another node has looked. `on_covered`, if given, is called once this node's view is no older
  /// than the update: at once, after a fetch, or never if a newer update comes before.
  void receive_update(const ViewUpdate& update, std::function<void()> on_covered = {});
  /// Called now and then while this node has no view and the store is slow to give one: asks
  /// another node for its own.
  void on_view_needed(std::function<void(TransferCallback done)> callback) {
    request_peer_view_callback_ = std::move(callback);
  }
  /// Called to ask a node for its view or for what has changed in it.
  void on_fetch_needed(std::function<void(const ViewRequest&, TransferCallback done)> callback) {
    fetch_view_callback_ = std::move(callback);
  }
  /// Asked for this node's part in reading; without it the node is an equal.
  void on_reading_assignment(std::function<ReadingAssignment()> callback) {
    reading_assignment_callback_ = std::move(callback);
  }
  /// For another node that has seen everything up to `after`, or has no view.
  std::optional<ViewTransfer> make_transfer(std::optional<shared_store::StoreRevision> after) {
    return writer_.make_transfer(after);
  }
  /// Called when the store is lost or regained by this node's own polls.
  void on_store_state(std::function<void(bool reachable)> callback) {
    store_state_callback_ = std::move(callback);
  }
  /// Called with keys of the store that are not of the fleet's view, as this node's polls find
  /// them.
  void on_other_key(ViewWriter::OtherKey callback) { writer_.on_other_key(std::move(callback)); }
  /// Called when this node's first view is its own listing of the store, after on_other_key().
  void on_first_listing(std::function<void()> callback) {
    first_listing_callback_ = std::move(callback);
  }
  /// Called with what this node's poll found, for the others.
  void on_poll(std::function<void(const ViewUpdate&)> callback) {
    broadcast_update_ = std::move(callback);
  }
  /// Called, behind on_poll(), with the place up to which this node's poll has come.
  void on_position(std::function<void(const PositionReport&)> callback) {
    broadcast_position_ = std::move(callback);
  }
  /// Another node has told of the place up to which its poll has come.
  void receive_position(const PositionReport& report);
  /// Called, behind on_position(), with the changes that this node's poll has found.
  void on_history(std::function<void(const HistoryReport&)> callback) {
    broadcast_history_ = std::move(callback);
  }
  /// Another node has told of the changes that its poll has found.
  void receive_history(const HistoryReport& report) {
    history_.note(report.span, deps_.clock.now());
  }
  /// Called when the view is the first one of a later life of the store: what this node wrote there
  /// may be lost.
  void on_new_era(std::function<void()> callback) { new_era_callback_ = std::move(callback); }
  /// Called after each poll that succeeded, and each update taken.
  void on_current(std::function<void()> callback) { current_callback_ = std::move(callback); }
  /// The document as the store holds it; empty: none yet.
  const std::string& configuration_in_force() const { return writer_.configuration(); }
  const FleetWatcherStatistics& statistics() const { return statistics_; }
  std::uint64_t rejected_values() const { return writer_.rejected_values(); }

 private:
  /// How a poll ended.
  enum class PollResult : std::uint8_t {
    kCurrent,
    kStale,             ///< The store answers, but the view could not be brought up to date.
    kStoreUnreachable,  ///< No answer, or not the one that was requested_at for.
  };
  using ListingResult = Result<shared_store::Listing, shared_store::StoreError>;

  void poll();
  void poll_without_view();
  void find_peers(shared_store::ListPage first);
  void delay_listing();
  void list_remaining();
  void list_all();
  void handle_listing(const ListingResult& listing);
  void skip_listing(shared_store::StoreRevision listed);
  void poll_reader(const Endpoint& reader);
  void poll_changes();
  void request_changes(const std::optional<shared_store::StorePosition>& known);
  void handle_changes(const std::optional<shared_store::StorePosition>& known,
                      shared_store::StoreRevision after, const shared_store::Changes& changes);
  void verify_history(shared_store::StoreRevision begin);
  /// `changes`: all after `after`, of the life that the view is of as far as anything tells.
  void apply_verified_changes(shared_store::StoreRevision after,
                              const shared_store::Changes& changes);
  void record_history(shared_store::StoreRevision after, const shared_store::Changes& changes);
  void begin_era();
  void forget_position();
  /// Whether nothing tells that the store which answers is the one that the view is of.
  bool may_be_another_era() const { return era_check_.is_pending() && !deps_.store.names_era(); }
  void handle_unavailable_history();
  void read_configuration_later();
  void read_configuration();
  /// `as_of`: when the store was as the view is now, after a poll that succeeded.
  void finish_poll(PollResult result, MonotonicTime as_of, std::string_view detail);
  void note_store_state(bool reachable, std::string_view detail);
  /// The view turned out to be wrong; `holder` has another one.
  void invalidate_view(const Endpoint& holder);
  void schedule_peer_request();
  void request_peer_view();
  /// Returns whether another node's view, requested_at for at `requested_at`, was of use.
  bool apply_transfer(const ViewTransfer& transfer, MonotonicTime requested_at);
  ReadingAssignment reading_assignment() const {
    return reading_assignment_callback_ ? reading_assignment_callback_() : ReadingAssignment{};
  }
  void note_era();
  /// Tells the others what this node's poll found, unless another node has just told them.
  void broadcast_poll();
  void broadcast_position();
  /// Calls back whoever waits for the view to cover an update, if it does.
  void notify_covered();
  /// The view is known to be as the store was at `at`.
  void note_current(MonotonicTime at);
  void note_configuration_current(MonotonicTime at);

  Dependencies deps_;
  FleetWatcherSettings settings_;
  gateway::FleetState& fleet_;
  const NodeDirectory& nodes_;
  ViewWriter writer_;
  FleetLister lister_;
  ViewFetcher fetcher_;
  Timer timer_;
  Timer peer_timer_;
  Timer configuration_timer_;  ///< Of a follower, before it reads the configuration alone.
  std::optional<MonotonicTime>
      update_received_at_;  ///< When another node's poll was last heard of.
  /// Update that waits to be on_covered, and what is called then.
  struct PendingUpdate {
    shared_store::StoreRevision through;
    std::function<void()> on_covered;
  };
  std::optional<PendingUpdate> pending_update_;
  std::optional<MonotonicTime>
      configuration_current_at_;     ///< When it was last known to be the newest.
  std::uint32_t failed_in_row_ = 0;  ///< Looks.
  MonotonicTime poll_started_at_{};
  bool polling_ = false;
  bool poll_is_slow_ = false;      ///< Somebody has waited for it for as long as anybody does.
  bool listing_required_ = false;  ///< The view is wrong: the next poll lists.
  EraCheck era_check_;
  KnownHistory history_;
  std::optional<shared_store::HistorySpan> polled_span_;  ///< By the last poll, until it is told.
  std::optional<shared_store::StorePosition> last_position_;  ///< The last that was told or heard.
  bool requesting_peer_view_ = false;
  bool polled_again_ = false;  ///< For those waiting, the poll before having taken too long.
  /// Of the first listing of a large fleet, while others are requested_at for theirs.
  std::optional<shared_store::ListPage> first_page_;
  std::optional<bool> store_reachable_;        ///< How the last poll ended; none before the first.
  std::optional<shared_store::StoreEra> era_;  ///< Of the view; none before the first.
  RefreshWaiters refresh_waiters_;
  std::function<void()> current_callback_;
  std::function<void()> new_era_callback_;
  std::function<void()> first_listing_callback_;
  std::function<void(const ViewUpdate&)> broadcast_update_;
  std::function<void(const PositionReport&)> broadcast_position_;
  std::function<void(const HistoryReport&)> broadcast_history_;
  std::function<void(bool)> store_state_callback_;
  std::function<void(TransferCallback)> request_peer_view_callback_;
  std::function<void(const ViewRequest&, TransferCallback)> fetch_view_callback_;
  std::function<ReadingAssignment()> reading_assignment_callback_;
  FleetWatcherStatistics statistics_;
};

}  // namespace ochrespring::discovery
