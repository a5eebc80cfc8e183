// Keeps a node's view of the fleet up to date from the shared store.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "base/timer.h"
#include "discovery/configuration_waiters.h"
#include "discovery/era_check.h"
#include "discovery/fleet_codec.h"
#include "discovery/fleet_lister.h"
#include "discovery/known_history.h"
#include "discovery/node_directory.h"
#include "discovery/poll_schedule.h"
#include "discovery/read_confirmation.h"
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
  /// Updates of other nodes that were applied, each replacing a poll.
  std::uint64_t updates_taken = 0;
  std::uint64_t updates_skipped = 0;  ///< Updates that began after the revision this node had seen.
  std::uint64_t snapshots_taken = 0;  ///< Complete views received from another node.
  std::uint64_t deltas_taken = 0;     ///< Changes fetched from another node.
  std::uint64_t updates_outdated = 0;  ///< Updates from a store era that has ended.
  /// Updates whose fingerprint showed that a listing was needed.
  std::uint64_t updates_mismatched = 0;
  /// Polls for which the store no longer kept the history.
  std::uint64_t histories_unavailable = 0;
  std::uint64_t listings_skipped = 0;  ///< Listings older than the view, by revision.
  std::uint64_t eras_begun = 0;        ///< Views that were the first of a later store era.
  /// Polls that found another change than known at the same revision.
  std::uint64_t unannounced_eras = 0;
};

