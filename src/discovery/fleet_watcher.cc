#include "discovery/fleet_watcher.h"

#include <algorithm>
#include <utility>

namespace ochrespring::discovery {

namespace {

constexpr std::string_view kComponent = "discovery";
/// Every key of the store: one call tells of configuration, back ends and nodes.
const std::string kEverything;

/// A listing is cut into ranges of about so many back ends, so that a small one stays one range...
constexpr std::size_t kBackendsOfRange = 1'000;
/// ...and into no more than this: of 20,000 back ends 13 pages of 200 come one after the other
/// then, and a reader's connections to the store stay few.
constexpr std::size_t kMostRanges = 8;
/// Looks in a row that a follower leaves to the readers before it lists the store itself: by then
/// two seconds have passed, and the readers have either told or died.
constexpr std::uint32_t kLooksLeftToReaders = 4;

}  // namespace

FleetWatcher::FleetWatcher(World world, FleetWatcherSettings settings, gateway::FleetState& fleet,
                           NodeDirectory& nodes)
    : world_(world),
      settings_(settings),
      fleet_(fleet),
      nodes_(nodes),
      writer_(world.clock, world.codec, world.logger, fleet, nodes),
      lister_(world.store, world.timers),
      fetcher_(world.clock, world.timers, world.random, settings,
               {.fetch = [this](const ViewRequest& request,
                                TransferCallback done) { fetch_view_(request, std::move(done)); },
                .seen = [this] { return writer_.seen(); },
                .take = [this](const ViewTransfer& transfer,
                               MonotonicTime asked) { return take_transfer(transfer, asked); }}),
      timer_(world.timers),
      peer_timer_(world.timers),
      configuration_timer_(world.timers),
      waiting_(world.clock, world.timers, settings_.refresh_patience,
               [this] { look_is_slow_ = looking_; }) {}

void FleetWatcher::start() {
  look();
  ask_peer_later();
}

void FleetWatcher::refresh(std::function<void(bool current)> done) {
  const MonotonicTime now = world_.clock.now();
  if (configuration_at_ && now - *configuration_at_ < settings_.fresh_enough) {
    done(true);
    return;
  }
  const bool failing = !looking_ && failed_in_row_ != 0;
  if (failing || look_is_slow_) {
    // The next try is due soon, or under way; one for each request that asks would be a storm.
    done(false);
    return;
  }
  waiting_.add(std::move(done));
  if (!looking_) {
    timer_.disarm();
    look();
  }
}

void FleetWatcher::look() {
  looking_ = true;
  look_began_ = world_.clock.now();
  ++statistics_.looks;
  if (!writer_.seen()) {
    look_without_view();
    return;
  }
  if (relist_) {
    list_all();
    return;
  }
  const ReadingDuty duty = this->duty();
  if (duty.readers.empty() || !fetch_view_) {
    read_changes();
  } else {
    ask_reader(duty.readers[world_.random.below(duty.readers.size())]);
  }
}

/// A page holds all that a small fleet has. In a large one it names nodes to ask for the rest.
void FleetWatcher::look_without_view() {
  ++statistics_.listings;
  world_.store.list_page({.prefix = kEverything, .after = {}}, [this](auto page) {
    if (!page) {
      look_ended(LookResult::kStoreLost, look_began_, page.error().message);
    } else if (!page.value().more) {
      take_listing(shared_store::Listing{std::move(page.value().items), page.value().revision});
    } else if (writer_.seen()) {
      // Another node's view has come meanwhile.
      read_changes();
    } else {
      find_peers(std::move(page.value()));
    }
  });
}

void FleetWatcher::find_peers(shared_store::ListPage first) {
  writer_.learn_nodes(first.items);
  first_page_ = std::move(first);
  if (!nodes_.others().empty() || settings_.lists_at_once) {
    hold_listing();
    return;
  }
  const std::string& prefix = world_.codec.layout().node_prefix;
  world_.store.list_page({.prefix = prefix, .after = {}}, [this](auto page) {
    if (!first_page_) {
      // Another node's view has come meanwhile.
      return;
    }
    if (page) {
      writer_.learn_nodes(page.value().items);
    }
    hold_listing();
  });
}

void FleetWatcher::hold_listing() {
  const Duration wait = wait_for_peers(settings_, nodes_.count(), world_.random.unit());
  timer_.arm(wait, [this] { list_rest(); });
  ask_peer();
}

void FleetWatcher::list_rest() {
  shared_store::ListPage first = std::move(*first_page_);
  first_page_.reset();
  lister_.resume(std::move(first), [this](const ListingResult& listing) { take_listing(listing); });
}

void FleetWatcher::list_all() {
  ++statistics_.listings;
  const std::size_t ranges =
      std::clamp<std::size_t>(fleet_.backends().size() / kBackendsOfRange, 1, kMostRanges);
  lister_.start(writer_.split_points(ranges),
                [this](const ListingResult& listing) { take_listing(listing); });
}

void FleetWatcher::take_listing(const ListingResult& listing) {
  if (!listing) {
    look_ended(LookResult::kStoreLost, look_began_, listing.error().message);
    return;
  }
  const bool first = !writer_.seen();
  if (!writer_.take_listing(listing.value())) {
    pass_listing(listing.value().revision);
    return;
  }
  relist_ = false;
  note_era();
  if (!first) {
    share_look();
  } else if (first_listing_) {
    first_listing_();
  }
  look_ended(LookResult::kCurrent, look_began_, "listed");
}

/// A listing that was not taken says nothing of the view: the look has failed, though the store
/// answers, and the configuration has no time to wait for the next one.
void FleetWatcher::pass_listing(shared_store::StoreRevision listed) {
  ++statistics_.listings_passed;
  world_.logger.write({logging::Level::kWarning,
                       kComponent,
                       "listing older than the view",
                       {{"era", listed.era().value()},
                        {"listed", listed.value()},
                        {"seen_era", writer_.seen()->era().value()},
                        {"seen", writer_.seen()->value()}}});
  read_configuration();
  look_ended(LookResult::kBehind, look_began_, "");
}

/// What a reader tells is enough unless the reader has not heard of the store for long itself.
void FleetWatcher::ask_reader(const Endpoint& reader) {
  fetcher_.ask(reader, [this](const std::optional<ViewTransfer>& transfer) {
    if (!transfer || !take_transfer(*transfer, look_began_)) {
      read_changes();
      return;
    }
    const Duration age = age_of(*transfer);
    if (age < settings_.follower_period) {
      look_ended(LookResult::kCurrent, look_began_ - age, "told by a reader");
    } else {
      read_changes();
    }
  });
}

void FleetWatcher::read_changes() {
  ask_for_changes(life_.place_to_ask(writer_.position(), writer_.seen()->era()));
}

void FleetWatcher::ask_for_changes(const std::optional<shared_store::StorePosition>& known) {
  const shared_store::StoreRevision after = known ? known->before() : *writer_.seen();
  world_.store.changes(kEverything, after, Duration::zero(), [this, known, after](auto result) {
    if (result) {
      take_changes(known, after, result.value());
    } else if (result.error().code != shared_store::StoreErrc::kHistoryGone) {
      look_ended(LookResult::kStoreLost, look_began_, result.error().message);
    } else if (known && !may_be_another_life()) {
      // Nothing has changed for longer than history is kept, or it was dropped early.
      forget_position();
      ask_for_changes(std::nullopt);
    } else {
      recover_history();
    }
  });
}

void FleetWatcher::forget_position() {
  life_.forget_place();
  writer_.forget_position();
}

void FleetWatcher::take_changes(const std::optional<shared_store::StorePosition>& known,
                                shared_store::StoreRevision after,
                                const shared_store::Changes& changes) {
  const bool unsure = may_be_another_life();
  const shared_store::PositionCheck newest = life_.check(known, changes.changes);
  history_.trim(world_.clock.now(), *writer_.seen());
  if (newest == shared_store::PositionCheck::kOther ||
      history_.contradicts(after, changes.changes)) {
    begin_life();
    return;
  }
  const auto begin = history_.begin();
  if (unsure && newest == shared_store::PositionCheck::kSame && begin && *begin < after) {
    compare_history(*begin);
    return;
  }
  take_known_life(after, changes);
}

/// A store that has counted on may hold just the newest change again behind others than before.
void FleetWatcher::compare_history(shared_store::StoreRevision begin) {
  world_.store.changes(kEverything, begin, Duration::zero(), [this, begin](auto result) {
    if (result) {
      if (history_.contradicts(begin, result.value().changes)) {
        begin_life();
      } else {
        take_known_life(begin, result.value());
      }
    } else if (result.error().code == shared_store::StoreErrc::kHistoryGone) {
      list_all();
    } else {
      look_ended(LookResult::kStoreLost, look_began_, result.error().message);
    }
  });
}

void FleetWatcher::take_known_life(shared_store::StoreRevision after,
                                   const shared_store::Changes& changes) {
  if (relist_ || may_be_another_life()) {
    // The view lacks something, or nothing tells whether it does.
    list_all();
    return;
  }
  note_history(after, changes);
  writer_.take_changes(changes);
  share_look();
  look_ended(LookResult::kCurrent, look_began_, "");
}

/// An answer without new changes covers nothing that an earlier span does not, and a store that
/// names its era is known by that.
void FleetWatcher::note_history(shared_store::StoreRevision after,
                                const shared_store::Changes& changes) {
  found_ = shared_store::span_of(after, changes.changes);
  if (found_ && found_->through > *writer_.seen() && !world_.store.names_era()) {
    history_.note(*found_, world_.clock.now());
  } else {
    found_.reset();
  }
}

/// The store has come back from an older copy and counted past what was known, without saying so.
void FleetWatcher::begin_life() {
  const shared_store::StoreRevision seen = *writer_.seen();
  ++statistics_.lives_found;
  world_.logger.write({logging::Level::kWarning,
                       kComponent,
                       "store holds another change than was known",
                       {{"era", seen.era().value()}, {"revision", seen.value()}}});
  world_.store.begin_life_after(seen.era());
  list_all();
}

/// The store has forgotten what came after the view: only a listing tells what is there now. The
/// readers of a large fleet list it for all; the configuration has no time to wait for that.
void FleetWatcher::recover_history() {
  ++statistics_.histories_gone;
  world_.logger.write({logging::Level::kWarning,
                       kComponent,
                       "store has forgotten its history",
                       {{"seen", writer_.seen()->value()}}});
  const bool follows = duty().role == ReadingRole::kFollower;
  if (follows) {
    read_configuration_later();
  } else if (fleet_.backends().size() >= kBackendsOfRange) {
    read_configuration();
  }
  if (follows && failed_in_row_ < kLooksLeftToReaders) {
    look_ended(LookResult::kBehind, look_began_, "");
  } else {
    list_all();
  }
}

/// After a restore many followers look before a reader has told them of it, and need nothing more
/// once it has.
void FleetWatcher::read_configuration_later() {
  if (!configuration_timer_.armed()) {
    configuration_timer_.arm(
        settings_.fetch_spread + world_.random.part_of(settings_.relist_spread),
        [this] { read_configuration(); });
  }
}

void FleetWatcher::read_configuration() {
  world_.store.get(world_.codec.layout().configuration_key,
                   [this, asked = world_.clock.now()](auto item) {
                     if (!item) {
                       world_.logger.write({logging::Level::kWarning,
                                            kComponent,
                                            "configuration not read",
                                            {{"reason", item.error().message}}});
                       return;
                     }
                     writer_.take_configuration_alone(item.value());
                     note_configuration_current(asked);
                   });
}

/// Many nodes may look at once when they could not take another's news; told by all of them it
/// would fill the links.
void FleetWatcher::share_look() {
  const Duration pace =
      duty().role == ReadingRole::kReader ? settings_.reader_period : settings_.period;
  const bool heard = heard_at_ && world_.clock.now() - *heard_at_ < pace / 2;
  if (!share_ || heard) {
    return;
  }
  for (const ViewUpdate& update : writer_.make_updates(world_.clock.now() - look_began_)) {
    share_(update);
  }
  share_position();
}

/// Once for each place: one that is lost costs a listing at worst.
void FleetWatcher::share_position() {
  const auto known = writer_.position();
  if (share_position_ && known && known != shared_position_) {
    shared_position_ = known;
    share_position_({*known});
  }
  if (share_history_ && found_) {
    share_history_({*std::exchange(found_, std::nullopt)});
  }
}

/// Where two nodes know different changes at one place one of them has seen another life of the
/// store: a look finds out which.
void FleetWatcher::take_position(const PositionNews& told) {
  shared_position_ = told.position;
  if (writer_.learn_position(told.position)) {
    return;
  }
  life_.note_conflict(world_.clock.now(), writer_.position());
  if (!looking_) {
    timer_.arm(world_.random.part_of(settings_.relist_spread), [this] { look(); });
  }
}

void FleetWatcher::take_update(const ViewUpdate& update, std::function<void()> covered) {
  const UpdateOutcome outcome = writer_.take_update(update);
  if (outcome == UpdateOutcome::kOutdated) {
    ++statistics_.updates_outdated;
    return;
  }
  heard_at_ = world_.clock.now();
  world_.store.hear_of(update.through);
  if (covered) {
    uncovered_ = Uncovered{update.through, std::move(covered)};
  }
  switch (outcome) {
    case UpdateOutcome::kOutdated:
    case UpdateOutcome::kPassed:
      ++statistics_.updates_passed;
      if (fetch_view_) {
        fetcher_.want(update.view_address);
      }
      return;
    case UpdateOutcome::kDiffers:
      ++statistics_.updates_differed;
      distrust_view(update.view_address);
      return;
    case UpdateOutcome::kTaken:
      ++statistics_.updates_taken;
      if (update.is_last()) {
        note_current(world_.clock.now() - update.age);
      } else {
        // More changes are on their way: as of now the view is no newer than before.
        note_covered();
      }
      return;
  }
}

/// A follower takes the other's view for the right one: all of a large fleet may differ at once,
/// and the readers, who list, find out whose it is.
void FleetWatcher::distrust_view(const Endpoint& holder) {
  world_.logger.write({logging::Level::kWarning, kComponent, "view differs from a peer's", {}});
  writer_.distrust();
  const bool follows = duty().role == ReadingRole::kFollower;
  if (follows && fetch_view_) {
    fetcher_.want_whole(holder);
  }
  relist_ = true;
  if (!looking_) {
    timer_.arm(follows ? settings_.period / 2 + world_.random.part_of(settings_.period)
                       : world_.random.part_of(settings_.relist_spread),
               [this] { look(); });
  }
}

void FleetWatcher::look_ended(LookResult result, MonotonicTime as_of, std::string_view detail) {
  looking_ = false;
  look_is_slow_ = false;
  note_store_state(result != LookResult::kStoreLost, detail);
  const MonotonicTime now = world_.clock.now();
  const bool success = result == LookResult::kCurrent;
  if (result == LookResult::kStoreLost && writer_.seen()) {
    life_.note_failed(now, writer_.position());
  }
  if (success) {
    failed_in_row_ = 0;
    note_current(as_of);
  } else {
    ++statistics_.failed_looks;
    ++failed_in_row_;
    timer_.arm(wait_after_failure(settings_, failed_in_row_, nodes_.count(), world_.random.unit()),
               [this] { look(); });
  }
  // A look that began long ago says nothing of now: the node was held up meanwhile, and is quicker
  // the second time, or the store is slow.
  const bool too_old = now - as_of >= settings_.fresh_enough;
  if (success && too_old && !waiting_.empty() && !std::exchange(looked_again_, true)) {
    timer_.disarm();
    look();
    return;
  }
  looked_again_ = false;
  if (result == LookResult::kBehind) {
    // The configuration is being read alone, and that answers them.
    return;
  }
  waiting_.answer(success && !too_old);
}

void FleetWatcher::note_store_state(bool reachable, std::string_view detail) {
  if (std::exchange(connected_, reachable) == reachable) {
    return;
  }
  world_.logger.write({logging::Level::kWarning,
                       kComponent,
                       reachable ? "store regained" : "store lost",
                       {{"detail", std::string(detail)}}});
  if (store_state_) {
    store_state_(reachable);
  }
}

/// A transfer's age counts from when it was asked for: the answer may have waited.
bool FleetWatcher::take_transfer(const ViewTransfer& transfer, MonotonicTime asked) {
  const UpdateOutcome outcome = writer_.take_transfer(transfer);
  if (outcome == UpdateOutcome::kPassed) {
    return false;
  }
  if (outcome == UpdateOutcome::kDiffers) {
    ++statistics_.updates_differed;
    distrust_view({});
    return true;
  }
  note_era();
  const Duration age = age_of(transfer);
  if (const auto* snapshot = std::get_if<ViewSnapshot>(&transfer)) {
    ++statistics_.snapshots_taken;
    relist_ = false;
    world_.logger.write({logging::Level::kInfo,
                         kComponent,
                         "view taken from a peer",
                         {{"revision", snapshot->through.value()},
                          {"age_milliseconds",
                           std::chrono::duration_cast<std::chrono::milliseconds>(age).count()}}});
  } else {
    ++statistics_.deltas_taken;
  }
  if (first_page_ || (lister_.running() && !relist_)) {
    // What this node was about to list, or is listing, is known to others.
    first_page_.reset();
    lister_.stop();
    timer_.disarm();
    look_ended(LookResult::kCurrent, asked - age, "told by a peer");
    return true;
  }
  note_current(asked - age);
  return true;
}

void FleetWatcher::ask_peer_later() {
  peer_timer_.arm(settings_.peer_patience, [this] { ask_peer(); });
}

void FleetWatcher::ask_peer() {
  if (writer_.seen() || !ask_peer_ || std::exchange(asking_peer_, true)) {
    return;
  }
  ask_peer_([this, asked = world_.clock.now()](const std::optional<ViewTransfer>& transfer) {
    asking_peer_ = false;
    if (!transfer || !take_transfer(*transfer, asked)) {
      ask_peer_later();
    }
  });
}

void FleetWatcher::note_era() {
  const shared_store::StoreEra era = writer_.seen()->era();
  world_.store.hear_of(*writer_.seen());
  const bool rose = era_ && era > *era_;
  era_ = era;
  if (!rose) {
    return;
  }
  ++statistics_.eras_begun;
  world_.logger.write({logging::Level::kWarning,
                       kComponent,
                       "view is of a new era of the store",
                       {{"era", era.value()}, {"revision", writer_.seen()->value()}}});
  if (new_era_) {
    new_era_();
  }
}

void FleetWatcher::note_current(MonotonicTime at) {
  life_.note_current(at);
  const auto known = fleet_.current_at();
  if (!known || at > *known) {
    fleet_.note_current(at);
  }
  const bool listing_due = relist_ && timer_.armed();
  if (!looking_ && !listing_due) {
    const Duration waited = wait_for_look(settings_, duty(), nodes_.count(), world_.random.unit());
    const MonotonicTime due = *fleet_.current_at() + waited;
    timer_.arm(std::max(due - world_.clock.now(), Duration::zero()), [this] { look(); });
  }
  note_covered();
  note_configuration_current(at);
  if (current_) {
    current_();
  }
}

/// A configuration that is known to be the newest answers those who ask for no more.
void FleetWatcher::note_configuration_current(MonotonicTime at) {
  if (configuration_at_ && at <= *configuration_at_) {
    return;
  }
  configuration_at_ = at;
  configuration_timer_.disarm();
  if (!waiting_.empty() && world_.clock.now() - at < settings_.fresh_enough) {
    waiting_.answer(true);
  }
}

void FleetWatcher::note_covered() {
  if (uncovered_ && writer_.seen() && *writer_.seen() >= uncovered_->through) {
    std::exchange(uncovered_, std::nullopt)->covered();
  }
}

}  // namespace ochrespring::discovery
