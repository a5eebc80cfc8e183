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
#include "gateway/fleet_state.h"
#include "logging/logger.h"
#include "shared_store/store.h"

namespace ochrespring::discovery {

struct FleetWatcherSettings {
  Duration period{std::chrono::milliseconds(1350)};       ///< Between two looks.
  Duration retry{std::chrono::milliseconds(300)};         ///< After a look that failed.
  Duration fresh_enough{std::chrono::milliseconds(150)};  ///< Age at which refresh() asks again.
};

struct FleetWatcherStatistics {
  std::uint64_t looks = 0;
  std::uint64_t failed_looks = 0;
  std::uint64_t listings = 0;
  std::uint64_t rejected_values = 0;  ///< Could not be understood; the last good one stays.
};

/// Looks at fixed periods for what has changed since the newest change it has seen, instead of
/// holding a watch open: each change of a back end's heartbeat would end the watch, and each call
/// has its price. An answer without changes never moves the point from which it goes on, so a store
/// that keeps changes back for a while is caught up with later; a store that has forgotten them is
/// listed anew. One loop.
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
  /// Calls back once the view is known to be current, or with false if the store does not answer.
  void refresh(std::function<void(bool current)> done);
  /// Called after each look that succeeded.
  void on_current(std::function<void()> callback) { current_ = std::move(callback); }
  const FleetWatcherStatistics& statistics() const { return statistics_; }

 private:
  void look();
  void list_all();
  void read_changes();
  void look_ended(bool success, std::string_view detail);
  void take_listing(const shared_store::Listing& listing);
  void take_change(const shared_store::Change& change);
  void take_configuration(const std::string& value);
  std::optional<gateway::Backend> read_backend(const shared_store::Change& change);
  std::optional<NodeRecord> read_node(const shared_store::Change& change);
  void reject(const std::string& key, const std::string& reason);

  World world_;
  FleetWatcherSettings settings_;
  gateway::FleetState& fleet_;
  NodeDirectory& nodes_;
  Timer timer_;
  std::optional<shared_store::StoreRevision> seen_;  ///< None: list everything.
  bool looking_ = false;
  std::optional<bool> connected_;  ///< How the last look ended; none before the first.
  std::vector<std::function<void(bool)>> waiting_;
  std::function<void()> current_;
  FleetWatcherStatistics statistics_;
};

}  // namespace ochrespring::discovery