/// Polls the store for changes after the newest one it has seen. It does not hold a watch open,
/// because every heartbeat of a back end would end the watch and each call is billed. An answer
/// without changes does not advance the revision to poll from, so changes that the store delivers
/// late are still found. If the store no longer keeps the changes, it is listed again.
///
/// Nodes share their polls: a node that has polled broadcasts the result and the others postpone
/// their own polls. In a small fleet each node waits for a random time, so mostly one node polls
/// for all. In a large fleet a few readers poll and list, so that the load on the store does not
/// grow with the fleet: when 985 nodes each listed 11,000 keys after the history had been dropped,
/// none finished within the staleness bound. No node depends on another: one that receives no
/// updates asks a reader and, as a last resort, polls the store itself in time.
///
/// A poll also requests the newest known change. If the store holds another change at that
/// revision, it was restored from an older copy and has passed the revision since. If the change is
/// not known or no longer kept, a store that was unreachable meanwhile is listed again. After a
/// failed poll, all changes known from the last seconds are requested and compared, unless the
/// store names its era: a restored store may repeat just the newest change.
///
/// The configuration is small and is read separately when a full listing is large, postponed or
/// skipped. Used on one event loop.
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
  /// Calls back with true once the configuration is known to be current, or with false if that
  /// cannot be determined soon. Calls back with false immediately if the last poll failed or the
  /// running one is slow.
  void refresh_configuration(std::function<void(bool current)> done);
  /// Calls back, possibly before it returns, with whether the view contains everything that the
  /// store held at `as_of`; if necessary, reads the store. Calls back with false after a bounded
  /// wait, and at once while reads fail.
  void confirm_view(MonotonicTime as_of, ReadConfirmation::Done done) {
    confirmation_.await(as_of, std::move(done));
  }
  /// Applies another node's update. `on_covered`, if given, is called once this node's view is at
  /// least as new as the update: immediately, later, or never if the update is outdated or another
  /// update with a callback replaces it.
  void receive_update(const ViewUpdate& update, std::function<void()> on_covered = {});
  /// Sets the callback that asks another node for its view. It is called repeatedly while this node
  /// has no view and the store is slow to provide one.
  void on_view_needed(std::function<void(TransferCallback done)> callback) {
    request_peer_view_callback_ = std::move(callback);
  }
  /// Sets the callback that fetches a view, or the changes to it, from a given node.
  void on_fetch_needed(std::function<void(const ViewRequest&, TransferCallback done)> callback) {
    fetch_view_callback_ = std::move(callback);
  }
  /// Sets the callback that returns this node's part in reading the store. Without it the role is
  /// kSymmetric.
  void on_reading_assignment(std::function<ReadingAssignment()> callback) {
    reading_assignment_callback_ = std::move(callback);
  }
  /// Returns the view for another node that has seen everything up to `after`, or that has no view
  /// (nullopt).
  std::optional<ViewTransfer> make_transfer(std::optional<shared_store::StoreRevision> after) {
    return writer_.make_transfer(after);
  }
  /// Sets the callback for changes of whether this node's own polls reach the store.
  void on_store_state(std::function<void(bool reachable)> callback) {
    store_state_callback_ = std::move(callback);
  }
  /// Sets the callback for keys of the store that are not part of the fleet view, as found by this
  /// node's polls.
  void on_other_key(ViewWriter::OtherKey callback) { writer_.on_other_key(std::move(callback)); }
  /// Sets the callback for a view that is replaced as a whole, by a listing of the store or by
  /// another node's view. It runs before any change.
  void on_view_replaced(std::function<void()> callback) {
    writer_.on_replaced(std::move(callback));
  }
  /// Sets the callback for the case that this node's first view is its own listing of the store.
  /// The callback runs after those of on_other_key() for the listing.
  void on_first_listing(std::function<void()> callback) {
    first_listing_callback_ = std::move(callback);
  }
  /// Sets the callback that broadcasts the result of this node's polls.
  void on_poll(std::function<void(const ViewUpdate&)> callback) {
    broadcast_update_ = std::move(callback);
  }
  /// Sets the callback that broadcasts the position that a poll has reached. The callback runs
  /// after that of on_poll().
  void on_position(std::function<void(const PositionReport&)> callback) {
    broadcast_position_ = std::move(callback);
  }
  /// Handles the position that another node's poll has reached.
  void receive_position(const PositionReport& report);
  /// Sets the callback that broadcasts the span of changes found by a poll. The callback runs after
  /// that of on_position().
  void on_history(std::function<void(const HistoryReport&)> callback) {
    broadcast_history_ = std::move(callback);
  }
  /// Handles the span of changes found by another node's poll.
  void receive_history(const HistoryReport& report) {
    history_.note(report.span, deps_.clock.now());
  }
  /// Sets the callback for the first view of a later store era, in which this node's own writes may
  /// be lost.
  void on_new_era(std::function<void()> callback) { new_era_callback_ = std::move(callback); }
  /// Sets the callback for each successful poll and each applied update.
  void on_view_current(std::function<void()> callback) {
    view_current_callback_ = std::move(callback);
  }
  /// Returns the configuration document as stored; empty if there is none yet.
  const std::string& configuration_in_force() const { return writer_.configuration_in_force(); }
  const FleetWatcherStatistics& statistics() const { return statistics_; }
  std::uint64_t rejected_values() const {
    return writer_.rejected_values() + deps_.store.rejected_items();
  }

 private:
  /// The result of a poll.
  enum class PollResult : std::uint8_t {
    kCurrent,           ///< The view contains what the store held when the poll began.
    kCurrentByPeer,     ///< Another node has answered in place of the store.
    kStale,             ///< The store answers, but the view could not be brought up to date.
    kStoreUnreachable,  ///< No answer, or an error.
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
  /// Applies `changes`, all changes after `after`, which are of the view's era as far as is known.
  void apply_verified_changes(shared_store::StoreRevision after,
                              const shared_store::Changes& changes);
  void take_changes(shared_store::StoreRevision after, const shared_store::Changes& changes);
  void request_following_changes(shared_store::StoreRevision after);
  void record_history(shared_store::StoreRevision after, const shared_store::Changes& changes);
  void begin_era();
  void forget_position();
  /// Whether it is unknown if the store that answers is still in the view's era.
  bool may_be_another_era() const { return era_check_.is_pending() && !deps_.store.names_era(); }
  void handle_unavailable_history();
  void read_configuration_later();
  void read_configuration();
  /// `as_of`: the time at which the store had the state of the view, if the poll succeeded.
  void finish_poll(PollResult result, MonotonicTime as_of, std::string_view detail);
  void schedule_after_poll(PollResult result, MonotonicTime as_of, std::string_view detail);
  /// Polls now unless a poll is running. Returns whether it began one.
  bool poll_now();
  void note_store_state(bool reachable, std::string_view detail);
  /// Handles a view found to be wrong; `holder` has a different one.
  void invalidate_view(const Endpoint& holder);
  void schedule_peer_request();
  void request_peer_view();
  /// Applies a view requested from another node at `requested_at`. Returns false if it was skipped
  /// (UpdateOutcome::kSkipped).
  bool apply_transfer(const ViewTransfer& transfer, MonotonicTime requested_at);
  ReadingAssignment reading_assignment() const {
    return reading_assignment_callback_ ? reading_assignment_callback_() : ReadingAssignment{};
  }
  /// Records the era of the view; reports a new one.
  void note_era();
  /// Broadcasts the result of this node's poll unless another node has just done so.
  void broadcast_poll();
  void broadcast_position();
  /// Calls `on_covered` of the pending update if the view covers it.
  void notify_covered();
  /// Records that the view matches the store as of `at`.
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
  Timer configuration_timer_;  ///< Delays the separate read of the configuration by followers.
  /// When the last update of another node was received.
  std::optional<MonotonicTime> update_received_at_;
  /// An update that the view does not cover yet.
  struct PendingUpdate {
    shared_store::StoreRevision through;
    std::function<void()> on_covered;
  };
  std::optional<PendingUpdate> pending_update_;
  /// When the configuration was last known to be current.
  std::optional<MonotonicTime> configuration_current_at_;
  std::uint32_t failed_in_row_ = 0;  ///< Consecutive failed polls.
  MonotonicTime poll_started_at_{};
  bool polling_ = false;
  bool poll_is_slow_ = false;      ///< A request has timed out waiting for the running poll.
  bool listing_required_ = false;  ///< The view is wrong; the next poll lists the store.
  EraCheck era_check_;
  KnownHistory history_;
  /// Found by the last poll and not broadcast yet.
  std::optional<shared_store::HistorySpan> polled_span_;
  std::size_t continued_answers_ = 0;  ///< Of the current poll, behind the first one.
  std::optional<shared_store::StorePosition> last_position_;  ///< The last one sent or received.
  bool requesting_peer_view_ = false;
  /// The poll for the waiting requests was repeated because it took too long.
  bool polled_again_ = false;
  /// First page of a large fleet's listing, kept while other nodes are asked for their view.
  std::optional<shared_store::ListPage> first_page_;
  std::optional<bool> store_reachable_;  ///< Result of the last poll; nullopt before the first.
  std::optional<shared_store::StoreEra> era_;  ///< Era of the view; nullopt before the first view.
  ConfigurationWaiters configuration_waiters_;
  ReadConfirmation confirmation_;
  std::function<void()> view_current_callback_;
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
