#include "discovery/fleet_watcher.h"

#include <algorithm>
#include <utility>

namespace ochrespring::discovery {

namespace {

constexpr std::string_view kComponent = "discovery";
/// Matches every key of the store, so that one call returns configuration, back ends and nodes.
const std::string kEverything;

/// What is older is not current at all.
constexpr Duration kMaxPeerAge = std::chrono::hours(1);

/// A listing is split into ranges of about this many back ends; a small one stays a single range.
constexpr std::size_t kBackendsPerRange = 1'000;
/// Answers behind the first one in which a poll reads changes. What is further behind is listed.
constexpr std::size_t kMaxContinuedAnswers = 16;
/// Limits the connections of a reader to the store. With 20,000 back ends, a range has 13
/// sequential pages of 200 keys.
constexpr std::size_t kMaxRanges = 8;
/// Number of consecutive failed polls after which a follower that finds no history lists the store
/// itself. Two seconds have passed by then, in which the readers have either announced their
/// listing or terminated.
constexpr std::uint32_t kMaxFollowerPollsBeforeListing = 4;

/// The time at which something was current that had `age` at `now`. A peer's age may be any number:
/// with a negative one, the next poll would be due in the far future.
MonotonicTime time_of(MonotonicTime now, Duration age) {
  return now - std::clamp(age, Duration::zero(), kMaxPeerAge);
}

/// Whether changes that could not be read will not be readable later either.
bool requires_listing(shared_store::StoreErrc code) {
  return code == shared_store::StoreErrc::kHistoryUnavailable ||
         code == shared_store::StoreErrc::kTooLarge;
}

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
      configuration_waiters_(deps.clock, deps.timers, settings_.refresh_timeout,
                             [this] { poll_is_slow_ = polling_; }),
      confirmation_(deps.clock, deps.timers, settings_.refresh_timeout,
                    {.read = [this] { return poll_now(); },
                     .node_count = [this] { return nodes_.count(); }}) {}

void FleetWatcher::start() {
  poll();
  schedule_peer_request();
}

void FleetWatcher::refresh_configuration(std::function<void(bool current)> done) {
  const MonotonicTime now = deps_.clock.now();
  if (configuration_current_at_ && now - *configuration_current_at_ < settings_.max_refresh_age) {
    done(true);
    return;
  }
  const bool failing = !polling_ && failed_in_row_ != 0;
  if (failing || poll_is_slow_) {
    // The next attempt is due soon or already running. One attempt per request would overload the
    // store.
    done(false);
    return;
  }
  configuration_waiters_.add(std::move(done));
  poll_now();
}

bool FleetWatcher::poll_now() {
  if (polling_) {
    return false;
  }
  timer_.disarm();
  poll();
  return true;
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
  if (assignment.readers.empty() || !fetch_view_callback_ || confirmation_.has_waiters()) {
    poll_changes();
  } else {
    poll_reader(assignment.readers[deps_.random.below(assignment.readers.size())]);
  }
}

/// A single page holds the whole of a small fleet. In a large fleet it names nodes that can be
/// asked for the rest.
void FleetWatcher::poll_without_view() {
  ++statistics_.listings;
  deps_.store.list_page({.prefix = kEverything, .after = {}}, [this](auto page) {
    if (!page) {
      finish_poll(PollResult::kStoreUnreachable, poll_started_at_, page.error().message);
    } else if (!page.value().more) {
      handle_listing(shared_store::Listing{std::move(page.value().items), page.value().revision});
    } else if (writer_.seen_revision()) {
      // Another node's view has been received meanwhile.
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
      // Another node's view has been received meanwhile.
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
  lister_.start(writer_.range_boundaries(ranges),
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

/// A skipped listing does not bring the view up to date: the poll counts as failed although the
/// store answers. The configuration is read separately, because it cannot wait for the next
/// listing.
void FleetWatcher::skip_listing(shared_store::StoreRevision listed) {
  ++statistics_.listings_skipped;
  deps_.logger.write({logging::Level::kWarning,
                      kComponent,
                      "skipped a listing that is older than the view",
                      {{"era", listed.era().value()},
                       {"listed", listed.value()},
                       {"seen_era", writer_.seen_revision()->era().value()},
                       {"seen", writer_.seen_revision()->value()}}});
  read_configuration();
  finish_poll(PollResult::kStale, poll_started_at_, "");
}

/// The reader's view is sufficient unless the reader itself has not been in contact with the store
/// for too long.
void FleetWatcher::poll_reader(const Endpoint& reader) {
  fetcher_.fetch_now(reader, [this](const std::optional<ViewTransfer>& transfer) {
    if (!transfer || !apply_transfer(*transfer, poll_started_at_)) {
      poll_changes();
      return;
    }
    const Duration age = age_of(*transfer);
    if (age < settings_.follower_period) {
      finish_poll(PollResult::kCurrentByPeer, poll_started_at_ - age, "answered by a reader");
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
    } else if (!requires_listing(result.error().code)) {
      finish_poll(PollResult::kStoreUnreachable, poll_started_at_, result.error().message);
    } else if (result.error().code == shared_store::StoreErrc::kHistoryUnavailable && known &&
               !may_be_another_era()) {
      // Nothing has changed for longer than history is kept, or history was dropped early.
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
  const bool era_uncertain = may_be_another_era();
  const shared_store::PositionCheck newest = era_check_.check(known, changes.changes);
  history_.trim(deps_.clock.now(), *writer_.seen_revision());
  // The rest of a divided answer is not known yet, so changes that it lacks prove nothing.
  const bool contradicts = !changes.may_continue && history_.contradicts(after, changes.changes);
  if (newest == shared_store::PositionCheck::kDifferent || contradicts) {
    begin_era();
    return;
  }
  const auto begin = history_.first_needed_revision();
  if (era_uncertain && newest == shared_store::PositionCheck::kSame && begin && *begin < after) {
    verify_history(*begin);
    return;
  }
  apply_verified_changes(after, changes);
}

/// A restored store that has passed the known revision may hold the same newest change while
/// earlier changes differ.
void FleetWatcher::verify_history(shared_store::StoreRevision begin) {
  deps_.store.changes(kEverything, begin, Duration::zero(), [this, begin](auto result) {
    if (result ? result.value().may_continue : requires_listing(result.error().code)) {
      list_all();
    } else if (!result) {
      finish_poll(PollResult::kStoreUnreachable, poll_started_at_, result.error().message);
    } else if (history_.contradicts(begin, result.value().changes)) {
      begin_era();
    } else {
      apply_verified_changes(begin, result.value());
    }
  });
}

void FleetWatcher::apply_verified_changes(shared_store::StoreRevision after,
                                          const shared_store::Changes& changes) {
  if (listing_required_ || may_be_another_era()) {
    // The view is known to be wrong, or nothing shows whether the store has begun a new era.
    list_all();
    return;
  }
  continued_answers_ = 0;
  take_changes(after, changes);
}

/// The view is current only once an answer is known to reach the present.
void FleetWatcher::take_changes(shared_store::StoreRevision after,
                                const shared_store::Changes& changes) {
  record_history(after, changes);
  writer_.apply_changes(changes);
  if (changes.may_continue && !changes.changes.empty()) {
    request_following_changes(changes.changes.back().revision);
    return;
  }
  broadcast_poll();
  finish_poll(PollResult::kCurrent, poll_started_at_, "");
}

void FleetWatcher::request_following_changes(shared_store::StoreRevision after) {
  if (++continued_answers_ > kMaxContinuedAnswers) {
    list_all();
    return;
  }
  deps_.store.changes(kEverything, after, Duration::zero(), [this, after](auto result) {
    if (result) {
      take_changes(after, result.value());
    } else if (requires_listing(result.error().code)) {
      handle_unavailable_history();
    } else {
      finish_poll(PollResult::kStoreUnreachable, poll_started_at_, result.error().message);
    }
  });
}

/// An answer without new changes covers nothing beyond an earlier span. A store that names its era
/// needs no spans.
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

/// The store was restored from an older copy and has passed the known revision without announcing a
/// new era.
void FleetWatcher::begin_era() {
  const shared_store::StoreRevision seen = *writer_.seen_revision();
  ++statistics_.unannounced_eras;
  deps_.logger.write({logging::Level::kWarning,
                      kComponent,
                      "store was restored from an older copy without announcing a new era",
                      {{"era", seen.era().value()}, {"revision", seen.value()}}});
  deps_.store.begin_era_after(seen.era());
  list_all();
}

/// The changes after the view are no longer kept, so only a listing shows the current state. In a
/// large fleet the readers list for all nodes; the configuration is read separately, because it
/// cannot wait for that.
void FleetWatcher::handle_unavailable_history() {
  ++statistics_.histories_unavailable;
  deps_.logger.write({logging::Level::kWarning,
                      kComponent,
                      "store no longer keeps the requested history",
                      {{"seen", writer_.seen_revision()->value()}}});
  const bool follows = reading_assignment().role == ReadingRole::kFollower;
  if (follows) {
    read_configuration_later();
  } else if (fleet_.backends().size() >= kBackendsPerRange) {
    read_configuration();
  }
  if (follows && failed_in_row_ < kMaxFollowerPollsBeforeListing) {
    finish_poll(PollResult::kStale, poll_started_at_, "");
  } else {
    list_all();
  }
}

/// After a restore, many followers poll before a reader's announcement reaches them and do not need
/// the configuration any more once it has.
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
                                          "failed to read the configuration",
                                          {{"reason", item.error().message}}});
                      return;
                    }
                    writer_.apply_configuration_entry(item.value());
                    note_configuration_current(requested_at);
                  });
}

/// Many nodes may poll at once if none of them could apply another's update. If all of them
/// broadcast their results, they would saturate the links.
void FleetWatcher::broadcast_poll() {
  const Duration period = reading_assignment().role == ReadingRole::kReader
                              ? settings_.reader_period
                              : settings_.symmetric_period;
  const bool recently_updated =
      update_received_at_ && deps_.clock.now() - *update_received_at_ < period / 2;
  if (!broadcast_update_ || recently_updated) {
    return;
  }
  for (const ViewUpdate& update : writer_.make_updates(deps_.clock.now() - poll_started_at_)) {
    broadcast_update_(update);
  }
  broadcast_position();
}

/// Each position is sent once; losing it costs a listing at most.
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

/// If two nodes know different changes at one position, one of them has seen another era of the
/// store. A poll determines which.
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
        note_current(time_of(deps_.clock.now(), update.age));
      } else {
        // More changes follow, so the view is not known to be current yet.
        notify_covered();
      }
      return;
  }
}

/// A follower adopts the other node's view: in a large fleet all nodes may differ at once, and the
/// readers find out by a listing which view is right.
void FleetWatcher::invalidate_view(const Endpoint& holder) {
  deps_.logger.write(
      {logging::Level::kWarning, kComponent, "view differs from that of a peer", {}});
  writer_.invalidate();
  const bool follows = reading_assignment().role == ReadingRole::kFollower;
  if (follows && fetch_view_callback_) {
    fetcher_.request_snapshot(holder);
  }
  listing_required_ = true;
  if (!polling_) {
    timer_.arm(
        follows ? settings_.symmetric_period / 2 + deps_.random.part_of(settings_.symmetric_period)
                : deps_.random.part_of(settings_.relist_spread),
        [this] { poll(); });
  }
}

void FleetWatcher::finish_poll(PollResult result, MonotonicTime as_of, std::string_view detail) {
  if (result == PollResult::kCurrent) {
    fleet_.note_confirmed(as_of);
  }
  schedule_after_poll(result, as_of, detail);
  switch (result) {
    case PollResult::kCurrentByPeer:
      confirmation_.note_unconfirmed();
      return;
    case PollResult::kStale:
      confirmation_.note_stale();
      return;
    case PollResult::kCurrent:
    case PollResult::kStoreUnreachable:
      confirmation_.note_read(as_of, result == PollResult::kCurrent);
      return;
  }
}

void FleetWatcher::schedule_after_poll(PollResult result, MonotonicTime as_of,
                                       std::string_view detail) {
  polling_ = false;
  poll_is_slow_ = false;
  note_store_state(result != PollResult::kStoreUnreachable, detail);
  const MonotonicTime now = deps_.clock.now();
  const bool success = result == PollResult::kCurrent || result == PollResult::kCurrentByPeer;
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
  // A poll that started long ago says nothing about the present. Either this node was suspended
  // meanwhile and a second poll is quicker, or the store is slow.
  const bool too_old = now - as_of >= settings_.max_refresh_age;
  if (success && too_old && !configuration_waiters_.empty() &&
      !std::exchange(polled_again_, true)) {
    timer_.disarm();
    poll();
    return;
  }
  polled_again_ = false;
  if (result == PollResult::kStale) {
    // A separate read of the configuration is running or scheduled. It completes the waiting
    // requests if it succeeds; otherwise they time out.
    return;
  }
  configuration_waiters_.complete(success && !too_old);
}

void FleetWatcher::note_store_state(bool reachable, std::string_view detail) {
  if (std::exchange(store_reachable_, reachable) == reachable) {
    return;
  }
  deps_.logger.write({logging::Level::kWarning,
                      kComponent,
                      reachable ? "store reachable again" : "store unreachable",
                      {{"detail", std::string(detail)}}});
  if (store_state_callback_) {
    store_state_callback_(reachable);
  }
}

/// The age of a transfer counts from its request, because the answer may have been delayed.
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
                        "view received from a peer",
                        {{"revision", snapshot->through.value()},
                         {"age_milliseconds",
                          std::chrono::duration_cast<std::chrono::milliseconds>(age).count()}}});
  } else {
    ++statistics_.deltas_taken;
  }
  if (first_page_ || (lister_.running() && !listing_required_)) {
    // Other nodes already have what this node was about to list or is listing.
    first_page_.reset();
    lister_.stop();
    timer_.disarm();
    finish_poll(PollResult::kCurrentByPeer, time_of(requested_at, age),
                "view received from a peer");
    return true;
  }
  note_current(time_of(requested_at, age));
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
                      "view belongs to a new store era",
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
    const Duration delay =
        poll_delay(settings_, reading_assignment(), nodes_.count(), deps_.random.unit());
    const MonotonicTime due = *fleet_.current_at() + delay;
    timer_.arm(std::max(due - deps_.clock.now(), Duration::zero()), [this] { poll(); });
  }
  notify_covered();
  note_configuration_current(at);
  if (view_current_callback_) {
    view_current_callback_();
  }
}

/// A configuration known to be current completes all waiting requests.
void FleetWatcher::note_configuration_current(MonotonicTime at) {
  if (configuration_current_at_ && at <= *configuration_current_at_) {
    return;
  }
  configuration_current_at_ = at;
  configuration_timer_.disarm();
  if (!configuration_waiters_.empty() && deps_.clock.now() - at < settings_.max_refresh_age) {
    configuration_waiters_.complete(true);
  }
}

void FleetWatcher::notify_covered() {
  if (pending_update_ && writer_.seen_revision() &&
      *writer_.seen_revision() >= pending_update_->through) {
    std::exchange(pending_update_, std::nullopt)->on_covered();
  }
}

}  // namespace ochrespring::discovery
