#include "discovery/fleet_watcher.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace ochrespring::discovery {

namespace {

constexpr std::string_view kComponent = "discovery";
/// Every key of the store: one call tells of configuration, back ends and nodes.
const std::string kEverything;

/// Doublings of the pause after failed looks; `longest_retry` bounds it besides.
constexpr std::uint32_t kMostRetryDoublings = 4;
/// Of the longest pause after failed looks, for each node of the fleet: together they try some 50
/// times a second, whatever their number.
constexpr Duration kRetryOfEachNode = std::chrono::milliseconds(40);
/// Parts of the bound: when a node looks at the earliest, and how much later at the latest.
constexpr double kPeriodPart = 0.5;
constexpr double kSpreadPart = 0.22;
/// A view this old still tells what a configuration lacks: a newer one need not be in force yet.
constexpr double kFreshPart = 0.75;

}  // namespace

Duration spread_wait(Duration spread, std::uint32_t nodes, double uniform) {
  const double exponent = std::max(1.0, std::log(static_cast<double>(nodes)));
  return from_seconds(to_seconds(spread) * std::pow(uniform, 1 / exponent));
}

FleetWatcherSettings settings_within(Duration bound) {
  FleetWatcherSettings settings;
  settings.period = from_seconds(kPeriodPart * to_seconds(bound));
  settings.fresh_enough = from_seconds(kFreshPart * to_seconds(bound));
  settings.spread = from_seconds(kSpreadPart * to_seconds(bound));
  return settings;
}

FleetWatcher::FleetWatcher(World world, FleetWatcherSettings settings, gateway::FleetState& fleet,
                           NodeDirectory& nodes)
    : world_(world),
      settings_(settings),
      fleet_(fleet),
      nodes_(nodes),
      writer_(world.clock, world.codec, world.logger, fleet, nodes),
      timer_(world.timers),
      peer_timer_(world.timers),
      fetch_timer_(world.timers) {}

void FleetWatcher::start() {
  look();
  ask_peer_later();
}

void FleetWatcher::refresh(std::function<void(bool current)> done) {
  const auto current_at = fleet_.current_at();
  if (current_at && world_.clock.now() - *current_at < settings_.fresh_enough) {
    done(true);
    return;
  }
  if (!looking_ && failed_in_row_ != 0) {
    // The next try is due soon; one for each request that asks would be a storm of them.
    done(false);
    return;
  }
  waiting_.push_back(std::move(done));
  if (!looking_) {
    timer_.disarm();
    look();
  }
}

void FleetWatcher::look() {
  looking_ = true;
  look_began_ = world_.clock.now();
  ++statistics_.looks;
  if (writer_.seen()) {
    read_changes();
  } else {
    list_all();
  }
}

void FleetWatcher::list_all() {
  ++statistics_.listings;
  world_.store.list(kEverything, [this](auto result) {
    if (!result) {
      look_ended(false, result.error().message);
      return;
    }
    writer_.take_listing(result.value());
    look_ended(true, "listed");
  });
}

void FleetWatcher::read_changes() {
  world_.store.changes(kEverything, *writer_.seen(), Duration::zero(), [this](auto result) {
    if (!result) {
      if (result.error().code == shared_store::StoreErrc::kHistoryGone) {
        writer_.forget_history();
        list_all();
        return;
      }
      look_ended(false, result.error().message);
      return;
    }
    if (!writer_.seen()) {
      // The view was found to lack something meanwhile.
      list_all();
      return;
    }
    writer_.take_changes(result.value());
    share_look();
    look_ended(true, "");
  });
}

/// Many nodes may look at once when they could not take another's news; told by all of them it
/// would fill the links.
void FleetWatcher::share_look() {
  const bool heard = heard_at_ && world_.clock.now() - *heard_at_ < settings_.period / 2;
  if (!share_ || heard) {
    return;
  }
  for (const ViewUpdate& update : writer_.make_updates(world_.clock.now() - look_began_)) {
    share_(update);
  }
}

