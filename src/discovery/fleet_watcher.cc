#include "discovery/fleet_watcher.h"

#include <algorithm>
#include <utility>

#include "wire/codec.h"

namespace ochrespring::discovery {

namespace {

constexpr std::string_view kComponent = "discovery";
constexpr double kPeriodJitter = 0.05;
/// Every key of the store: one call tells of configuration, back ends and nodes.
const std::string kEverything;

}  // namespace

FleetWatcher::FleetWatcher(World world, FleetWatcherSettings settings, gateway::FleetState& fleet,
                           NodeDirectory& nodes)
    : world_(world), settings_(settings), fleet_(fleet), nodes_(nodes), timer_(world.timers) {}

void FleetWatcher::start() {
  look();
}

void FleetWatcher::refresh(std::function<void(bool current)> done) {
  const auto current_at = fleet_.current_at();
  if (current_at && world_.clock.now() - *current_at < settings_.fresh_enough) {
    done(true);
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
  ++statistics_.looks;
  if (seen_) {
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
    take_listing(result.value());
    look_ended(true, "listed");
  });
}

void FleetWatcher::read_changes() {
  world_.store.changes(kEverything, *seen_, Duration::zero(), [this](auto result) {
    if (!result) {
      if (result.error().code == shared_store::StoreErrc::kHistoryGone) {
        seen_.reset();
        list_all();
        return;
      }
      look_ended(false, result.error().message);
      return;
    }
    for (const shared_store::Change& change : result.value().changes) {
      take_change(change);
      seen_ = std::max(*seen_, change.revision);
    }
    look_ended(true, "");
  });
}

void FleetWatcher::look_ended(bool success, std::string_view detail) {
  looking_ = false;
  if (success) {
    fleet_.note_current(world_.clock.now());
  } else {
    ++statistics_.failed_looks;
  }
  if (std::exchange(connected_, success) != success) {
    world_.logger.write({logging::Level::kWarning,
                         kComponent,
                         success ? "store regained" : "store lost",
                         {{"detail", std::string(detail)}}});
  }
  const Duration pause = success ? settings_.period : settings_.retry;
  timer_.arm(world_.random.jitter(pause, kPeriodJitter), [this] { look(); });
  for (const auto& done : std::exchange(waiting_, {})) {
    done(success);
  }
  if (success && current_) {
    current_();
  }
}

void FleetWatcher::take_listing(const shared_store::Listing& listing) {
  const StoreLayout& layout = world_.codec.layout();
  std::vector<gateway::Backend> backends;
  std::vector<NodeRecord> nodes;
  for (const shared_store::Change& item : listing.items) {
    if (item.key == layout.configuration_key) {
      take_configuration(*item.value);
    } else if (item.key.starts_with(layout.backend_prefix)) {
      if (auto backend = read_backend(item)) {
        backends.push_back(std::move(*backend));
      }
    } else if (item.key.starts_with(layout.node_prefix)) {
      if (auto node = read_node(item)) {
        nodes.push_back(std::move(*node));
      }
    }
  }
  fleet_.replace(std::move(backends));
  nodes_.replace(nodes);
  seen_ = listing.revision;
}

void FleetWatcher::take_change(const shared_store::Change& change) {
  const StoreLayout& layout = world_.codec.layout();
  if (change.key == layout.configuration_key && change.value) {
    take_configuration(*change.value);
  } else if (change.key.starts_with(layout.backend_prefix)) {
    if (!change.value) {
      const gateway::BackendId id(change.key.substr(layout.backend_prefix.size()));
      fleet_.remove(id);
      world_.logger.write({logging::Level::kInfo,
                           kComponent,
                           "back end gone",
                           {{"backend", id.value()}, {"revision", change.revision.value()}}});
    } else if (auto backend = read_backend(change)) {
      const bool draining = backend->draining;
      const std::string id = backend->id.value();
      if (fleet_.put(std::move(*backend))) {
        world_.logger.write(
            {logging::Level::kInfo,
             kComponent,
             "back end changed",
             {{"backend", id}, {"draining", draining}, {"revision", change.revision.value()}}});
      }
    }
  } else if (change.key.starts_with(layout.node_prefix)) {
    if (!change.value) {
      nodes_.remove(NodeId(change.key.substr(layout.node_prefix.size())));
    } else if (const auto node = read_node(change)) {
      nodes_.put(*node);
    }
  }
}

void FleetWatcher::take_configuration(const std::string& value) {
  auto configuration = world_.codec.read_configuration(value);
  if (!configuration) {
    reject(world_.codec.layout().configuration_key, configuration.error().message);
    return;
  }
  const std::uint64_t version = configuration.value().version.value();
  if (fleet_.apply(std::move(configuration.value()))) {
    world_.logger.write({logging::Level::kInfo,
                         kComponent,
                         "configuration in force",
                         {{"configuration", version}}});
  }
}

std::optional<gateway::Backend> FleetWatcher::read_backend(const shared_store::Change& change) {
  const std::string id = change.key.substr(world_.codec.layout().backend_prefix.size());
  auto backend = world_.codec.read_backend(id, *change.value);
  if (!backend) {
    reject(change.key, backend.error().message);
    return std::nullopt;
  }
  return std::move(backend.value());
}

std::optional<NodeRecord> FleetWatcher::read_node(const shared_store::Change& change) {
  auto node = wire::decode<NodeRecord>(*change.value);
  if (!node) {
    reject(change.key, node.error().message);
    return std::nullopt;
  }
  return std::move(node.value());
}

void FleetWatcher::reject(const std::string& key, const std::string& reason) {
  ++statistics_.rejected_values;
  world_.logger.write({logging::Level::kError,
                       kComponent,
                       "value of the store not understood",
                       {{"key", key}, {"reason", reason}}});
}

}  // namespace ochrespring::discovery
