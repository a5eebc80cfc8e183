// The node's controller: one ShardController per lease this node holds.
#pragma once

#include <map>
#include <memory>
#include <optional>

#include "base/timer.h"
#include "controller/shard_controller.h"

namespace ochrespring::controller {

struct ControllerSettings {
  Duration tick{std::chrono::milliseconds(100)};
  Duration plan_interval{std::chrono::seconds(1)};
  DriverSettings driver;
};

/// What this node knows of an engine it controls.
struct ControlledEngine {
  engine::EngineStatus status;
  bool draining = false;
};

/// Used on the control loop only.
class Controller final : public authority::LeaseObserver {
 public:
  /// Must be constructed after grants, so that a gained lease finds its ledger.
  Controller(const ControllerDependencies& dependencies, TimerService& timers,
             const ControllerSettings& settings);
  ~Controller() override;

  void configure(const fleet::FleetDocument& document);
  /// A load report arrived: a new incarnation shows that the engine restarted.
  void on_load(const engine::LoadReport& report);

  /// State of an engine if this node controls it and has read it.
  std::optional<ControlledEngine> engine(const EngineId& engine) const;
  /// Last decision about an engine this node controls.
  std::optional<Decision> decision(const EngineId& engine) const;
  const ControllerStatistics& statistics() const { return statistics_; }

  void on_lease_gained(const authority::HeldLease& lease) override;
  void on_lease_lost(const authority::ShardKey& key) override;

 private:
  void tick();

  ControllerDependencies dependencies_;
  ControllerSettings settings_;
  fleet::FleetDocument document_;
  ControllerStatistics statistics_;
  std::map<authority::ShardKey, std::unique_ptr<ShardController>> shards_;
  /// Lost while one of their own calls was running; destroyed on the next tick.
  std::vector<std::unique_ptr<ShardController>> retired_;
  MonotonicTime next_plan_{};
  Timer tick_timer_;
};

}  // namespace ochrespring::controller