void FleetWatcher::take_update(const ViewUpdate& update, std::function<void()> covered) {
  heard_at_ = world_.clock.now();
  if (covered) {
    uncovered_ = Uncovered{update.through, std::move(covered)};
  }
  switch (writer_.take_update(update)) {
    case UpdateOutcome::kPassed:
      ++statistics_.updates_passed;
      fetch_later(update.view_address);
      return;
    case UpdateOutcome::kDiffers:
      ++statistics_.updates_differed;
      list_again();
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

void FleetWatcher::list_again() {
  world_.logger.write({logging::Level::kWarning, kComponent, "view differs from a peer's", {}});
  writer_.forget_history();
  if (!looking_) {
    timer_.arm(random_part_of(settings_.relist_spread), [this] { look(); });
  }
}

void FleetWatcher::look_ended(bool success, std::string_view detail) {
  looking_ = false;
  if (std::exchange(connected_, success) != success) {
    world_.logger.write({logging::Level::kWarning,
                         kComponent,
                         success ? "store regained" : "store lost",
                         {{"detail", std::string(detail)}}});
    if (store_state_) {
      store_state_(success);
    }
  }
  if (success) {
    failed_in_row_ = 0;
    note_current(look_began_);
  } else {
    ++statistics_.failed_looks;
    ++failed_in_row_;
    timer_.arm(retry_pause(), [this] { look(); });
  }
  // A look that began long ago says nothing of now: the node was held up meanwhile, and is quicker
  // the second time, or the store is slow.
  const bool too_old = world_.clock.now() - look_began_ >= settings_.fresh_enough;
  if (success && too_old && !waiting_.empty() && !std::exchange(looked_again_, true)) {
    timer_.disarm();
    look();
    return;
  }
  looked_again_ = false;
  for (const auto& done : std::exchange(waiting_, {})) {
    done(success && !too_old);
  }
}

/// Nodes that failed together try again apart.
Duration FleetWatcher::retry_pause() {
  const std::uint32_t doublings = std::min(failed_in_row_, kMostRetryDoublings);
  const Duration longest =
      std::min(settings_.retry * (1U << doublings),
               std::max(settings_.longest_retry,
                        std::min(settings_.fresh_enough, nodes_.count() * kRetryOfEachNode)));
  return settings_.retry / 2 + random_part_of(longest - settings_.retry / 2);
}

void FleetWatcher::fetch_later(const Endpoint& holder) {
  if (holder.empty() || !fetch_view_) {
    return;
  }
  view_holder_ = holder;
  if (fetching_ || fetch_timer_.armed()) {
    return;
  }
  Duration wait = random_part_of(settings_.fetch_spread);
  if (fetched_at_) {
    // Whole views are large: while more changes than can be told, one in half a period has to do.
    wait += std::max(*fetched_at_ + settings_.period / 2 - world_.clock.now(), Duration::zero());
  }
  fetch_timer_.arm(wait, [this] { fetch(); });
}

void FleetWatcher::fetch() {
  fetching_ = true;
  fetched_at_ = world_.clock.now();
  fetch_view_(view_holder_, [this](const std::optional<ViewSnapshot>& snapshot) {
    fetching_ = false;
    // Without success this node's own look comes in time.
    take_snapshot(snapshot, *fetched_at_);
  });
}

/// The snapshot's age counts from when it was asked for: the answer may have waited.
bool FleetWatcher::take_snapshot(const std::optional<ViewSnapshot>& snapshot, MonotonicTime asked) {
  if (!snapshot || !writer_.take_snapshot(*snapshot)) {
    return false;
  }
  ++statistics_.snapshots_taken;
  world_.logger.write(
      {logging::Level::kInfo,
       kComponent,
       "view taken from a peer",
       {{"revision", snapshot->through.value()},
        {"age_milliseconds",
         std::chrono::duration_cast<std::chrono::milliseconds>(snapshot->age).count()}}});
  note_current(asked - snapshot->age);
  return true;
}

void FleetWatcher::ask_peer_later() {
  peer_timer_.arm(settings_.peer_patience, [this] { ask_peer(); });
}

void FleetWatcher::ask_peer() {
  if (writer_.seen() || !ask_peer_) {
    return;
  }
  ask_peer_([this, asked = world_.clock.now()](const std::optional<ViewSnapshot>& snapshot) {
    if (!take_snapshot(snapshot, asked)) {
      ask_peer_later();
    }
  });
}

Duration FleetWatcher::random_part_of(Duration whole) {
  return from_seconds(to_seconds(whole) * world_.random.unit());
}

void FleetWatcher::note_current(MonotonicTime at) {
  const auto known = fleet_.current_at();
  if (!known || at > *known) {
    fleet_.note_current(at);
  }
  if (!looking_) {
    const Duration waited = spread_wait(settings_.spread, nodes_.count(), world_.random.unit());
    const MonotonicTime due = *fleet_.current_at() + settings_.period + waited;
    timer_.arm(std::max(due - world_.clock.now(), Duration::zero()), [this] { look(); });
  }
  note_covered();
  if (current_) {
    current_();
  }
}

void FleetWatcher::note_covered() {
  if (uncovered_ && writer_.seen() && *writer_.seen() >= uncovered_->through) {
    std::exchange(uncovered_, std::nullopt)->covered();
  }
}

}  // namespace ochrespring::discovery
