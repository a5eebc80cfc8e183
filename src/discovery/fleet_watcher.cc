#include "discovery/fleet_watcher.h"

#include <algorithm>
#include <utility>

namespace ochrespring::discovery {

namespace {

constexpr std::string_view kComponent = "discovery";
/// Every key of the store: one call tells of configuration, back ends and nodes.
const std::string kEverything;

/// A listing is cut into ranges of about so many back ends, so that a small one stays one range...
constexpr std::size_t kBackendsPerRange = 1'000;
/// ...and into no more than this: of 20,000 back ends 13 pages of 200 come one after the other
/// then, and a reader's connections to the store stay few.
constexpr std::size_t kMaxRanges = 8;
/// Looks in a row that a follower leaves to the readers before it lists the store itself: by then
/// two seconds have passed, and the readers have either told or died.
constexpr std::uint32_t kPollsLeftToReaders = 4;

}  // namespace

FleetWatcher::FleetWatcher(Dependencies deps, FleetWatcherSettings settings,
                           gateway::FleetState& fleet, NodeDirectory& nodes)
    : deps_(deps),
      settings_(settings),
      fleet_(fleet),
      nodes_(nodes),
      writer_(deps.clock, deps.codec, deps.logger, fleet, nodes),
      lister_(deps.store, deps.timers),
      fetcher_(deps.clock, deps.timers, deps.random, settings,
               {.fetch =
                    [this](const ViewRequest& request, TransferCallback done) {
                      fetch_view_callback_(request, std::move(done));
                    },
                .seen_revision = [this] { return writer_.seen_revision(); },
                .apply =
                    [this](const ViewTransfer& transfer, MonotonicTime requested_at) {
                      return apply_transfer(transfer, requested_at);
                    }}),
      timer_(deps.timers),
      peer_timer_(deps.timers),
      configuration_timer_(deps.timers),
      refresh_waiters_(deps.clock, deps.timers, settings_.refresh_timeout,
                       [this] { poll_is_slow_ = polling_; }) {}

void FleetWatcher::start() {
  poll();
  schedule_peer_request();
}

void FleetWatcher::refresh(std::function<void(bool current)> done) {
  const MonotonicTime now = deps_.clock.now();
  if (configuration_current_at_ && now - *configuration_current_at_ < settings_.max_refresh_age) {
    done(true);
    return;
  }
  const bool failing = !polling_ && failed_in_row_ != 0;
  if (failing || poll_is_slow_) {
    // The next try is due soon, or under way; one for each request that asks would be a storm.
    done(false);
    return;
  }
  refresh_waiters_.add(std::move(done));
  if (!polling_) {
    timer_.disarm();
    poll();
  }
}

void FleetWatcher::poll() {
  polling_ = true;
  poll_started_at_ = deps_.clock.now();
  ++statistics_.polls;
  if (!writer_.seen_revision()) {
    poll_without_view();
    return;
  }
  if (listing_required_) {
    list_all();
    return;
  }
  const ReadingAssignment assignment = reading_assignment();
  if (assignment.readers.empty() || !fetch_view_callback_) {
    poll_changes();
  } else {
    poll_reader(assignment.readers[deps_.random.below(assignment.readers.size())]);
  }
}

/// A page holds all that a small fleet has. In a large one it names nodes to ask for the rest.
void FleetWatcher::poll_without_view() {
  ++statistics_.listings;
  deps_.store.list_page({.prefix = kEverything, .after = {}}, [this](auto page) {
    if (!page) {
      finish_poll(PollResult::kStoreUnreachable, poll_started_at_, page.error().message);
    } else if (!page.value().more) {
      handle_listing(shared_store::Listing{std::move(page.value().items), page.value().revision});
    } else if (writer_.seen_revision()) {
      // Another node's view has come meanwhile.
      poll_changes();
    } else {
      find_peers(std::move(page.value()));
    }
  });
}

void FleetWatcher::find_peers(shared_store::ListPage first) {
  writer_.add_nodes(first.items);
  first_page_ = std::move(first);
  if (!nodes_.others().empty() || settings_.lists_immediately) {
    delay_listing();
    return;
  }
  const std::string& prefix = deps_.codec.layout().node_prefix;
  deps_.store.list_page({.prefix = prefix, .after = {}}, [this](auto page) {
    if (!first_page_) {
      // Another node's view has come meanwhile.
      return;
    }
    if (page) {
      writer_.add_nodes(page.value().items);
    }
    delay_listing();
  });
}

void FleetWatcher::delay_listing() {
  const Duration wait = listing_delay(settings_, nodes_.count(), deps_.random.unit());
  timer_.arm(wait, [this] { list_remaining(); });
  request_peer_view();
}

void FleetWatcher::list_remaining() {
  shared_store::ListPage first = std::move(*first_page_);
  first_page_.reset();
  lister_.resume(std::move(first),
                 [this](const ListingResult& listing) { handle_listing(listing); });
}

void FleetWatcher::list_all() {
  ++statistics_.listings;
  const std::size_t ranges =
      std::clamp<std::size_t>(fleet_.backends().size() / kBackendsPerRange, 1, kMaxRanges);
  lister_.start(writer_.split_points(ranges),
                [this](const ListingResult& listing) { handle_listing(listing); });
}

void FleetWatcher::handle_listing(const ListingResult& listing) {
  if (!listing) {
    finish_poll(PollResult::kStoreUnreachable, poll_started_at_, listing.error().message);
    return;
  }
  const bool first = !writer_.seen_revision();
  if (!writer_.apply_listing(listing.value())) {
    skip_listing(listing.value().revision);
    return;
  }
  listing_required_ = false;
  note_era();
  if (!first) {
    broadcast_poll();
  } else if (first_listing_callback_) {
    first_listing_callback_();
  }
  finish_poll(PollResult::kCurrent, poll_started_at_, "listed");
}

/// A listing that was not taken says nothing of the view: the poll has failed, though the store
/// answers, and the configuration has no time to wait for the next one.
void FleetWatcher::skip_listing(shared_store::StoreRevision listed) {
  ++statistics_.listings_skipped;
  deps_.logger.write({logging::Level::kWarning,
                      kComponent,
                      "listing older than the view",
                      {{"era", listed.era().value()},
                       {"listed", listed.value()},
                       {"seen_era", writer_.seen_revision()->era().value()},
                       {"seen", writer_.seen_revision()->value()}}});
  read_configuration();
  finish_poll(PollResult::kStale, poll_started_at_, "");
}

/// What a reader tells is enough unless the reader has not heard of the store for long itself.
void FleetWatcher::poll_reader(const Endpoint& reader) {
  fetcher_.fetch_now(reader, [this](const std::optional<ViewTransfer>& transfer) {
    if (!transfer || !apply_transfer(*transfer, poll_started_at_)) {
      poll_changes();
      return;
    }
    const Duration age = age_of(*transfer);
    if (age < settings_.follower_period) {
      finish_poll(PollResult::kCurrent, poll_started_at_ - age, "told by a reader");
    } else {
      poll_changes();
    }
  });
}

void FleetWatcher::poll_changes() {
  request_changes(
      era_check_.position_to_verify(writer_.position(), writer_.seen_revision()->era()));
}

void FleetWatcher::request_changes(const std::optional<shared_store::StorePosition>& known) {
  const shared_store::StoreRevision after = known ? known->before() : *writer_.seen_revision();
  deps_.store.changes(kEverything, after, Duration::zero(), [this, known, after](auto result) {
    if (result) {
      handle_changes(known, after, result.value());
    } else if (result.error().code != shared_store::StoreErrc::kHistoryUnavailable) {
      finish_poll(PollResult::kStoreUnreachable, poll_started_at_, result.error().message);
    } else if (known && !may_be_another_era()) {
      // Nothing has changed for longer than history is kept, or it was dropped early.
      forget_position();
      request_changes(std::nullopt);
    } else {
      handle_unavailable_history();
    }
  });
}

void FleetWatcher::forget_position() {
  era_check_.forget_position();
  writer_.forget_position();
}

void FleetWatcher::handle_changes(const std::optional<shared_store::StorePosition>& known,
                                  shared_store::StoreRevision after,
                                  const shared_store::Changes& changes) {
  const bool unsure = may_be_another_era();
  const shared_store::PositionCheck newest = era_check_.check(known, changes.changes);
  history_.trim(deps_.clock.now(), *writer_.seen_revision());
  if (newest == shared_store::PositionCheck::kDifferent ||
      history_.contradicts(after, changes.changes)) {
    begin_era();
    return;
  }
  const auto begin = history_.begin();
  if (unsure && newest == shared_store::PositionCheck::kSame && begin && *begin < after) {
    verify_history(*begin);
    return;
  }
  apply_verified_changes(after, changes);
}

/// A store that has counted on may hold just the newest change again behind others than before.
void FleetWatcher::verify_history(shared_store::StoreRevision begin) {
  deps_.store.changes(kEverything, begin, Duration::zero(), [this, begin](auto result) {
    if (result) {
      if (history_.contradicts(begin, result.value().changes)) {
        begin_era();
      } else {
        apply_verified_changes(begin, result.value());
      }
    } else if (result.error().code == shared_store::StoreErrc::kHistoryUnavailable) {
      list_all();
    } else {
      finish_poll(PollResult::kStoreUnreachable, poll_started_at_, result.error().message);
    }
  });
}

void FleetWatcher::apply_verified_changes(shared_store::StoreRevision after,
                                          const shared_store::Changes& changes) {
  if (listing_required_ || may_be_another_era()) {
    // The view lacks something, or nothing tells whether it does.
    list_all();
    return;
  }
  record_history(after, changes);
  writer_.apply_changes(changes);
  broadcast_poll();
  finish_poll(PollResult::kCurrent, poll_started_at_, "");
}

/// An answer without new changes covers nothing that an earlier span does not, and a store that
/// names its era is known by that.
void FleetWatcher::record_history(shared_store::StoreRevision after,
                                  const shared_store::Changes& changes) {
  polled_span_ = shared_store::make_span(after, changes.changes);
  if (polled_span_ && polled_span_->through > *writer_.seen_revision() &&
      !deps_.store.names_era()) {
    history_.note(*polled_span_, deps_.clock.now());
  } else {
    polled_span_.reset();
  }
}

/// The store has come back from an older copy and counted past what was known, without saying so.
void FleetWatcher::begin_era() {
  const shared_store::StoreRevision seen = *writer_.seen_revision();
  ++statistics_.unannounced_eras;
  deps_.logger.write({logging::Level::kWarning,
                      kComponent,
                      "store holds another change than was known",
                      {{"era", seen.era().value()}, {"revision", seen.value()}}});
  deps_.store.begin_era_after(seen.era());
  list_all();
}

/// The store has forgotten what came after the view: only a listing tells what is there now. The
/// readers of a large fleet list it for all; the configuration has no time to wait for that.
void FleetWatcher::handle_unavailable_history() {
  ++statistics_.histories_unavailable;
  deps_.logger.write({logging::Level::kWarning,
                      kComponent,
                      "store has forgotten its history",
                      {{"seen", writer_.seen_revision()->value()}}});
  const bool follows = reading_assignment().role == ReadingRole::kFollower;
  if (follows) {
    read_configuration_later();
  } else if (fleet_.backends().size() >= kBackendsPerRange) {
    read_configuration();
  }
  if (follows && failed_in_row_ < kPollsLeftToReaders) {
    finish_poll(PollResult::kStale, poll_started_at_, "");
  } else {
    list_all();
  }
}

/// After a restore many followers poll before a reader has told them of it, and need nothing more
/// once it has.
void FleetWatcher::read_configuration_later() {
  if (!configuration_timer_.armed()) {
    configuration_timer_.arm(settings_.fetch_spread + deps_.random.part_of(settings_.relist_spread),
                             [this] { read_configuration(); });
  }
}

void FleetWatcher::read_configuration() {
  deps_.store.get(deps_.codec.layout().configuration_key,
                  [this, requested_at = deps_.clock.now()](auto item) {
                    if (!item) {
                      deps_.logger.write({logging::Level::kWarning,
                                          kComponent,
                                          "configuration not read",
                                          {{"reason", item.error().message}}});
                      return;
                    }
                    writer_.apply_configuration_entry(item.value());
                    note_configuration_current(requested_at);
                  });
}

/// Many nodes may poll at once when they could not take another's news; told by all of them it
/// would fill the links.
void FleetWatcher::broadcast_poll() {
  const Duration pace = reading_assignment().role == ReadingRole::kReader ? settings_.reader_period
                                                                          : settings_.period;
  const bool heard = update_received_at_ && deps_.clock.now() - *update_received_at_ < pace / 2;
  if (!broadcast_update_ || heard) {
    return;
  }
  for (const ViewUpdate& update : writer_.make_updates(deps_.clock.now() - poll_started_at_)) {
    broadcast_update_(update);
  }
  broadcast_position();
}

/// Once for each place: one that is lost costs a listing at worst.
void FleetWatcher::broadcast_position() {
  const auto known = writer_.position();
  if (broadcast_position_ && known && known != last_position_) {
    last_position_ = known;
    broadcast_position_({*known});
  }
  if (broadcast_history_ && polled_span_) {
    broadcast_history_({*std::exchange(polled_span_, std::nullopt)});
  }
}

/// Where two nodes know different changes at one place one of them has seen another life of the
/// store: a poll finds out which.
void FleetWatcher::receive_position(const PositionReport& report) {
  last_position_ = report.position;
  if (writer_.record_position(report.position)) {
    return;
  }
  era_check_.note_conflict(deps_.clock.now(), writer_.position());
  if (!polling_) {
    timer_.arm(deps_.random.part_of(settings_.relist_spread), [this] { poll(); });
  }
}

void FleetWatcher::receive_update(const ViewUpdate& update, std::function<void()> on_covered) {
  const UpdateOutcome outcome = writer_.apply_update(update);
  if (outcome == UpdateOutcome::kOutdated) {
    ++statistics_.updates_outdated;
    return;
  }
  update_received_at_ = deps_.clock.now();
  deps_.store.observe_revision(update.through);
  if (on_covered) {
    pending_update_ = PendingUpdate{update.through, std::move(on_covered)};
  }
  switch (outcome) {
    case UpdateOutcome::kOutdated:
    case UpdateOutcome::kSkipped:
      ++statistics_.updates_skipped;
      if (fetch_view_callback_) {
        fetcher_.request(update.view_address);
      }
      return;
    case UpdateOutcome::kMismatch:
      ++statistics_.updates_mismatched;
      invalidate_view(update.view_address);
      return;
    case UpdateOutcome::kApplied:
      ++statistics_.updates_taken;
      if (update.is_last()) {
        note_current(deps_.clock.now() - update.age);
      } else {
        // More changes are on their way: as of now the view is no newer than before.
        notify_covered();
      }
      return;
  }
}

/// A follower takes the other's view for the right one: all of a large fleet may differ at once,
/// and the readers, who list, find out whose it is.
void FleetWatcher::invalidate_view(const Endpoint& holder) {
  deps_.logger.write({logging::Level::kWarning, kComponent, "view differs from a peer's", {}});
  writer_.invalidate();
  const bool follows = reading_assignment().role == ReadingRole::kFollower;
  if (follows && fetch_view_callback_) {
    fetcher_.request_snapshot(holder);
  }
  listing_required_ = true;
  if (!polling_) {
    timer_.arm(follows ? settings_.period / 2 + deps_.random.part_of(settings_.period)
                       : deps_.random.part_of(settings_.relist_spread),
               [this] { poll(); });
  }
}

void FleetWatcher::finish_poll(PollResult result, MonotonicTime as_of, std::string_view detail) {
  polling_ = false;
  poll_is_slow_ = false;
  note_store_state(result != PollResult::kStoreUnreachable, detail);
  const MonotonicTime now = deps_.clock.now();
  const bool success = result == PollResult::kCurrent;
  if (result == PollResult::kStoreUnreachable && writer_.seen_revision()) {
    era_check_.note_failed(now, writer_.position());
  }
  if (success) {
    failed_in_row_ = 0;
    note_current(as_of);
  } else {
    ++statistics_.failed_polls;
    ++failed_in_row_;
    timer_.arm(failed_poll_delay(settings_, failed_in_row_, nodes_.count(), deps_.random.unit()),
               [this] { poll(); });
  }
  // A poll that began long ago says nothing of now: the node was held up meanwhile, and is quicker
  // the second time, or the store is slow.
  const bool too_old = now - as_of >= settings_.max_refresh_age;
  if (success && too_old && !refresh_waiters_.empty() && !std::exchange(polled_again_, true)) {
    timer_.disarm();
    poll();
    return;
  }
  polled_again_ = false;
  if (result == PollResult::kStale) {
    // The configuration is being read alone, and that answers them.
    return;
  }
  refresh_waiters_.complete(success && !too_old);
}

void FleetWatcher::note_store_state(bool reachable, std::string_view detail) {
  if (std::exchange(store_reachable_, reachable) == reachable) {
    return;
  }
  deps_.logger.write({logging::Level::kWarning,
                      kComponent,
                      reachable ? "store regained" : "store lost",
                      {{"detail", std::string(detail)}}});
  if (store_state_callback_) {
    store_state_callback_(reachable);
  }
}

/// A transfer's age counts from when it was requested_at for: the answer may have waited.
bool FleetWatcher::apply_transfer(const ViewTransfer& transfer, MonotonicTime requested_at) {
  const UpdateOutcome outcome = writer_.apply_transfer(transfer);
  if (outcome == UpdateOutcome::kSkipped) {
    return false;
  }
  if (outcome == UpdateOutcome::kMismatch) {
    ++statistics_.updates_mismatched;
    invalidate_view({});
    return true;
  }
  note_era();
  const Duration age = age_of(transfer);
  if (const auto* snapshot = std::get_if<ViewSnapshot>(&transfer)) {
    ++statistics_.snapshots_taken;
    listing_required_ = false;
    deps_.logger.write({logging::Level::kInfo,
                        kComponent,
                        "view taken from a peer",
                        {{"revision", snapshot->through.value()},
                         {"age_milliseconds",
                          std::chrono::duration_cast<std::chrono::milliseconds>(age).count()}}});
  } else {
    ++statistics_.deltas_taken;
  }
  if (first_page_ || (lister_.running() && !listing_required_)) {
    // What this node was about to list, or is listing, is known to others.
    first_page_.reset();
    lister_.stop();
    timer_.disarm();
    finish_poll(PollResult::kCurrent, requested_at - age, "told by a peer");
    return true;
  }
  note_current(requested_at - age);
  return true;
}

void FleetWatcher::schedule_peer_request() {
  peer_timer_.arm(settings_.peer_request_delay, [this] { request_peer_view(); });
}

void FleetWatcher::request_peer_view() {
  if (writer_.seen_revision() || !request_peer_view_callback_ ||
      std::exchange(requesting_peer_view_, true)) {
    return;
  }
  request_peer_view_callback_(
      [this, requested_at = deps_.clock.now()](const std::optional<ViewTransfer>& transfer) {
        requesting_peer_view_ = false;
        if (!transfer || !apply_transfer(*transfer, requested_at)) {
          schedule_peer_request();
        }
      });
}

void FleetWatcher::note_era() {
  const shared_store::StoreEra era = writer_.seen_revision()->era();
  deps_.store.observe_revision(*writer_.seen_revision());
  const bool rose = era_ && era > *era_;
  era_ = era;
  if (!rose) {
    return;
  }
  ++statistics_.eras_begun;
  deps_.logger.write({logging::Level::kWarning,
                      kComponent,
                      "view is of a new era of the store",
                      {{"era", era.value()}, {"revision", writer_.seen_revision()->value()}}});
  if (new_era_callback_) {
    new_era_callback_();
  }
}

void FleetWatcher::note_current(MonotonicTime at) {
  era_check_.note_current(at);
  const auto known = fleet_.current_at();
  if (!known || at > *known) {
    fleet_.note_current(at);
  }
  const bool listing_due = listing_required_ && timer_.armed();
  if (!polling_ && !listing_due) {
    const Duration waited =
        poll_delay(settings_, reading_assignment(), nodes_.count(), deps_.random.unit());
    const MonotonicTime due = *fleet_.current_at() + waited;
    timer_.arm(std::max(due - deps_.clock.now(), Duration::zero()), [this] { poll(); });
  }
  notify_covered();
  note_configuration_current(at);
  if (current_callback_) {
    current_callback_();
  }
}

/// A configuration that is known to be the newest answers those who ask for no more.
void FleetWatcher::note_configuration_current(MonotonicTime at) {
  if (configuration_current_at_ && at <= *configuration_current_at_) {
    return;
  }
  configuration_current_at_ = at;
  configuration_timer_.disarm();
  if (!refresh_waiters_.empty() && deps_.clock.now() - at < settings_.max_refresh_age) {
    refresh_waiters_.complete(true);
  }
}

void FleetWatcher::notify_covered() {
  if (pending_update_ && writer_.seen_revision() &&
      *writer_.seen_revision() >= pending_update_->through) {
    std::exchange(pending_update_, std::nullopt)->on_covered();
  }
}

}  // namespace ochrespring::discovery
